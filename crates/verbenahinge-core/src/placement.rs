//! Choice of the backend server for one request, by consistent hashing.
//!
//! A hash ring maps the prompt prefix of a conversation to the same sequence of backend servers
//! on every VM without shared state, so that later turns find their prefix in the cache. The
//! first server along the ring with an uncontested free slot is chosen, or else the least loaded
//! server of the pool. A long prompt may also take a contested slot on the servers that are likely
//! to have its prefix cached, unless other requests are waiting. See `docs/design/placement.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::ServerName;
use crate::hash::{hash64, mix64};

/// Number of points on the ring per backend server.
const POINTS_PER_SERVER: u64 = 16;

/// Number of ring points whose servers are likely to have a conversation's prefix cached.
const AFFINITY_RING_STEPS: usize = 2;

/// Prompt length from which prefilling again costs more than using a contested server.
const LONG_PROMPT_TOKENS: u32 = 4000;

/// Maximum number of ring points that one choice visits.
const MAX_RING_STEPS: usize = 24;

/// Load of a server in thousandths of its slots, with contested and full servers marked as below.
pub type LoadPermille = u64;

/// Load of a server whose last free slots other VMs are likely to take.
///
/// All such servers have this same load, so that VMs do not all choose the emptiest one.
pub const CONTESTED_PERMILLE: LoadPermille = 1000;

/// Offset that is added to the load of a full server.
pub const FULL_PERMILLE: LoadPermille = 2000;

/// Properties of a request that determine the choice of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementQuery {
    /// Hash of the conversation's prompt prefix.
    pub prefix_hash: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Whether other requests are waiting; contested slots are then not taken for cache affinity.
    pub others_waiting: bool,
}

/// Whether a slot is free for one more request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAvailability {
    /// A server has a free slot that is not contested.
    Free,
    /// The only free slots are ones that other VMs are likely to take.
    Contested,
    /// No slot is free.
    None,
}

#[derive(Clone, Copy, Debug)]
struct RankedLoad {
    load: LoadPermille,
    tie_break: u64,
}

/// Backend servers of one pool, indexed by ring point and by load.
#[derive(Clone, Debug, Default)]
pub struct PlacementIndex {
    ring: BTreeMap<u64, ServerName>,
    loads: BTreeMap<ServerName, RankedLoad>,
    by_load: BTreeSet<(LoadPermille, u64, ServerName)>,
    salt: u64,
}

impl PlacementIndex {
    /// Creates an empty index; the salt makes each VM break ties between equal loads differently.
    #[must_use]
    pub fn new(salt: u64) -> Self {
        Self {
            salt,
            ..Self::default()
        }
    }

    /// Adds a server or updates its load.
    pub fn set_load(&mut self, server: &ServerName, load: LoadPermille) {
        let Some(ranked) = self.loads.get_mut(server) else {
            self.add(server, load);
            return;
        };
        if ranked.load == load {
            return;
        }
        let old = std::mem::replace(&mut ranked.load, load);
        let tie_break = ranked.tie_break;
        self.by_load.remove(&(old, tie_break, server.clone()));
        self.by_load.insert((load, tie_break, server.clone()));
    }

    fn add(&mut self, server: &ServerName, load: LoadPermille) {
        let tie_break = mix64(hash64(server.as_bytes()), self.salt);
        self.loads
            .insert(server.clone(), RankedLoad { load, tie_break });
        self.by_load.insert((load, tie_break, server.clone()));
        for point in ring_points(server) {
            self.ring.insert(point, server.clone());
        }
    }

    /// Removes a server, so that it is no longer chosen.
    pub fn remove(&mut self, server: &ServerName) {
        let Some(RankedLoad { load, tie_break }) = self.loads.remove(server) else {
            return;
        };
        self.by_load.remove(&(load, tie_break, server.clone()));
        for point in ring_points(server) {
            self.ring.remove(&point);
        }
    }

    /// Chooses a server for a request, excluding the ones already tried.
    ///
    /// The search continues along the ring past the preferred servers before it falls back to
    /// the least loaded one, because VMs that all chose that one at once would overload it.
    #[must_use]
    pub fn choose(&self, query: &PlacementQuery, tried: &[ServerName]) -> Option<ServerName> {
        if query.prompt_tokens >= LONG_PROMPT_TOKENS && !query.others_waiting {
            let preferred =
                self.walk_ring(query.prefix_hash, AFFINITY_RING_STEPS, FULL_PERMILLE, tried);
            if preferred.is_some() {
                return preferred;
            }
        }
        self.walk_ring(query.prefix_hash, MAX_RING_STEPS, CONTESTED_PERMILLE, tried)
            .or_else(|| self.least_loaded(tried))
    }

    /// Returns the first untried server along the ring whose load is below `limit`.
    fn walk_ring(
        &self,
        prefix_hash: u64,
        steps: usize,
        limit: LoadPermille,
        tried: &[ServerName],
    ) -> Option<ServerName> {
        let points = self
            .ring
            .range(prefix_hash..)
            .chain(self.ring.range(..prefix_hash));
        for (_, server) in points.take(steps) {
            if tried.contains(server) || self.loads[server].load >= limit {
                continue;
            }
            return Some(server.clone());
        }
        None
    }

    fn least_loaded(&self, tried: &[ServerName]) -> Option<ServerName> {
        self.by_load
            .iter()
            .map(|(_, _, server)| server)
            .find(|server| !tried.contains(server))
            .cloned()
    }

    /// Returns the best slot availability among the servers, as far as this VM knows.
    #[must_use]
    pub fn slot_availability(&self) -> SlotAvailability {
        match self.by_load.first() {
            Some((load, _, _)) if *load < CONTESTED_PERMILLE => SlotAvailability::Free,
            Some((load, _, _)) if *load < FULL_PERMILLE => SlotAvailability::Contested,
            _ => SlotAvailability::None,
        }
    }

    /// Returns whether a server is in the index.
    #[must_use]
    pub fn contains(&self, server: &ServerName) -> bool {
        self.loads.contains_key(server)
    }

    /// Number of servers in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.loads.len()
    }

    /// Returns whether the index has no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }
}

fn ring_points(server: &ServerName) -> impl Iterator<Item = u64> {
    let seed = hash64(server.as_bytes());
    (0..POINTS_PER_SERVER).map(move |point| mix64(seed, point))
}
