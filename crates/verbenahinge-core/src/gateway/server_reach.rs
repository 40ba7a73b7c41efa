//! Whether this VM can open connections to the servers of a service.
//!
//! Load pattern: the network cuts some VMs off from all servers for seconds, while callers, the store and
//! the other VMs still reach them. New connections hang, are reset or are refused, and old ones may live
//! on. A crashed server refuses connections too, so that failures at one server tell nothing of the VM.
//! See `docs/design/server-reach.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::ServiceName;
use crate::{ServerName, Timestamp};

/// Servers that accept no connection, one after the other, from which the VM may be cut off.
const MIN_FAILED_SERVERS: usize = 2;

/// Time after an answer on a new connection for which other new connections count as sound: networks that cut
/// a VM off may accept a connection and reset it at once.
const PROOF_TTL: Duration = Duration::from_secs(2);

/// What is known of the connections to the servers of a service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Servers at which connections have failed since the last one that succeeded at any server.
    failed: BTreeSet<ServerName>,
    is_probed: bool,
    is_cut_off: bool,
}

/// Whether this VM can open connections to the servers of each service.
#[derive(Clone, Debug, Default)]
pub struct ServerReach {
    services: BTreeMap<ServiceName, ServiceReach>,
    answered_at: BTreeMap<ServiceName, Timestamp>,
}

impl ServerReach {
    /// Records that a connection to one of the `ready` servers of a service could not be opened; returns
    /// whether the service has to be probed from now on.
    pub fn note_failed(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
        ready: usize,
    ) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        reach.failed.insert(server.clone());
        let min_failed = MIN_FAILED_SERVERS.min(ready.max(1));
        let begins = reach.failed.len() >= min_failed && !reach.is_probed;
        reach.is_probed |= begins;
        begins
    }

    /// Records that a server has answered a request on a new connection.
    pub fn note_answered(&mut self, now: Timestamp, service: &ServiceName) {
        self.answered_at.insert(service.clone(), now);
    }

    /// Whether a new connection to a server of a service can be used at once, since another one was answered
    /// lately.
    #[must_use]
    pub fn is_proven(&self, now: Timestamp, service: &str) -> bool {
        let answered_at = self.answered_at.get(service);
        answered_at.is_some_and(|&at| at + PROOF_TTL > now)
    }

    /// Whether servers of a service are being probed, and no probe round has ended yet.
    #[must_use]
    pub fn is_in_doubt(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_probed && !reach.is_cut_off && !reach.failed.is_empty())
    }

    /// Records that a connection to a server was kept; returns whether the VM was cut off.
    pub fn note_connected(&mut self, service: &str) -> bool {
        let Some(reach) = self.services.get_mut(service) else {
            return false;
        };
        reach.failed.clear();
        std::mem::replace(&mut reach.is_cut_off, false)
    }

    /// Records that no probe has reached a server either; returns whether that is news.
    ///
    /// Does nothing if a connection has succeeded meanwhile.
    pub fn note_probes_failed(&mut self, service: &str) -> bool {
        let reach = self.services.get_mut(service);
        let Some(reach) = reach.filter(|reach| !reach.failed.is_empty()) else {
            return false;
        };
        !std::mem::replace(&mut reach.is_cut_off, true)
    }

    /// Records that a service is no longer probed; returns whether the VM was cut off from it.
    pub fn end_probes(&mut self, service: &str) -> bool {
        let reach = self.services.remove(service);
        reach.is_some_and(|reach| reach.is_cut_off)
    }

    /// Whether this VM can open no connection to any server of a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_cut_off)
    }

    /// Services whose servers this VM cannot connect to.
    pub fn cut_off_services(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        services.filter_map(|(service, reach)| reach.is_cut_off.then_some(service))
    }
}
