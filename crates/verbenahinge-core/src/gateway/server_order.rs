//! Backend servers of one service in hash order, which is the same on all VMs.
//!
//! A service can have 700 engines of one model. A request finds the few that suit its prompt from
//! this order, without examining the state of each engine.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::ServerName;
use crate::hash::{hash64, mix64};

/// Salt that makes the order for the interactive group independent of other hash orders.
const GROUP_ORDER_SALT: u64 = 0x6c61_6e65;

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RankedServer {
    group_hash: u64,
    name: ServerName,
    name_hash: u64,
}

/// Backend servers of one service in hash order, which is the same on all VMs.
#[derive(Clone, Debug, Default)]
pub struct ServerOrder {
    slots_by_name: BTreeMap<ServerName, u32>,
    slots: u32,
    by_group_hash: Vec<RankedServer>,
}

impl ServerOrder {
    /// Adds or replaces a server with the given number of slots.
    pub fn insert(&mut self, name: &ServerName, slots: u32) {
        self.remove(name);
        self.slots_by_name.insert(name.clone(), slots);
        self.slots = self.slots.saturating_add(slots);
        let entry = ranked_server(name);
        let at = self.by_group_hash.partition_point(|other| *other < entry);
        self.by_group_hash.insert(at, entry);
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &ServerName) {
        let Some(slots) = self.slots_by_name.remove(name) else {
            return;
        };
        self.slots = self.slots.saturating_sub(slots);
        if let Ok(at) = self.by_group_hash.binary_search(&ranked_server(name)) {
            self.by_group_hash.remove(at);
        }
    }

    /// Names of the servers in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.slots_by_name.keys()
    }

    /// Number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_group_hash.len()
    }

    /// Returns whether there are no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_group_hash.is_empty()
    }

    /// Slots of all servers together.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns those of the given servers that belong to the interactive group: the first
    /// `group_size` servers, but at most half of all.
    #[must_use]
    pub fn in_interactive_group(
        &self,
        servers: &[ServerName],
        group_size: usize,
    ) -> BTreeSet<ServerName> {
        let group = &self.by_group_hash[..self.group_len(group_size)];
        let found = servers
            .iter()
            .filter(|name| group.binary_search(&ranked_server(name)).is_ok());
        found.cloned().collect()
    }

    fn group_len(&self, group_size: usize) -> usize {
        group_size.min(self.by_group_hash.len() / 2)
    }

    /// Returns up to `count` usable servers for a key by rendezvous hashing.
    ///
    /// Servers of the group for the kind of request come first; interactive streams use the first
    /// `group_size` servers, all other requests the rest.
    pub fn top_ranked(
        &self,
        key: u64,
        group_size: usize,
        interactive: bool,
        count: usize,
        mut is_usable: impl FnMut(&ServerName) -> bool,
    ) -> Vec<ServerName> {
        let (interactive_group, others) = self.by_group_hash.split_at(self.group_len(group_size));
        let groups = if interactive {
            [interactive_group, others]
        } else {
            [others, interactive_group]
        };
        let mut ranked = Vec::new();
        for group in groups {
            let weighted = group
                .iter()
                .map(|server| (mix64(key, server.name_hash), server));
            let mut heap: BinaryHeap<_> = weighted.collect();
            while ranked.len() < count
                && let Some((_, server)) = heap.pop()
            {
                if is_usable(&server.name) {
                    ranked.push(server.name.clone());
                }
            }
        }
        ranked
    }
}

/// Sort key of an engine in the order for the interactive group, the same on all VMs.
pub(super) fn group_hash(name: &str) -> u64 {
    mix64(hash64(name.as_bytes()), GROUP_ORDER_SALT)
}

fn ranked_server(name: &ServerName) -> RankedServer {
    RankedServer {
        group_hash: group_hash(name),
        name: name.clone(),
        name_hash: hash64(name.as_bytes()),
    }
}
