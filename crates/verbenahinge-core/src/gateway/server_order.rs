//! Backend servers of one service in hash order, which is the same on all VMs.
//!
//! At services with tight gap targets, the servers of the fastest pace classes are for their streams; VMs may
//! differ in these for a moment.
//!
//! A service can have 700 engines of one model. A request finds the few that suit its prompt from
//! this order, without examining the state of each engine.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::StreamKind;
use crate::ServerName;
use crate::hash::{hash64, mix64};

/// Salt that makes the order for the interactive group independent of other hash orders.
const GROUP_ORDER_SALT: u64 = 0x6c61_6e65;

/// Pace of a server in half octaves, negative for fast ones; 0 for the usual pace or an unknown one.
pub type PaceClass = i8;

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
    /// Classes of the servers that are not of the usual pace.
    pace_classes: BTreeMap<ServerName, PaceClass>,
    by_group_hash: Vec<RankedServer>,
    /// The same servers, those of a faster class first.
    by_pace: Vec<(PaceClass, RankedServer)>,
}

/// Engines of a service with tight gap targets, by the kind of request that uses them first.
struct PacedGroups<'a> {
    tight: Vec<&'a RankedServer>,
    interactive: Vec<&'a RankedServer>,
    others: Vec<&'a RankedServer>,
}

impl ServerOrder {
    /// Adds or replaces a server with the given number of slots.
    pub fn insert(&mut self, name: &ServerName, slots: u32) {
        self.remove(name);
        self.slots_by_name.insert(name.clone(), slots);
        self.slots = self.slots.saturating_add(slots);
        let entry = ranked_server(name);
        let at = self.by_group_hash.partition_point(|other| *other < entry);
        self.by_group_hash.insert(at, entry.clone());
        self.insert_by_pace((0, entry));
    }

    fn insert_by_pace(&mut self, entry: (PaceClass, RankedServer)) {
        let at = self.by_pace.partition_point(|other| *other < entry);
        self.by_pace.insert(at, entry);
    }

    /// Removes a server from the order by pace and drops its class.
    fn remove_by_pace(&mut self, name: &str, entry: RankedServer) {
        let class = self.pace_classes.remove(name).unwrap_or(0);
        if let Ok(at) = self.by_pace.binary_search(&(class, entry)) {
            self.by_pace.remove(at);
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &ServerName) {
        let Some(slots) = self.slots_by_name.remove(name) else {
            return;
        };
        self.slots = self.slots.saturating_sub(slots);
        let entry = ranked_server(name);
        if let Ok(at) = self.by_group_hash.binary_search(&entry) {
            self.by_group_hash.remove(at);
        }
        self.remove_by_pace(name, entry);
    }

    /// Pace class of a server.
    #[must_use]
    pub fn pace_class(&self, name: &str) -> PaceClass {
        self.pace_classes.get(name).copied().unwrap_or(0)
    }

    /// Sets the pace class of a server.
    pub fn set_pace_class(&mut self, name: &ServerName, class: PaceClass) {
        if !self.slots_by_name.contains_key(name) || self.pace_class(name) == class {
            return;
        }
        let entry = ranked_server(name);
        self.remove_by_pace(name, entry.clone());
        if class != 0 {
            self.pace_classes.insert(name.clone(), class);
        }
        self.insert_by_pace((class, entry));
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

    /// Divides the servers at a service with tight gap targets.
    ///
    /// Streams with such targets use the `tight_size` fastest servers first. The other interactive streams
    /// use the next ones by hash, whatever their pace, so that the group takes no more than its part
    /// of the engines' capacity from all other requests.
    fn paced_groups(&self, tight_size: usize, group_size: usize) -> PacedGroups<'_> {
        let group_len = self.group_len(group_size);
        let tight_len = tight_size.min(group_len);
        let tight: BTreeSet<&ServerName> = self.by_pace[..tight_len]
            .iter()
            .map(|(_, server)| &server.name)
            .collect();
        let mut groups = PacedGroups {
            tight: Vec::new(),
            interactive: Vec::new(),
            others: Vec::new(),
        };
        for server in &self.by_group_hash {
            if tight.contains(&server.name) {
                groups.tight.push(server);
            } else if groups.interactive.len() < group_len - tight_len {
                groups.interactive.push(server);
            } else {
                groups.others.push(server);
            }
        }
        groups
    }

    /// Returns, at a service with tight gap targets, those of the given servers that belong to the
    /// interactive group, and those that streams with such targets use first.
    #[must_use]
    pub fn in_paced_groups(
        &self,
        servers: &[ServerName],
        tight_size: usize,
        group_size: usize,
    ) -> (BTreeSet<ServerName>, BTreeSet<ServerName>) {
        let groups = self.paced_groups(tight_size, group_size);
        let among = |group: &[&RankedServer]| -> BTreeSet<ServerName> {
            let names: BTreeSet<&ServerName> = group.iter().map(|server| &server.name).collect();
            let found = servers.iter().filter(|name| names.contains(name));
            found.cloned().collect()
        };
        let tight = among(&groups.tight);
        let mut interactive = among(&groups.interactive);
        interactive.extend(tight.iter().cloned());
        (interactive, tight)
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
        let groups = groups.map(|group| group.iter().collect());
        top_ranked_in(groups, key, count, &mut is_usable)
    }

    /// As [`Self::top_ranked`], at a service with tight gap targets: their streams use the first `tight_size`
    /// servers of the interactive group first, and other interactive streams the rest of that group, unless
    /// they have found no room there (`is_overflow`).
    pub fn top_ranked_paced(
        &self,
        key: u64,
        (tight_size, group_size): (usize, usize),
        (kind, is_overflow): (StreamKind, bool),
        count: usize,
        mut is_usable: impl FnMut(&ServerName) -> bool,
    ) -> Vec<ServerName> {
        let PacedGroups {
            tight,
            interactive,
            others,
        } = self.paced_groups(tight_size, group_size);
        let groups = match kind {
            StreamKind::Tight => [tight, interactive, others],
            // Those that find no room in their group go to the many others, rather than to its rest.
            StreamKind::Interactive if is_overflow => [others, interactive, tight],
            StreamKind::Interactive => [interactive, others, tight],
            StreamKind::Other => [others, interactive, tight],
        };
        top_ranked_in(groups, key, count, &mut is_usable)
    }
}

/// Returns up to `count` usable servers for a key by rendezvous hashing, those of the first group first.
fn top_ranked_in<'a>(
    groups: impl IntoIterator<Item = Vec<&'a RankedServer>>,
    key: u64,
    count: usize,
    is_usable: &mut impl FnMut(&ServerName) -> bool,
) -> Vec<ServerName> {
    let mut ranked = Vec::new();
    for group in groups {
        let weighted = group
            .into_iter()
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

fn ranked_server(name: &str) -> RankedServer {
    RankedServer {
        group_hash: group_hash(name),
        name: name.into(),
        name_hash: hash64(name.as_bytes()),
    }
}

/// Sort key of an engine in the order for the interactive group, the same on all VMs.
pub(super) fn group_hash(name: &str) -> u64 {
    mix64(hash64(name.as_bytes()), GROUP_ORDER_SALT)
}
