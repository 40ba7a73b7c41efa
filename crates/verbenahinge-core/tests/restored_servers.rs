//! Registry entries that an older copy of the store lists, though they had been overtaken.

use std::time::Duration;

use verbenahinge_core::gateway::{Registry, RegistryChange, ServerEntry, ServerState};

const NOW: Duration = Duration::from_secs(100);

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn entry(state: ServerState) -> ServerEntry {
    let address = "10.0.0.1:80".parse().expect("address");
    ServerEntry {
        started_unix_ms: Some(7),
        ..ServerEntry::new("server", "service", address).state(state)
    }
}

fn ready_count(registry: &Registry) -> usize {
    registry.ready("service").count()
}

#[test]
fn draining_servers_stay_draining() {
    let mut registry = Registry::default();
    registry.upsert(entry(ServerState::Draining));
    let change = registry.restore(NOW, entry(ServerState::Ready), false, HEARTBEAT);
    assert_eq!((change, ready_count(&registry)), (None, 0));
    let restarted = ServerEntry {
        started_unix_ms: Some(8),
        ..entry(ServerState::Ready)
    };
    let change = registry.restore(NOW, restarted, false, HEARTBEAT);
    assert_eq!(change, Some(RegistryChange::Restarted));
    assert_eq!(ready_count(&registry), 1);
}

#[test]
fn removed_servers_are_held() {
    let mut registry = Registry::default();
    let change = registry.restore(NOW, entry(ServerState::Ready), true, HEARTBEAT);
    assert_eq!(change, Some(RegistryChange::Held));
    registry.expire(NOW + HEARTBEAT * 3);
    assert_eq!(ready_count(&registry), 0);
    registry.expire(NOW + HEARTBEAT * 4);
    assert_eq!(ready_count(&registry), 1);
}

#[test]
fn held_servers_register_again() {
    let mut registry = Registry::default();
    registry.restore(NOW, entry(ServerState::Ready), true, HEARTBEAT);
    registry.upsert(entry(ServerState::Ready));
    assert_eq!(ready_count(&registry), 1);
}

#[test]
fn held_servers_lapse_at_once() {
    let mut registry = Registry::default();
    registry.restore(NOW, entry(ServerState::Ready), true, HEARTBEAT);
    let change = registry.mark_missing(NOW, "server");
    assert_eq!(change, Some(RegistryChange::Removed));
}

#[test]
fn unknown_servers_are_used() {
    let mut registry = Registry::default();
    let change = registry.restore(NOW, entry(ServerState::Ready), false, HEARTBEAT);
    assert_eq!(change, Some(RegistryChange::Added));
    assert_eq!(ready_count(&registry), 1);
}
