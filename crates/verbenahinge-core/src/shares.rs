//! Division of one pool's slots among the VMs, based on the demand in their digests.
//!
//! Every VM computes the same division. Starting with the highest tier, the demand of all VMs is
//! met in full while slots last, and in proportion in the tier where they run out. Slots that no
//! tier requests are split evenly, so that a VM can serve a new request without coordination.
//! The alternatives are discussed in `docs/design/shares.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::declaration::{TIER_COUNT, tier_index};
use crate::{Tier, Timestamp, VmId};

/// Time after which the demand of a VM that sends no digests expires and releases its slots.
pub const DEMAND_TTL: Duration = Duration::from_secs(3);

/// Demand for one pool by tier.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Running requests.
    pub running: [u32; TIER_COUNT],
    /// Queued requests.
    pub queued: [u32; TIER_COUNT],
}

impl Demand {
    /// Returns the slots that a tier requests, one per running or queued request.
    #[must_use]
    pub const fn requested(&self, tier: usize) -> u32 {
        self.running[tier] + self.queued[tier]
    }

    /// Returns the number of running requests over all tiers.
    #[must_use]
    pub fn total_running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns `true` if no request runs or is queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

#[derive(Clone, Debug)]
struct PeerDemand {
    demand: Demand,
    by_server: Vec<u32>,
    seen: Timestamp,
}

/// Demand of this VM's peers for one pool, with running totals.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    peers: BTreeMap<VmId, PeerDemand>,
    requested: [u64; TIER_COUNT],
    waiting_peers: [u32; TIER_COUNT],
    running: u32,
    by_server: Vec<u32>,
}

/// Slots that one VM may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Slots per tier, up to the tier's demand.
    pub tiers: [u32; TIER_COUNT],
    /// This VM's part of the slots that no tier of any VM requests.
    pub spare: u32,
}

impl Quota {
    /// Returns the slots that requests of this tier and all higher ones may use together.
    #[must_use]
    pub fn up_to(&self, tier: Tier) -> u32 {
        let tiers: u32 = self.tiers[..=tier_index(tier)].iter().sum();
        tiers + self.spare
    }

    /// Returns the total number of slots.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.tiers.iter().sum::<u32>() + self.spare
    }
}

impl Shares {
    /// Creates shares without peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the demand of a peer.
    ///
    /// `by_server` holds the peer's requests on each backend server, in the order of server names;
    /// if it is empty, the last known counts are kept.
    pub fn update(&mut self, now: Timestamp, vm: VmId, demand: Demand, by_server: &[u32]) {
        let old = self.take_peer(vm);
        let by_server = match old {
            Some(old) if by_server.is_empty() => old.by_server,
            _ => by_server.to_vec(),
        };
        self.apply_demand(&demand, true);
        self.apply_server_counts(&by_server, true);
        let peer = PeerDemand {
            demand,
            by_server,
            seen: now,
        };
        self.peers.insert(vm, peer);
    }

    fn apply_server_counts(&mut self, counts: &[u32], add: bool) {
        if self.by_server.len() < counts.len() {
            self.by_server.resize(counts.len(), 0);
        }
        for (sum, count) in self.by_server.iter_mut().zip(counts) {
            if add {
                *sum += count;
            } else {
                *sum -= count;
            }
        }
    }

    /// Returns the requests that peers run on each backend server, in the order of server names.
    #[must_use]
    pub fn peer_requests_by_server(&self) -> &[u32] {
        &self.by_server
    }

    /// Clears the counts per backend server after the list of servers has changed.
    pub fn clear_server_counts(&mut self) {
        self.by_server.clear();
        for peer in self.peers.values_mut() {
            peer.by_server.clear();
        }
    }

    /// Removes a peer and its demand, which frees its share for the other VMs.
    pub fn remove_peer(&mut self, vm: VmId) {
        self.take_peer(vm);
    }

    fn take_peer(&mut self, vm: VmId) -> Option<PeerDemand> {
        let old = self.peers.remove(&vm)?;
        self.apply_demand(&old.demand, false);
        self.apply_server_counts(&old.by_server, false);
        Some(old)
    }

    /// Removes peers whose demand is older than [`DEMAND_TTL`].
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.seen + DEMAND_TTL <= now)
            .map(|(&vm, _)| vm)
            .collect();
        for vm in expired {
            self.take_peer(vm);
        }
    }

    fn apply_demand(&mut self, demand: &Demand, add: bool) {
        if add {
            self.running += demand.total_running();
        } else {
            self.running -= demand.total_running();
        }
        for tier in 0..TIER_COUNT {
            let requested = u64::from(demand.requested(tier));
            let waiting = u32::from(demand.queued[tier] > 0);
            if add {
                self.requested[tier] += requested;
                self.waiting_peers[tier] += waiting;
            } else {
                self.requested[tier] -= requested;
                self.waiting_peers[tier] -= waiting;
            }
        }
    }

    /// Returns whether a request of a higher tier is queued at a peer.
    #[must_use]
    pub fn higher_tier_waits_at_peer(&self, tier: Tier) -> bool {
        self.waiting_peers[..tier_index(tier)]
            .iter()
            .any(|&peers| peers > 0)
    }

    /// Returns the number of requests that peers run in this pool, over all tiers.
    #[must_use]
    pub const fn peer_requests_running(&self) -> u32 {
        self.running
    }

    /// Computes the share of this VM, with demand `own`, of a pool with `capacity` slots.
    #[must_use]
    pub fn quota(&self, capacity: u32, own: &Demand) -> Quota {
        let mut quota = Quota::default();
        let mut remaining = u64::from(capacity);
        for tier in 0..TIER_COUNT {
            let own_requested = u64::from(own.requested(tier));
            let total_requested = self.requested[tier] + own_requested;
            let granted = if total_requested <= remaining {
                own_requested
            } else {
                (own_requested * remaining).div_ceil(total_requested)
            };
            quota.tiers[tier] = u32::try_from(granted).unwrap_or(u32::MAX);
            remaining -= total_requested.min(remaining);
        }
        let vms = self.peers.len() as u64 + 1;
        quota.spare = u32::try_from(remaining / vms).unwrap_or(u32::MAX);
        quota
    }
}
