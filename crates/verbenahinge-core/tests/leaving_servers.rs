//! Backend servers that say in their answers that they leave, whatever their registry entries say.

#[path = "support/engines.rs"]
mod engines;
#[path = "support/services.rs"]
mod services;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    GatewayState, LeavingNews, PlacementError, RegistryChange, Routing, ServerChoice, ServerEntry,
    ServerState,
};

use self::engines::{add_engines, prompt_call, state_with, stream_route};
use self::services::{plain_call, plain_state, server_entry, server_name};

const NOW: Timestamp = Duration::from_secs(100);

/// Returns the state of a VM with two servers, of which the first has said that it leaves.
fn state() -> GatewayState {
    let mut state = plain_state(1, 2);
    let news = state.note_leaving(NOW, &server_entry(0).start());
    assert_eq!(news, LeavingNews::Stopped);
    state
}

fn choose(
    state: &mut GatewayState,
    now: Timestamp,
    id: u64,
) -> Result<ServerChoice, PlacementError> {
    state.choose_server(now, &plain_call(id, now, 2), &[])
}

/// Whether the first server gets one of many requests.
fn is_used(state: &mut GatewayState, now: Timestamp) -> bool {
    (0..50).any(|id| {
        let choice = choose(state, now, id).expect("the other server is free");
        *choice.server == *server_name(0)
    })
}

#[test]
fn leaving_servers_unused() {
    let mut state = plain_state(1, 2);
    assert!(is_used(&mut state, NOW));
    assert!(!is_used(&mut self::state(), NOW));
    assert_eq!(state.registry().ready("service").count(), 2);
    assert_eq!(self::state().registry().ready("service").count(), 1);
}

/// Guards against a request that chose a server and waits, and is sent after the server has left.
#[test]
fn request_outdated() {
    let mut state = plain_state(1, 2);
    let entry = server_entry(0);
    assert!(state.may_send_to(NOW, &entry));
    state.note_leaving(NOW, &entry.start());
    assert!(!state.may_send_to(NOW, &entry));
    assert!(state.may_send_to(NOW, &server_entry(1)));
    let moved = ServerEntry {
        address: "10.0.0.2:80".parse().expect("address"),
        ..server_entry(1)
    };
    assert!(!state.may_send_to(NOW, &moved));
    state.upsert_server(server_entry(1).state(ServerState::Draining));
    assert!(!state.may_send_to(NOW, &server_entry(1)));
    state.remove_server(&server_name(1));
    assert!(!state.may_send_to(NOW, &server_entry(1)));
}

#[test]
fn entry_stays_ready() {
    let mut state = state();
    assert_eq!(state.upsert_server(server_entry(0)), None);
    let change = state.upsert_server(server_entry(0).slots(65));
    assert_eq!(change, Some(RegistryChange::Updated));
    assert!(!is_used(&mut state, NOW));
}

/// Guards against a server that is used again because an overtaken entry follows on that it drains.
#[test]
fn entry_drains_and_returns() {
    let mut state = state();
    state.upsert_server(server_entry(0).state(ServerState::Draining));
    state.upsert_server(server_entry(0));
    assert!(!is_used(&mut state, NOW));
}

#[test]
fn entry_of_older_copy() {
    for was_removed in [false, true] {
        let mut state = state();
        if was_removed {
            state.remove_server(&server_name(0));
        }
        state.restore_server(NOW, server_entry(0), was_removed);
        for seconds in [0, 60] {
            let now = NOW + Duration::from_secs(seconds);
            state.tick(now, Duration::from_secs(5));
            assert!(!is_used(&mut state, now), "{was_removed} {seconds}");
        }
    }
}

#[test]
fn entry_of_next_start() {
    let mut state = state();
    let restarted = ServerEntry {
        started_unix_ms: Some(2),
        ..server_entry(0)
    };
    let change = state.upsert_server(restarted.clone());
    assert_eq!(change, Some(RegistryChange::Restarted));
    assert!(is_used(&mut state, NOW));
    // An answer of the start before arrives late.
    let news = state.note_leaving(NOW, &server_entry(0).start());
    assert_eq!(news, LeavingNews::Known);
    assert!(is_used(&mut state, NOW));
    assert_eq!(
        state.note_leaving(NOW, &restarted.start()),
        LeavingNews::Stopped
    );
    assert!(!is_used(&mut state, NOW));
}

/// Guards against a server that is taken for leaving because the start before it was.
#[test]
fn late_answer_of_earlier_start() {
    let mut state = plain_state(1, 2);
    state.upsert_server(ServerEntry {
        started_unix_ms: Some(2),
        ..server_entry(0)
    });
    let news = state.note_leaving(NOW, &server_entry(0).start());
    assert_eq!(news, LeavingNews::Unused);
    assert!(is_used(&mut state, NOW));
}

/// Guards against a server whose entry arrives after another VM has told that it leaves.
#[test]
fn entry_arrives_late() {
    let mut state = plain_state(1, 2);
    state.remove_server(&server_name(0));
    let news = state.note_leaving(NOW, &server_entry(0).start());
    assert_eq!(news, LeavingNews::Unused);
    state.upsert_server(server_entry(0));
    assert!(!is_used(&mut state, NOW));
}

#[test]
fn entry_lapses() {
    let mut state = state();
    let change = state.mark_server_missing(NOW, &server_name(0));
    assert_eq!(change, Some(RegistryChange::Removed));
    state.upsert_server(server_entry(0));
    assert!(!is_used(&mut state, NOW));
}

#[test]
fn missing_server_leaves() {
    let mut state = plain_state(1, 2);
    state.mark_server_missing(NOW, &server_name(0));
    assert_eq!(
        state.note_leaving(NOW, &server_entry(0).start()),
        LeavingNews::Stopped
    );
    assert_eq!(state.registry().get(&server_name(0)), None);
    assert!(state.tick(NOW, Duration::from_secs(5)).is_empty());
    state.upsert_server(server_entry(0));
    assert!(!is_used(&mut state, NOW));
}

#[test]
fn draining_server_leaves() {
    let mut state = plain_state(1, 2);
    state.upsert_server(server_entry(0).state(ServerState::Draining));
    assert_eq!(
        state.note_leaving(NOW, &server_entry(0).start()),
        LeavingNews::Unused
    );
}

#[test]
fn all_servers_leave() {
    let mut state = state();
    state.note_leaving(NOW, &server_entry(1).start());
    let choice = choose(&mut state, NOW, 1);
    assert_eq!(choice, Err(PlacementError::NoServer));
}

/// Guards against memory that grows with each server that has ever left.
#[test]
fn records_expire() {
    let mut state = state();
    let vm_lost_after = Duration::from_secs(5);
    for _ in 0..10 {
        // As long as its entry is there, the server stays unused.
        state.tick(NOW + Duration::from_hours(1), vm_lost_after);
        assert!(!is_used(&mut state, NOW));
    }
    state.remove_server(&server_name(0));
    let removed_at = NOW + Duration::from_hours(1);
    state.tick(removed_at + Duration::from_mins(9), vm_lost_after);
    let start = server_entry(0).start();
    let news = |state: &GatewayState| state.clone().note_leaving(NOW, &start);
    assert_eq!(news(&state), LeavingNews::Known);
    state.tick(removed_at + Duration::from_mins(11), vm_lost_after);
    assert_eq!(news(&state), LeavingNews::Unused);
}

/// Guards against engines that leave and are still ranked, chosen by their queried load, or copied from.
#[test]
fn leaving_engines_unused() {
    const PREFIX: [(u64, u32); 2] = [(7, 13_000), (1, 3_700)];
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 580_000);
    let mut state = state_with(routing, 3);
    let route = Arc::new(stream_route("long", 2, 2000, 600));
    let first = prompt_call(1, &route, NOW, &PREFIX);
    let home = state.choose_server(NOW, &first, &[]).expect("free engines");
    state.note_sent(NOW, &first, &home);
    let read_at = NOW + Duration::from_millis(400);
    state.note_first_token(read_at, first.id, &home.server);
    let next = prompt_call(2, &route, read_at, &PREFIX);
    // With the home engine tried, another one copies from it.
    let ranked = state.rank_engines(read_at, &next, &[], 3);
    assert!(ranked.contains(&home.server));
    let others: Vec<_> = ranked
        .iter()
        .filter(|name| **name != home.server)
        .cloned()
        .collect();
    let entry = state.registry().get(&home.server).expect("an entry");
    let start = entry.start();
    state.note_leaving(read_at, &start);
    assert!(
        !state
            .rank_engines(read_at, &next, &[], 3)
            .contains(&home.server)
    );
    let choice = state.choose_among(read_at, &next, &ranked);
    let choice = choice.expect("free engines");
    assert!(others.contains(&choice.server));
    assert_eq!(choice.copy_from, None);
    let alone = std::slice::from_ref(&home.server);
    assert_eq!(
        state.choose_among(read_at, &next, alone),
        Err(PlacementError::NoServer)
    );
}
