//! Backend servers that come, change and go, by their registry entries.

use super::GatewayState;
use crate::gateway::{LeavingNews, RegistryChange, ServerEntry, ServerStart};
use crate::hash::hash64;
use crate::{ServerName, Timestamp};

impl GatewayState {
    /// Inserts or updates the registry entry of a backend server.
    pub fn upsert_server(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let id = entry.id.clone();
        let old = self.software_of(&id);
        let change = self.registry.upsert(entry);
        self.note_software_change(&id, old);
        self.add_backend(id, change);
        change
    }

    fn add_backend(&mut self, id: ServerName, change: Option<RegistryChange>) {
        let backend = self.backends.entry(id.clone()).or_default();
        if change == Some(RegistryChange::Restarted) {
            backend.restart();
            self.paces.forget(hash64(id.as_bytes()));
        }
        self.restore_pace_class(&id, change);
        self.names_by_hash.insert(hash64(id.as_bytes()), id);
    }

    /// Inserts or updates a registry entry that is read from an older copy of the store; see
    /// [`Registry::restore`].
    pub fn restore_server(
        &mut self,
        now: Timestamp,
        entry: ServerEntry,
        was_removed: bool,
    ) -> Option<RegistryChange> {
        let id = entry.id.clone();
        let heartbeat = self.bounds.server_heartbeat;
        let old = self.software_of(&id);
        let change = self.registry.restore(now, entry, was_removed, heartbeat);
        self.note_software_change(&id, old);
        self.add_backend(id, change);
        change
    }

    /// Removes a backend server whose registry entry was removed.
    pub fn remove_server(&mut self, id: &str) -> Option<RegistryChange> {
        let old = self.software_of(id);
        let change = self.registry.remove(id);
        self.note_software_change(id, old);
        self.remove_backend(id);
        change
    }

    /// Marks a backend server whose registry entry is missing after an outage of the store.
    pub fn mark_server_missing(&mut self, now: Timestamp, id: &str) -> Option<RegistryChange> {
        let old = self.software_of(id);
        let change = self.registry.mark_missing(now, id);
        self.note_software_change(id, old);
        if change == Some(RegistryChange::Removed) {
            self.remove_backend(id);
        }
        change
    }

    /// Records that a server has said that it leaves; see [`Registry::note_leaving`].
    ///
    /// [`Registry::note_leaving`]: crate::gateway::Registry::note_leaving
    pub fn note_leaving(&mut self, now: Timestamp, start: &ServerStart) -> LeavingNews {
        let old = self.software_of(&start.server);
        let news = self.registry.note_leaving(now, start);
        self.note_software_change(&start.server, old);
        if self.registry.get(&start.server).is_none() {
            self.remove_backend(&start.server);
        }
        news
    }

    /// Returns whether a request may still be sent to a server, as described by the entry that it was
    /// chosen by: time has passed since, in which the server may have left, started again or asked for a
    /// pause.
    #[must_use]
    pub fn may_send_to(&self, now: Timestamp, entry: &ServerEntry) -> bool {
        let current = self.registry.usable(&entry.id);
        current.is_some_and(|current| {
            current.address == entry.address
                && current.started_unix_ms == entry.started_unix_ms
                && self.pause_left(now, current).is_none()
        })
    }

    /// Records that this VM is no longer cut off from a service: connections that failed meanwhile tell nothing
    /// of its servers.
    pub fn end_cut(&mut self, service: &str) {
        for entry in self.registry.ready(service) {
            if let Some(backend) = self.backends.get_mut(&entry.id) {
                backend.end_unreachable();
            }
        }
    }

    /// Marks the registry as complete: all registered backend servers are known.
    pub const fn mark_registry_complete(&mut self) {
        self.is_registry_complete = true;
    }

    /// Removes backend servers whose missing entries were not registered again in time.
    pub(super) fn expire_servers(&mut self, now: Timestamp) -> Vec<ServerName> {
        let due = self.registry.due(now);
        let software: Vec<_> = due.iter().map(|id| self.software_of(id)).collect();
        let expired = self.registry.expire(now);
        for (id, old) in due.iter().zip(software) {
            self.note_software_change(id, old);
        }
        for id in &expired {
            self.remove_backend(id);
        }
        expired
    }

    pub(super) fn remove_backend(&mut self, id: &str) {
        self.backends.remove(id);
        self.paces.forget(hash64(id.as_bytes()));
        self.names_by_hash.remove(&hash64(id.as_bytes()));
    }
}
