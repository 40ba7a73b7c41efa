//! State of one pool of backend servers on this VM.

mod news;
mod waits;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(super) use self::news::News;
use super::estimate::Estimates;
use super::flight::{Flight, Phase};
use super::server::{PoolView, ServerState, VmPlace};
use crate::admission::TierQueue;
use crate::declaration::{self, PoolKind, TIER_COUNT, tier_index};
use crate::placement::{PlacementIndex, SlotAvailability};
use crate::retry::RetryBudget;
use crate::server_health::HealthStatus;
use crate::shares::{Demand, Quota, Shares};
use crate::{RequestId, ServerName, Tier, Timestamp};

/// Weight of a new sample in the pool's pace, as a power of two.
const PACE_SHIFT: u32 = 6;

/// Progress of one tier.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TierProgress {
    /// Since when requests of the tier have come without one being dispatched.
    pub(super) demand_since: Option<Timestamp>,
    /// Since when requests of the tier have been waiting without a break.
    pub(super) waiting_since: Option<Timestamp>,
    /// When the next refused caller is asked to return.
    pub(super) return_at: Timestamp,
    /// Longest time without progress that the tier's classes allow.
    pub(super) max_starvation: Option<Duration>,
}

/// Order in which running requests are stopped: prompt tokens, latest start, id.
pub(super) type PreemptionKey = (u32, Reverse<Timestamp>, RequestId);

/// Whether the first waiting request of a tier may be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// It may.
    Granted,
    /// It may once its time has nearly run out: other VMs are likely to take the free slots.
    Contested,
    /// It may if a request of a lower tier is stopped for it.
    Full,
    /// It waits.
    Withheld,
}

/// One pool as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) kind: PoolKind,
    pub(super) queue: TierQueue,
    pub(super) shares: Shares,
    pub(super) placement: PlacementIndex,
    pub(super) servers: BTreeMap<ServerName, ServerState>,
    pub(super) running: [BTreeSet<(Timestamp, RequestId)>; TIER_COUNT],
    /// Waiting requests by the moment at which their time runs out.
    pub(super) waiting_deadlines: [BTreeSet<(Timestamp, RequestId)>; TIER_COUNT],
    /// Running requests that may be stopped for higher tiers.
    pub(super) preemptible: [BTreeSet<PreemptionKey>; TIER_COUNT],
    pub(super) progress: [TierProgress; TIER_COUNT],
    pub(super) estimates: Estimates,
    pub(super) budget: RetryBudget,
    pub(super) isolated: BTreeSet<RequestId>,
    pub(super) place: VmPlace,
    told: Demand,
    drift: u32,
    newest_report: Timestamp,
    pace_us: u64,
    slots: u32,
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
            progress: [TierProgress::default(); TIER_COUNT],
            estimates: Estimates::default(),
            budget: RetryBudget::new(),
            isolated: BTreeSet::new(),
            place: VmPlace::default(),
            told: Demand::default(),
            drift: 0,
            newest_report: Timestamp::ZERO,
            pace_us: 0,
            slots: 0,
        }
    }

    /// Takes over the backend servers of a new version of the declaration.
    pub(super) fn set_servers(
        &mut self,
        now: Timestamp,
        declared: &BTreeMap<ServerName, declaration::Server>,
    ) {
        self.placement = PlacementIndex::new(self.salt);
        self.slots = 0;
        self.servers.retain(|name, _| declared.contains_key(name));
        self.shares.forget_servers();
        for (name, server) in declared {
            let state = self
                .servers
                .entry(name.clone())
                .or_insert_with(|| ServerState::new(server.slots));
            state.slots = server.slots;
            self.refresh(now, name);
        }
        for (index, server) in self.servers.values_mut().enumerate() {
            server.index = index;
        }
        self.drift = self.servers.values().map(ServerState::drift).sum();
    }

    /// Puts a request into its queue; a retry goes before the others of its account.
    pub(super) fn enqueue(&mut self, flight: &mut Flight, front: bool) {
        let queue = self.queue.tier_mut(flight.tier);
        let account = &flight.request.account;
        let request = flight.request.id;
        let ticket = if front {
            queue.push_front(account, flight.weight, request)
        } else {
            queue.push_back(account, flight.weight, request)
        };
        flight.phase = Phase::Queued { ticket };
        let deadlines = &mut self.waiting_deadlines[tier_index(flight.tier)];
        deadlines.insert((flight.deadline, request));
    }

    /// Takes a request out of its queue, if it is there.
    pub(super) fn dequeue(&mut self, flight: &Flight) {
        let Phase::Queued { ticket } = flight.phase else {
            return;
        };
        let queue = self.queue.tier_mut(flight.tier);
        queue.remove(&flight.request.account, ticket);
        let deadlines = &mut self.waiting_deadlines[tier_index(flight.tier)];
        deadlines.remove(&(flight.deadline, flight.request.id));
    }

    /// Takes a slot of a server.
    pub(super) fn take_slot(&mut self, now: Timestamp, name: &ServerName, suspect: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            let before = server.drift();
            server.own += 1;
            server.suspects += u32::from(suspect);
            self.drift = self.drift + server.drift() - before;
        }
        self.refresh(now, name);
    }

    /// Gives a slot of a server back.
    pub(super) fn return_slot(&mut self, now: Timestamp, name: &ServerName, suspect: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            let before = server.drift();
            server.own = server.own.saturating_sub(1);
            server.suspects = server.suspects.saturating_sub(u32::from(suspect));
            self.drift = self.drift + server.drift() - before;
        }
        self.refresh(now, name);
    }

    /// Brings the placement index up to date with the counts of a peer.
    pub(super) fn refresh_all(&mut self, now: Timestamp) {
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for name in names {
            self.refresh(now, &name);
        }
    }

    fn view(&self, now: Timestamp) -> PoolView {
        PoolView {
            now,
            newest_report: self.newest_report,
            pace: self.pace(),
            place: self.place,
        }
    }

    /// Brings the placement index up to date with the state of a server.
    pub(super) fn refresh(&mut self, now: Timestamp, name: &ServerName) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let listed = self.placement.contains(name);
        let slots = server.slots;
        if !server.is_eligible() {
            if listed {
                self.placement.remove(name);
                self.slots -= slots;
            }
            return;
        }
        let told = self.shares.peers_by_server().get(server.index).copied();
        let others = told.unwrap_or_else(|| self.typical_others(server));
        let load = server.load(others, self.view(now));
        self.placement.set_load(name, load);
        if !listed {
            self.slots += slots;
        }
    }

    fn typical_others(&self, server: &ServerState) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        self.shares.peers_running() * server.slots / self.slots
    }

    /// Takes note of a load report's arrival.
    pub(super) fn saw_report(&mut self, now: Timestamp) {
        self.newest_report = self.newest_report.max(now);
    }

    /// Takes note of the time between two tokens on any server of the pool.
    pub(super) fn saw_pace(&mut self, interval: Duration) {
        let sample = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        self.pace_us = match self.pace_us {
            0 => sample,
            mean => mean - (mean >> PACE_SHIFT) + (sample >> PACE_SHIFT),
        };
    }

    /// Running mean of the time between tokens in the pool.
    pub(super) const fn pace(&self) -> Duration {
        Duration::from_micros(self.pace_us)
    }

    /// Number of backend servers that are ejected or on probation.
    pub(super) fn ejected(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.liveness.status() != HealthStatus::Up)
            .count()
    }

    /// Demand of this VM.
    pub(super) fn demand(&self) -> Demand {
        Demand {
            running: std::array::from_fn(|tier| {
                u32::try_from(self.running[tier].len()).unwrap_or(u32::MAX)
            }),
            queued: self.queue.lengths(),
        }
    }

    /// Share of this VM.
    pub(super) fn quota(&self) -> Quota {
        self.shares.quota(self.slots, &self.demand())
    }

    /// Decides whether the first waiting request of a tier may be dispatched.
    pub(super) fn admission(&self, tier: Tier) -> Admission {
        if self.shares.higher_waits_elsewhere(tier) {
            return Admission::Withheld;
        }
        let quota = self.quota();
        let demand = self.demand();
        let higher: u32 = demand.running[..=tier_index(tier)].iter().sum();
        if higher >= quota.up_to(tier) {
            return Admission::Withheld;
        }
        match self.placement.slot_availability() {
            SlotAvailability::Free => Admission::Granted,
            SlotAvailability::Contested => Admission::Contested,
            SlotAvailability::None => Admission::Full,
        }
    }

    /// The request below this tier that is stopped first: the one that loses the least work, if
    /// it has no more prompt tokens than the limit.
    pub(super) fn victim(&self, tier: Tier, limit: u32) -> Option<RequestId> {
        let (prompt_tokens, _, request) = self.preemptible[tier_index(tier) + 1..]
            .iter()
            .filter_map(|running| running.first())
            .min()?;
        (*prompt_tokens <= limit).then_some(*request)
    }
}
