//! Servers that remain when one zone loses its spot servers.

use std::collections::BTreeMap;

use super::{ScalingLimits, ServerKind, WorkerSubject};

/// Numbers of servers by zone and kind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Survival {
    servers: BTreeMap<WorkerSubject, u32>,
}

impl Survival {
    pub(super) fn add(&mut self, subject: &WorkerSubject, servers: u32) {
        *self.servers.entry(subject.clone()).or_default() += servers;
    }

    pub(super) fn take(&mut self, subject: &WorkerSubject, servers: u32) {
        let own = self.servers.entry(subject.clone()).or_default();
        *own = own.saturating_sub(servers);
    }

    pub(super) fn get(&self, subject: &WorkerSubject) -> u32 {
        self.servers.get(subject).copied().unwrap_or_default()
    }

    pub(super) fn total(&self) -> u32 {
        self.servers.values().sum()
    }

    /// Servers of both kinds in a zone.
    pub(super) fn in_zone(&self, zone: &str) -> u32 {
        let of_zone = self
            .servers
            .iter()
            .filter(|(subject, _)| &*subject.zone == zone);
        of_zone.map(|(_, &servers)| servers).sum()
    }

    /// Servers that remain when the zone with most spot servers loses these.
    pub(super) fn survivors(&self) -> u32 {
        let spot = self
            .servers
            .iter()
            .filter(|(subject, _)| subject.kind == ServerKind::Spot);
        let largest = spot.map(|(_, &servers)| servers).max().unwrap_or_default();
        self.total() - largest
    }

    /// Raises each number to that of another fleet, as far as the limits of its zone allow.
    pub(super) fn raise_to(&mut self, other: &Self, limits: &ScalingLimits) {
        for (subject, &servers) in &other.servers {
            let room = limits
                .max_servers
                .saturating_sub(self.in_zone(&subject.zone));
            let own = self.get(subject);
            self.add(subject, servers.saturating_sub(own).min(room));
        }
    }
}
