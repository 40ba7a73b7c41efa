//! What the platform's store holds: the configuration, the backend servers, the other VMs.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use verbenahinge_core::ServerName;
use verbenahinge_core::gateway::Routing;
use verbenahinge_core::hash::jitter;
use verbenahinge_platform::registry;
use verbenahinge_platform::routing;
use verbenahinge_platform::store::{
    CONFIG_KEY, OPERATOR_TABLE, Row, SERVER_TABLE, StoreClient, StoreError, VM_TABLE,
};

use super::Gateway;
use crate::event_log::LogEvent;

/// Time for which one watch waits for a change. A watch whose history was dropped may hear
/// nothing, so that this bounds how late a change is seen.
const CONFIG_WAIT: Duration = Duration::from_millis(1500);

/// Time for which one watch of the backend servers waits for a change.
const REGISTRY_WAIT: Duration = Duration::from_millis(3000);

/// First pause after a call that failed.
const PAUSE_BASE: Duration = Duration::from_millis(100);

/// Longest pause after calls that failed; every VM pays for its calls.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Time between two tries to announce this VM.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);

/// Whether the store answers, and how long to pause when it does not.
struct StoreHealth {
    table: &'static str,
    failures: u32,
    seed: u64,
}

impl StoreHealth {
    fn new(table: &'static str) -> Self {
        Self {
            table,
            failures: 0,
            seed: rand::random(),
        }
    }

    const fn is_lost(&self) -> bool {
        self.failures > 0
    }

    fn note_answer(&mut self) {
        if self.is_lost() {
            LogEvent::PlatformAvailable
                .log(&[("table", &self.table), ("failures", &self.failures)]);
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if !self.is_lost() {
            LogEvent::PlatformUnavailable.log(&[("table", &self.table), ("cause", error)]);
        }
        self.failures += 1;
        let pause = PAUSE_BASE * (1 << self.failures.min(4));
        let pause = pause.min(PAUSE_MAX);
        self.seed = self.seed.wrapping_add(1);
        actix_rt::time::sleep(pause + jitter(self.seed, pause / 2)).await;
    }
}

/// Follows the operator's configuration.
pub(super) async fn watch_config(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut health = StoreHealth::new(OPERATOR_TABLE);
    let mut since: Option<u64> = None;
    loop {
        let result = match since {
            None => store.read_table(OPERATOR_TABLE).await,
            Some(version) => {
                store
                    .watch_table(OPERATOR_TABLE, version, CONFIG_WAIT)
                    .await
            }
        };
        match result {
            Ok(rows) => {
                health.note_answer();
                since = Some(rows.version);
                for row in rows.rows {
                    take_config(&gateway, row);
                }
            }
            Err(StoreError::HistoryGone) => since = None,
            Err(error) => {
                health.note_failure(&error).await;
                // A channel that lost an answer may have lost changes with it.
                since = None;
            }
        }
    }
}

fn take_config(gateway: &Gateway, row: Row) {
    let (CONFIG_KEY, Some(value)) = (row.key.as_str(), row.value) else {
        return;
    };
    match routing::decode(&value) {
        Ok(routing) => adopt(gateway, routing, value.into(), "store"),
        Err(error) => LogEvent::ConfigUnreadable.log(&[("source", &"store"), ("cause", &error)]),
    }
}

/// Brings a version into force if it is newer than the one that is.
pub(super) fn adopt(gateway: &Gateway, routing: Routing, bytes: Bytes, source: &str) {
    let version = routing.version;
    if !gateway.state.borrow_mut().adopt_routing(routing) {
        return;
    }
    gateway.routing_bytes.replace(bytes);
    LogEvent::ConfigInForce.log(&[("version", &version), ("source", &source)]);
}

/// Follows the entries of the backend servers.
pub(super) async fn watch_registry(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut health = StoreHealth::new(SERVER_TABLE);
    let mut unreadable = BTreeSet::new();
    let mut since: Option<u64> = None;
    loop {
        let result = match since {
            None => store.read_table(SERVER_TABLE).await,
            Some(version) => {
                store
                    .watch_table(SERVER_TABLE, version, REGISTRY_WAIT)
                    .await
            }
        };
        match result {
            Ok(rows) => {
                let after_outage = health.is_lost();
                health.note_answer();
                let mut listed = Vec::new();
                for row in rows.rows {
                    listed.push(ServerName::from(row.key.as_str()));
                    take_server(&gateway, row, &mut unreadable);
                }
                if since.is_none() {
                    complete(&gateway, &listed, after_outage);
                }
                since = Some(rows.version);
            }
            Err(StoreError::HistoryGone) => since = None,
            Err(error) => {
                health.note_failure(&error).await;
                since = None;
            }
        }
    }
}

fn complete(gateway: &Gateway, listed: &[ServerName], after_outage: bool) {
    let now = gateway.now();
    let gone = {
        let mut state = gateway.state.borrow_mut();
        state.complete_registry(now, listed, after_outage)
    };
    for server in gone {
        LogEvent::ServerListed.log(&[("server", &server), ("change", &"removed")]);
    }
}

fn take_server(gateway: &Gateway, row: Row, unreadable: &mut BTreeSet<String>) {
    let mut state = gateway.state.borrow_mut();
    let id = row.key;
    let Some(value) = row.value else {
        unreadable.remove(&id);
        if let Some(change) = state.remove_server(&id) {
            LogEvent::ServerListed.log(&[("server", &id), ("change", &change)]);
        }
        return;
    };
    match registry::decode(&id, &value) {
        Ok(entry) => {
            unreadable.remove(&id);
            let address = entry.address;
            let service = entry.service.clone();
            if let Some(change) = state.upsert_server(entry) {
                LogEvent::ServerListed.log(&[
                    ("server", &id),
                    ("change", &change),
                    ("service", &service),
                    ("address", &address),
                ]);
            }
        }
        Err(error) => {
            state.remove_server(&id);
            if unreadable.insert(id.clone()) {
                LogEvent::ServerUnreadable.log(&[("server", &id), ("cause", &error)]);
            }
        }
    }
}

/// Announces this VM in the store and learns of the others, once.
pub(super) async fn announce(gateway: Rc<Gateway>) {
    let (address, ip) = {
        let settings = gateway.settings.borrow();
        (settings.store, settings.ip)
    };
    let mut store = StoreClient::new(address);
    let key = ip.to_string();
    while let Err(error) = store.put(VM_TABLE, &key, b"1").await {
        log::debug!("this VM is not announced yet: {error}");
        actix_rt::time::sleep(ANNOUNCE_PAUSE).await;
    }
    loop {
        match store.read_table(VM_TABLE).await {
            Ok(rows) => {
                let now = gateway.now();
                for row in rows.rows {
                    if let Ok(ip) = row.key.parse::<IpAddr>() {
                        gateway.peers.add(now, ip);
                    }
                }
                break;
            }
            Err(error) => {
                log::debug!("the other VMs are not known yet: {error}");
                actix_rt::time::sleep(ANNOUNCE_PAUSE).await;
            }
        }
    }
    std::future::pending().await
}

/// Withdraws the announcement of this VM.
pub(super) async fn withdraw(gateway: &Gateway) {
    let (address, ip) = {
        let settings = gateway.settings.borrow();
        (settings.store, settings.ip)
    };
    let mut store = StoreClient::new(address);
    if let Err(error) = store.remove(VM_TABLE, &ip.to_string()).await {
        log::debug!("this VM stays announced: {error}");
    }
}
