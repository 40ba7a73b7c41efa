//! State of one pool of backend servers as seen by this VM.

mod advertisement;
mod wait_estimate;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(super) use self::advertisement::UnsentChange;
use super::estimate::Estimates;
use super::request_state::{Phase, RequestState};
use super::server::{LoadContext, ServerState, VmRank};
use crate::admission::TierQueue;
use crate::declaration::{self, PoolKind, TIER_COUNT, tier_index};
use crate::placement::{PlacementIndex, SlotAvailability};
use crate::retry::RetryBudget;
use crate::server_health::HealthStatus;
use crate::shares::{Demand, Quota, Shares};
use crate::{RequestId, ServerName, Tier, Timestamp};

/// Weight of a new sample in the mean frame interval, as a negative power of two.
const FRAME_INTERVAL_SHIFT: u32 = 6;

/// Waiting times and retry times of one tier.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TierState {
    /// Start of the period in which the tier has had demand but no dispatch.
    pub(super) demand_since: Option<Timestamp>,
    /// Start of the period in which the queue of the tier has not been empty.
    pub(super) waiting_since: Option<Timestamp>,
    /// Latest time at which a refused caller has been asked to retry.
    pub(super) latest_retry_at: Timestamp,
    /// Shortest starvation limit among the classes of the tier.
    pub(super) max_starvation: Option<Duration>,
}

/// Order in which running requests are preempted: fewest prompt tokens, latest start, id.
pub(super) type PreemptionKey = (u32, Reverse<Timestamp>, RequestId);

/// Whether the first queued request of a tier may be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// It may be dispatched.
    Granted,
    /// It may be dispatched shortly before its deadline: other VMs are likely to take the free
    /// slots.
    Contested,
    /// It may be dispatched if a request of a lower tier is preempted for it.
    Full,
    /// It waits: a higher tier is waiting, or this VM's quota is used up.
    Withheld,
}

/// State of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) kind: PoolKind,
    pub(super) queue: TierQueue,
    pub(super) shares: Shares,
    pub(super) placement: PlacementIndex,
    pub(super) servers: BTreeMap<ServerName, ServerState>,
    pub(super) running: [BTreeSet<(Timestamp, RequestId)>; TIER_COUNT],
    /// Queued requests by deadline.
    pub(super) waiting_deadlines: [BTreeSet<(Timestamp, RequestId)>; TIER_COUNT],
    /// Running requests that may be preempted for higher tiers.
    pub(super) preemptible: [BTreeSet<PreemptionKey>; TIER_COUNT],
    pub(super) tier_states: [TierState; TIER_COUNT],
    pub(super) estimates: Estimates,
    pub(super) budget: RetryBudget,
    /// Suspects waiting for a server on which no other suspect runs.
    pub(super) waiting_suspects: BTreeSet<RequestId>,
    pub(super) vm_rank: VmRank,
    /// Demand in the last digest.
    advertised_demand: Demand,
    /// Sum of [`ServerState::drift`] over all servers.
    drift: u32,
    newest_report: Timestamp,
    mean_frame_interval_us: u64,
    /// Slots of the servers in the placement index.
    eligible_slots: u32,
    salt: u64,
}

impl PoolState {
    pub(super) fn new(kind: PoolKind, salt: u64) -> Self {
        Self {
            kind,
            queue: TierQueue::new(),
            shares: Shares::new(),
            placement: PlacementIndex::new(salt),
            salt,
            servers: BTreeMap::new(),
            running: std::array::from_fn(|_| BTreeSet::new()),
            waiting_deadlines: std::array::from_fn(|_| BTreeSet::new()),
            preemptible: std::array::from_fn(|_| BTreeSet::new()),
            tier_states: [TierState::default(); TIER_COUNT],
            estimates: Estimates::default(),
            budget: RetryBudget::new(),
            waiting_suspects: BTreeSet::new(),
            vm_rank: VmRank::default(),
            advertised_demand: Demand::default(),
            drift: 0,
            newest_report: Timestamp::ZERO,
            mean_frame_interval_us: 0,
            eligible_slots: 0,
        }
    }

    /// Applies the backend servers of a new version of the declaration.
    pub(super) fn set_servers(
        &mut self,
        now: Timestamp,
        declared: &BTreeMap<ServerName, declaration::Server>,
    ) {
        self.placement = PlacementIndex::new(self.salt);
        self.eligible_slots = 0;
        self.servers.retain(|name, _| declared.contains_key(name));
        self.shares.clear_server_counts();
        for (name, server) in declared {
            let state = self
                .servers
                .entry(name.clone())
                .or_insert_with(|| ServerState::new(server.slots));
            state.slots = server.slots;
            self.reindex_server(now, name);
        }
        for (index, server) in self.servers.values_mut().enumerate() {
            server.index = index;
        }
        self.drift = self.servers.values().map(ServerState::drift).sum();
    }

    /// Queues a request; with `front`, before the others of its account.
    pub(super) fn enqueue(&mut self, state: &mut RequestState, front: bool) {
        let queue = self.queue.tier_mut(state.tier);
        let account = &state.request.account;
        let request = state.request.id;
        let ticket = if front {
            queue.push_front(account, state.weight, request)
        } else {
            queue.push_back(account, state.weight, request)
        };
        state.phase = Phase::Queued { ticket };
        let deadlines = &mut self.waiting_deadlines[tier_index(state.tier)];
        deadlines.insert((state.deadline, request));
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, state: &RequestState) {
        let Phase::Queued { ticket } = state.phase else {
            return;
        };
        let queue = self.queue.tier_mut(state.tier);
        queue.remove(&state.request.account, ticket);
        let deadlines = &mut self.waiting_deadlines[tier_index(state.tier)];
        deadlines.remove(&(state.deadline, state.request.id));
    }

    /// Acquires a slot on a server.
    pub(super) fn acquire_slot(&mut self, now: Timestamp, name: &ServerName, suspect: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            let before = server.drift();
            server.own_requests += 1;
            server.running_suspects += u32::from(suspect);
            self.drift = self.drift + server.drift() - before;
        }
        self.reindex_server(now, name);
    }

    /// Releases a slot on a server.
    pub(super) fn release_slot(&mut self, now: Timestamp, name: &ServerName, suspect: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            let before = server.drift();
            server.own_requests = server.own_requests.saturating_sub(1);
            server.running_suspects = server.running_suspects.saturating_sub(u32::from(suspect));
            self.drift = self.drift + server.drift() - before;
        }
        self.reindex_server(now, name);
    }

    /// Updates the placement index for all servers.
    pub(super) fn reindex_servers(&mut self, now: Timestamp) {
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for name in names {
            self.reindex_server(now, &name);
        }
    }

    fn load_context(&self, now: Timestamp) -> LoadContext {
        LoadContext {
            now,
            newest_report: self.newest_report,
            mean_frame_interval: self.mean_frame_interval(),
            vm_rank: self.vm_rank,
        }
    }

    /// Updates the placement index with the load and eligibility of a server.
    pub(super) fn reindex_server(&mut self, now: Timestamp, name: &ServerName) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let is_indexed = self.placement.contains(name);
        let slots = server.slots;
        if !server.is_eligible() {
            if is_indexed {
                self.placement.remove(name);
                self.eligible_slots -= slots;
            }
            return;
        }
        let advertised = self
            .shares
            .peer_requests_by_server()
            .get(server.index)
            .copied();
        let other_requests = advertised.unwrap_or_else(|| self.estimate_other_requests(server));
        let load = server.load(other_requests, self.load_context(now));
        self.placement.set_load(name, load);
        if !is_indexed {
            self.eligible_slots += slots;
        }
    }

    /// Estimates a server's share of the requests that peers run in the pool, by its slots.
    fn estimate_other_requests(&self, server: &ServerState) -> u32 {
        if self.eligible_slots == 0 {
            return 0;
        }
        self.shares.peer_requests_running() * server.slots / self.eligible_slots
    }

    /// Records the arrival of a load report.
    pub(super) fn record_report(&mut self, now: Timestamp) {
        self.newest_report = self.newest_report.max(now);
    }

    /// Adds the time between two frames from a server of the pool to the running mean.
    pub(super) fn record_frame_interval(&mut self, interval: Duration) {
        let sample = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        self.mean_frame_interval_us = match self.mean_frame_interval_us {
            0 => sample,
            mean => mean - (mean >> FRAME_INTERVAL_SHIFT) + (sample >> FRAME_INTERVAL_SHIFT),
        };
    }

    /// Returns the running mean of the time between frames in the pool.
    pub(super) const fn mean_frame_interval(&self) -> Duration {
        Duration::from_micros(self.mean_frame_interval_us)
    }

    /// Returns the number of backend servers that are not [`HealthStatus::Up`].
    pub(super) fn ejected_count(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.health.status() != HealthStatus::Up)
            .count()
    }

    /// Returns the demand of this VM.
    pub(super) fn demand(&self) -> Demand {
        Demand {
            running: std::array::from_fn(|tier| {
                u32::try_from(self.running[tier].len()).unwrap_or(u32::MAX)
            }),
            queued: self.queue.lengths(),
        }
    }

    /// Returns this VM's share of the pool.
    pub(super) fn quota(&self) -> Quota {
        self.shares.quota(self.eligible_slots, &self.demand())
    }

    /// Decides whether the first queued request of a tier may be dispatched.
    pub(super) fn admission(&self, tier: Tier) -> Admission {
        if self.shares.higher_tier_waits_at_peer(tier) {
            return Admission::Withheld;
        }
        let quota = self.quota();
        let demand = self.demand();
        let running: u32 = demand.running[..=tier_index(tier)].iter().sum();
        if running >= quota.up_to(tier) {
            return Admission::Withheld;
        }
        match self.placement.slot_availability() {
            SlotAvailability::Free => Admission::Granted,
            SlotAvailability::Contested => Admission::Contested,
            SlotAvailability::None => Admission::Full,
        }
    }

    /// Returns the request of a lower tier to preempt: the one that loses the least work, if it has
    /// at most `limit` prompt tokens.
    pub(super) fn preemption_victim(&self, tier: Tier, limit: u32) -> Option<RequestId> {
        let (prompt_tokens, _, request) = self.preemptible[tier_index(tier) + 1..]
            .iter()
            .filter_map(|running| running.first())
            .min()?;
        (*prompt_tokens <= limit).then_some(*request)
    }
}
