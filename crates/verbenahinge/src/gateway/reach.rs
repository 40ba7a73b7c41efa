//! Finds out whether this VM is cut off from the servers of a service, and when it no longer is.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_core::ServerName;
use verbenahinge_core::gateway::{ServerEntry, ServiceName};
use verbenahinge_core::hash::{hash64, mix64};

use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Servers that are probed at once before the VM counts as cut off.
const FIRST_PROBES: usize = 3;

/// Time between two probes while the VM is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum time to wait for the first probes: that in which a connection opens or fails, and is kept or not.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(450);

/// Time between two looks whether the first probes have ended.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Records that a new connection to a server failed before the server answered on it.
pub(super) fn note_failed(gateway: &Rc<Gateway>, entry: &ServerEntry) {
    let ready = gateway
        .state
        .borrow()
        .registry()
        .ready(&entry.service)
        .count();
    let begins = {
        let mut reach = gateway.reach.borrow_mut();
        reach.note_failed(&entry.service, &entry.id, ready)
    };
    if begins {
        actix_rt::spawn(probe_service(Rc::clone(gateway), entry.service.clone()));
    }
}

/// Records that a server has answered a request on a new connection.
pub(super) fn note_answered(gateway: &Rc<Gateway>, service: &ServiceName) {
    let now = gateway.now();
    gateway.reach.borrow_mut().note_answered(now, service);
    note_connected(gateway, service);
}

/// Waits for the first probes of a service whose servers may be out of reach.
pub(super) async fn wait_for_probes(gateway: &Gateway, service: &str) {
    let started = gateway.now();
    while gateway.reach.borrow().is_in_doubt(service)
        && gateway.now().saturating_sub(started) < MAX_PROBE_WAIT
    {
        actix_rt::time::sleep(PROBE_CHECK_INTERVAL).await;
    }
}

/// Records that a server has kept a new connection.
fn note_connected(gateway: &Rc<Gateway>, service: &str) {
    let was_cut_off = gateway.reach.borrow_mut().note_connected(service);
    if was_cut_off {
        end_cut(gateway, service);
    }
}

/// Connects to servers of a service until one accepts, a request has reached one, or none is left.
async fn probe_service(gateway: Rc<Gateway>, service: ServiceName) {
    let mut round = 0;
    let mut count = FIRST_PROBES;
    loop {
        let servers = pick_servers(&gateway, &service, round, count);
        if servers.is_empty() {
            break;
        }
        let probes = servers.iter().map(|entry| reaches(&gateway, entry));
        if join_all(probes).await.contains(&true) {
            note_connected(&gateway, &service);
            break;
        }
        let is_news = gateway.reach.borrow_mut().note_probes_failed(&service);
        if is_news {
            LogEvent::ServersUnreached.log(&[
                ("service", &service),
                ("probed", &names(&servers).join(",")),
            ]);
            peers::push_reach(&gateway);
        }
        round += 1;
        count = 1;
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        if !gateway.reach.borrow().is_cut_off(&service) {
            break;
        }
    }
    let was_cut_off = gateway.reach.borrow_mut().end_probes(&service);
    if was_cut_off {
        end_cut(&gateway, &service);
    }
}

fn end_cut(gateway: &Rc<Gateway>, service: &str) {
    gateway.state.borrow_mut().end_cut(service);
    LogEvent::ServersReached.log(&[("service", &service)]);
    peers::push_reach(gateway);
}

fn names(servers: &[ServerEntry]) -> Vec<&str> {
    servers.iter().map(|entry| &*entry.id).collect()
}

/// Picks servers of a service, others in each round.
fn pick_servers(gateway: &Gateway, service: &str, round: u64, count: usize) -> Vec<ServerEntry> {
    let state = gateway.state.borrow();
    let mut servers: Vec<_> = state.registry().ready(service).cloned().collect();
    servers.sort_by_key(|entry| mix64(round, hash64(entry.id.as_bytes())));
    servers.truncate(count);
    servers
}

/// Whether a server accepts a connection and keeps it.
async fn reaches(gateway: &Rc<Gateway>, entry: &ServerEntry) -> bool {
    let server: &ServerName = &entry.id;
    match gateway.connections.connect(server, entry.address).await {
        Ok(mut connection) => {
            let is_kept = connection.is_kept().await;
            connection.release(None, !is_kept);
            is_kept
        }
        Err(error) => {
            log::debug!("probe of server {server} failed: {error}");
            false
        }
    }
}
