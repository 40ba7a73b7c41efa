//! Backend servers as they registered themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::ServiceName;
use super::server_order::ServerOrder;
use crate::{ServerName, Timestamp, ZoneName};

/// Time after the return of the store within which a live backend server registers again.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a backend server says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// Name of the backend server.
    pub id: ServerName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it listens; addresses are used again after a backend server has left.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub availability_zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// Time for which it stays slow after its start.
    pub warm_up: Duration,
    /// Start of the process, as Unix time; a new value means that it forgot everything.
    pub started_unix_ms: Option<u64>,
}

impl ServerEntry {
    /// Creates the entry of a server that takes one request at a time in a zone without a name.
    #[must_use]
    pub fn new(id: &str, service: &str, address: SocketAddr) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            availability_zone: "".into(),
            slots: 1,
            state: ServerState::Ready,
            warm_up: Duration::ZERO,
            started_unix_ms: None,
        }
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn availability_zone(mut self, zone: &str) -> Self {
        self.availability_zone = zone.into();
        self
    }

    /// Sets how many requests it runs at once.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether it takes new requests.
    #[must_use]
    pub const fn state(mut self, state: ServerState) -> Self {
        self.state = state;
        self
    }
}

/// What became of a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RegistryChange {
    /// It is new.
    Added,
    /// It started again and holds nothing of before.
    Restarted,
    /// Something else of its entry changed.
    Updated,
    /// It takes no new requests any more.
    Draining,
    /// It is gone.
    Removed,
}

#[derive(Clone, Debug)]
struct Listed {
    entry: ServerEntry,
    missing_until: Option<Timestamp>,
}

/// Registered backend servers by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<ServerName, Listed>,
    orders: BTreeMap<ServiceName, ServerOrder>,
}

impl Registry {
    /// Takes in an entry; returns what changed, if anything did.
    pub fn upsert(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let id = entry.id.clone();
        let state = entry.state;
        let listed = Listed {
            entry,
            missing_until: None,
        };
        let old = self.servers.get(&id);
        let change = match old {
            None => RegistryChange::Added,
            Some(old) if old.entry == listed.entry => {
                self.servers.insert(id, listed);
                return None;
            }
            Some(old) if old.entry.started_unix_ms != listed.entry.started_unix_ms => {
                RegistryChange::Restarted
            }
            Some(old) if old.entry.state != state && state == ServerState::Draining => {
                RegistryChange::Draining
            }
            Some(_) => RegistryChange::Updated,
        };
        self.take_out(&id);
        if state == ServerState::Ready {
            let order = self.orders.entry(listed.entry.service.clone());
            order.or_default().insert(&id, listed.entry.slots);
        }
        self.servers.insert(id, listed);
        Some(change)
    }

    fn take_out(&mut self, id: &str) {
        let Some((id, listed)) = self.servers.get_key_value(id) else {
            return;
        };
        if let Some(order) = self.orders.get_mut(&listed.entry.service) {
            order.remove(id);
        }
    }

    /// Takes note that an entry is gone.
    pub fn remove(&mut self, id: &str) -> Option<RegistryChange> {
        self.take_out(id);
        self.servers.remove(id).map(|_| RegistryChange::Removed)
    }

    /// Takes note that an entry is missing after an outage of the store.
    ///
    /// It is kept for a short time, in which backend servers that live register again.
    pub fn lapse(&mut self, now: Timestamp, id: &str) -> Option<RegistryChange> {
        let server = self.servers.get_mut(id)?;
        if server.entry.state == ServerState::Draining {
            return self.remove(id);
        }
        server.missing_until = Some(now + LAPSE_GRACE);
        None
    }

    /// Drops entries that did not come back in time; returns their names.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ServerName> {
        let mut gone = Vec::new();
        for (id, server) in &self.servers {
            if server.missing_until.is_some_and(|until| until <= now) {
                gone.push(id.clone());
            }
        }
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Returns the entry of a backend server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|listed| &listed.entry)
    }

    /// Backend servers of a service that take new requests, in their orders.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<&ServerOrder> {
        self.orders.get(service)
    }

    /// Backend servers of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a ServerEntry> {
        let names = self.order(service).into_iter().flat_map(ServerOrder::names);
        names.filter_map(|id| self.get(id))
    }

    /// Number of registered backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Says whether no backend server is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
