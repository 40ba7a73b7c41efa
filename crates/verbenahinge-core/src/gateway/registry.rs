//! Registry of backend servers, which register themselves.

mod leaving_starts;
mod registration;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

pub use self::leaving_starts::LeavingNews;
use self::leaving_starts::LeavingStarts;
use self::registration::{Registration, Standing};
use super::server_order::ServerOrder;
use super::{REREGISTER_GRACE, ServerStart, ServiceName, SoftwareName, SoftwareVersion};
use crate::{ServerName, Timestamp, ZoneName};

/// Time for which a server is held, in heartbeats. The entry of a server that has left lapses after
/// three of them, counted from the return of the store.
const HOLD_HEARTBEATS: u32 = 4;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Default, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new requests.
    #[default]
    Ready,
    /// The server completes its running requests and then shuts down.
    Draining,
}

/// Registry entry of a backend server, as published by the server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// Name of the backend server.
    pub id: ServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Listen address; the platform may reuse it for another backend server later.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Time after the start during which the server is slow.
    pub warm_up: Duration,
    /// Start of the process as Unix time in milliseconds; a new value means that all state is lost.
    pub started_unix_ms: Option<u64>,
    /// Version of the server's software, which is not that of its model's weights.
    pub software: Option<SoftwareName>,
    /// Whether the server is a spot server, which costs less and may be reclaimed at short notice.
    pub spot: bool,
    /// Time until the server is gone, when the entry was written; `None` if it does not say.
    pub leaves_in: Option<Duration>,
}

impl ServerEntry {
    /// Creates the entry of a ready server with one slot and an empty availability zone.
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
            software: None,
            spot: false,
            leaves_in: None,
        }
    }

    /// Returns the software version of the server, which is unique to its service.
    #[must_use]
    pub fn software_version(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.service, self.software.as_deref())
    }

    /// Returns the start of the server that the entry describes.
    #[must_use]
    pub fn start(&self) -> ServerStart {
        ServerStart {
            server: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn availability_zone(mut self, zone: &str) -> Self {
        self.availability_zone = zone.into();
        self
    }

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the version of the server's software.
    #[must_use]
    pub fn software(mut self, software: &str) -> Self {
        self.software = Some(software.into());
        self
    }

    /// Marks the server as a spot server.
    #[must_use]
    pub const fn spot(mut self) -> Self {
        self.spot = true;
        self
    }

    /// Sets whether the server accepts new requests.
    #[must_use]
    pub const fn state(mut self, state: ServerState) -> Self {
        self.state = state;
        self
    }
}

/// Change of a backend server's registration.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RegistryChange {
    /// The server is new.
    Added,
    /// The server restarted and lost its state.
    Restarted,
    /// Another part of the entry changed.
    Updated,
    /// The server stopped accepting new requests.
    Draining,
    /// The entry is missing after an outage of the store; the server stays in use for a while.
    Missing,
    /// The entry was removed.
    Removed,
    /// The entry had been removed, and an older copy of the store lists it again; the server stays
    /// unused for a while.
    Held,
}

/// Registered backend servers by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<ServerName, Registration>,
    orders: BTreeMap<ServiceName, ServerOrder>,
    leaving: LeavingStarts,
}

impl Registry {
    /// Inserts or replaces an entry; returns the change, or `None` if the entry is the same.
    pub fn upsert(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let id = entry.id.clone();
        let state = entry.state;
        let standing = self.standing_of(&entry);
        let registration = Registration { entry, standing };
        let old = self.servers.get(&id);
        let change = match old {
            None => RegistryChange::Added,
            Some(old) if old.entry == registration.entry && !old.is_held() => {
                self.servers.insert(id, registration);
                return None;
            }
            Some(old) if old.entry.started_unix_ms != registration.entry.started_unix_ms => {
                RegistryChange::Restarted
            }
            Some(old) if old.entry.state != state && state == ServerState::Draining => {
                RegistryChange::Draining
            }
            Some(_) => RegistryChange::Updated,
        };
        self.remove_from_order(&id);
        if registration.is_usable() {
            let order = self.orders.entry(registration.entry.service.clone());
            order.or_default().insert(&id, registration.entry.slots);
        }
        self.servers.insert(id, registration);
        Some(change)
    }

    /// Inserts or replaces an entry that is read from an older copy of the store, which may have been
    /// overtaken before; returns the change, or `None` if there is none.
    ///
    /// A server that was draining does not become ready again. One that was removed (`was_removed`)
    /// stays unused until its entry changes, or for long enough that the entry would have lapsed by
    /// then if the server had left.
    pub fn restore(
        &mut self,
        now: Timestamp,
        entry: ServerEntry,
        was_removed: bool,
        heartbeat: Duration,
    ) -> Option<RegistryChange> {
        let standing = self.standing_of(&entry);
        match self.servers.get_mut(&entry.id) {
            Some(old)
                if old.entry.state == ServerState::Draining
                    && old.entry.started_unix_ms == entry.started_unix_ms =>
            {
                old.standing = standing;
                None
            }
            None if was_removed && entry.state == ServerState::Ready => {
                let until = now + heartbeat * HOLD_HEARTBEATS;
                let id = entry.id.clone();
                let registration = Registration {
                    entry,
                    standing: Standing::Held { until },
                };
                self.servers.insert(id, registration);
                Some(RegistryChange::Held)
            }
            _ => self.upsert(entry),
        }
    }

    /// Standing of a server whose entry is in the store.
    fn standing_of(&self, entry: &ServerEntry) -> Standing {
        if self.leaving.contains(&entry.start()) {
            Standing::Leaving
        } else {
            Standing::Listed
        }
    }

    /// Records that a server has said that it leaves, in an answer to this VM or another.
    ///
    /// It stays unused until it starts again. If its entry is missing after an outage of the store, the
    /// entry is removed, as nothing speaks for its return.
    pub fn note_leaving(&mut self, now: Timestamp, start: &ServerStart) -> LeavingNews {
        if !self.leaving.insert(now, start) {
            return LeavingNews::Known;
        }
        let id = &*start.server;
        let Some(server) = self.servers.get_mut(id) else {
            return LeavingNews::Unused;
        };
        if server.entry.started_unix_ms != start.started_unix_ms {
            return LeavingNews::Unused;
        }
        let was_usable = server.is_usable();
        let was_missing = matches!(server.standing, Standing::Missing { .. });
        server.standing = Standing::Leaving;
        self.remove_from_order(id);
        if was_missing {
            self.servers.remove(id);
        }
        if was_usable {
            LeavingNews::Stopped
        } else {
            LeavingNews::Unused
        }
    }

    fn remove_from_order(&mut self, id: &str) {
        let Some((id, registration)) = self.servers.get_key_value(id) else {
            return;
        };
        if let Some(order) = self.orders.get_mut(&registration.entry.service) {
            order.remove(id);
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str) -> Option<RegistryChange> {
        self.remove_from_order(id);
        self.servers.remove(id).map(|_| RegistryChange::Removed)
    }

    /// Marks an entry as missing after an outage of the store.
    ///
    /// The entry stays for `REREGISTER_GRACE`, in which a live backend server registers again; that
    /// of a draining server is removed at once.
    pub fn mark_missing(&mut self, now: Timestamp, id: &str) -> Option<RegistryChange> {
        let server = self.servers.get_mut(id)?;
        if !server.is_usable() {
            return self.remove(id);
        }
        server.standing = Standing::Missing {
            deadline: now + REREGISTER_GRACE,
        };
        Some(RegistryChange::Missing)
    }

    /// Removes missing entries that were not registered again in time, and returns their names;
    /// servers that were held long enough become ready.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ServerName> {
        self.release_held(now);
        let servers = &self.servers;
        self.leaving.expire(now, |start| {
            let listed = servers.get(&start.server);
            listed.is_some_and(|server| server.entry.started_unix_ms == start.started_unix_ms)
        });
        let expired = self.due(now);
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Names of missing entries that were not registered again in time.
    #[must_use]
    pub fn due(&self, now: Timestamp) -> Vec<ServerName> {
        let mut due = Vec::new();
        for (id, server) in &self.servers {
            if let Standing::Missing { deadline } = server.standing
                && deadline <= now
            {
                due.push(id.clone());
            }
        }
        due
    }

    fn release_held(&mut self, now: Timestamp) {
        let mut released = Vec::new();
        for server in self.servers.values() {
            if let Standing::Held { until } = server.standing
                && until <= now
            {
                released.push(server.entry.clone());
            }
        }
        for entry in released {
            self.upsert(entry);
        }
    }

    /// Time at which the next missing entry expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let deadlines = self
            .servers
            .values()
            .filter_map(|server| match server.standing {
                Standing::Missing { deadline } => Some(deadline),
                Standing::Listed | Standing::Held { .. } | Standing::Leaving => None,
            });
        deadlines.min()
    }

    /// Returns the entry of a backend server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|registration| &registration.entry)
    }

    /// Returns the entry of a backend server if it gets requests.
    #[must_use]
    pub fn usable(&self, id: &str) -> Option<&ServerEntry> {
        let registration = self.servers.get(id)?;
        registration.is_usable().then_some(&registration.entry)
    }

    /// Ready backend servers of a service in the order that all VMs agree on.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<&ServerOrder> {
        self.orders.get(service)
    }

    /// As [`Self::order`], to change the pace classes of the servers.
    pub(super) fn order_mut(&mut self, service: &str) -> Option<&mut ServerOrder> {
        self.orders.get_mut(service)
    }

    /// Entries of the ready backend servers of a service.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a ServerEntry> {
        let names = self.order(service).into_iter().flat_map(ServerOrder::names);
        names.filter_map(|id| self.get(id))
    }

    /// All entries, and whether their servers get requests.
    pub fn entries(&self) -> impl Iterator<Item = (&ServerEntry, bool)> {
        let servers = self.servers.values();
        servers.map(|registration| (&registration.entry, registration.is_usable()))
    }

    /// Number of registered backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no backend server is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
