//! Backend servers of one service in the orders that all VMs agree on.
//!
//! Load pattern: seven hundred engines of one model, and a request that has to find the few that
//! suit its prompt without a look at what is believed about each of them.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::ServerName;
use crate::hash::{hash64, mix64};

/// Sets the order in which engines are kept for interactive streams apart from other orders.
const LANE_ORDER: u64 = 0x6c61_6e65;

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Ordered {
    lane_hash: u64,
    id: ServerName,
    id_hash: u64,
}

/// Backend servers of one service in the orders that all VMs agree on.
#[derive(Clone, Debug, Default)]
pub struct ServerOrder {
    slots_by_name: BTreeMap<ServerName, u32>,
    slots: u32,
    by_lane: Vec<Ordered>,
}

impl ServerOrder {
    /// Takes in a server that runs so many requests at once.
    pub fn insert(&mut self, id: &ServerName, slots: u32) {
        self.remove(id);
        self.slots_by_name.insert(id.clone(), slots);
        self.slots = self.slots.saturating_add(slots);
        let ordered = ordered(id);
        let at = self.by_lane.partition_point(|other| *other < ordered);
        self.by_lane.insert(at, ordered);
    }

    /// Takes a server out.
    pub fn remove(&mut self, id: &ServerName) {
        let Some(slots) = self.slots_by_name.remove(id) else {
            return;
        };
        self.slots = self.slots.saturating_sub(slots);
        if let Ok(at) = self.by_lane.binary_search(&ordered(id)) {
            self.by_lane.remove(at);
        }
    }

    /// Servers by name.
    pub fn names(&self) -> impl Iterator<Item = &ServerName> {
        self.slots_by_name.keys()
    }

    /// Number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_lane.len()
    }

    /// Says whether there is no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_lane.is_empty()
    }

    /// Requests that all servers together run at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Those of some servers that are in the lane of interactive streams, which is the first `lane`
    /// servers, up to half of all.
    #[must_use]
    pub fn in_lane(&self, servers: &[ServerName], lane: usize) -> BTreeSet<ServerName> {
        let in_lane = &self.by_lane[..self.lane_len(lane)];
        let found = servers
            .iter()
            .filter(|id| in_lane.binary_search(&ordered(id)).is_ok());
        found.cloned().collect()
    }

    fn lane_len(&self, lane: usize) -> usize {
        lane.min(self.by_lane.len() / 2)
    }

    /// The servers that suit a key best, of those that are usable: first those of the lane that
    /// is meant for the request, which is the first `lane` servers for interactive streams.
    pub fn best(
        &self,
        key: u64,
        lane: usize,
        interactive: bool,
        count: usize,
        mut usable: impl FnMut(&ServerName) -> bool,
    ) -> Vec<ServerName> {
        let (in_lane, others) = self.by_lane.split_at(self.lane_len(lane));
        let sides = if interactive {
            [in_lane, others]
        } else {
            [others, in_lane]
        };
        let mut best = Vec::new();
        for side in sides {
            let weighed = side
                .iter()
                .map(|server| (mix64(key, server.id_hash), server));
            let mut heap: BinaryHeap<_> = weighed.collect();
            while best.len() < count
                && let Some((_, server)) = heap.pop()
            {
                if usable(&server.id) {
                    best.push(server.id.clone());
                }
            }
        }
        best
    }
}

/// Number by which engines are put into the order of the lane, the same on all VMs.
pub(super) fn lane_hash(id: &str) -> u64 {
    mix64(hash64(id.as_bytes()), LANE_ORDER)
}

fn ordered(id: &ServerName) -> Ordered {
    Ordered {
        lane_hash: lane_hash(id),
        id: id.clone(),
        id_hash: hash64(id.as_bytes()),
    }
}
