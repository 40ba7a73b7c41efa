//! Orders of one service's backend servers.

mod stages;

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand_history::DemandHistory;
use super::goal::Goal;
use super::subject_state::SubjectState;
use super::survival::Survival;
use super::{
    LearnedDemand, OrderOutcome, OrderRecord, ScalingInputs, ScalingLimits, ServerKind,
    WorkerOrder, WorkerSubject,
};
use crate::{Timestamp, ZoneName};

/// Time for which the registered servers must stay the same before the first order.
const REGISTRATION_TIME: Duration = Duration::from_secs(1);

/// Time after a reclaim for which no spot servers are ordered: none are to be had for at least as long.
const SHORTAGE: Duration = Duration::from_secs(8);

/// Part of the goal's total, in hundredths, to which it has to fall before servers are released.
const LOWER_GOAL_PERCENT: u32 = 80;

/// Needed servers for each one that a goal has beyond them, so that small changes of the load cause no
/// orders.
const RESERVE: u32 = 8;

/// Time between two changes of the stored demand if no order is written with it.
///
/// Each change is one call to the store. A third of the window of the demand: a successor of a holder that
/// dies just before a change still knows most of the window.
const DEMAND_INTERVAL: Duration = Duration::from_secs(10);

/// Orders of one service's backend servers, decided step by step.
///
/// Before traffic starts, spot servers take the place of all others but a base in each zone. The number
/// of servers that remain when one zone loses its spot servers never falls below what the load with a
/// burst needs.
#[derive(Clone, Debug)]
pub struct ScalingPlan {
    limits: ScalingLimits,
    history: DemandHistory,
    initial: BTreeMap<ZoneName, u32>,
    /// Servers at the last change before the first order.
    registered: BTreeMap<WorkerSubject, u32>,
    registered_at: Timestamp,
    /// Orders that an earlier holder of the duty gave.
    restored: Option<OrderRecord>,
    subjects: BTreeMap<WorkerSubject, SubjectState>,
    goal: Option<Goal>,
    reclaimed_at: Option<Timestamp>,
    released_at: Option<Timestamp>,
    /// Demand for a successor, and the time from which it may change.
    learned: Option<LearnedDemand>,
    learned_until: Timestamp,
}

impl ScalingPlan {
    /// Creates the plan of a service without earlier orders.
    #[must_use]
    pub fn new(limits: ScalingLimits) -> Self {
        Self {
            limits,
            history: DemandHistory::default(),
            initial: BTreeMap::new(),
            registered: BTreeMap::new(),
            registered_at: Duration::ZERO,
            restored: None,
            subjects: BTreeMap::new(),
            goal: None,
            reclaimed_at: None,
            released_at: None,
            learned: None,
            learned_until: Duration::ZERO,
        }
    }

    /// Creates the plan of a service whose earlier orders are known from the store.
    #[must_use]
    pub fn restore(limits: ScalingLimits, record: OrderRecord) -> Self {
        let history = record.demand.map(DemandHistory::restored);
        Self {
            history: history.unwrap_or_default(),
            learned: record.demand,
            restored: Some(record),
            ..Self::new(limits)
        }
    }

    /// Replaces the limits of the service's configuration.
    pub fn set_limits(&mut self, limits: ScalingLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.goal = None;
        }
    }

    /// Limits of the service's configuration.
    #[must_use]
    pub const fn limits(&self) -> &ScalingLimits {
        &self.limits
    }

    /// Orders that the next holder of the duty has to know, including those that are about to be sent.
    #[must_use]
    pub fn record(&self, next: &[WorkerOrder]) -> OrderRecord {
        let mut desired = BTreeMap::new();
        for (subject, state) in &self.subjects {
            if state.was_ordered || state.unanswered.is_some() {
                let number = state.unanswered.unwrap_or(state.desired);
                desired.insert(subject.clone(), number);
            }
        }
        for order in next {
            desired.insert(order.subject.clone(), order.desired);
        }
        OrderRecord {
            initial: self.initial.clone(),
            desired,
            demand: self.learned,
        }
    }

    /// Number of servers that a subject is to have in the end; zero while there is no goal.
    #[must_use]
    pub fn wanted(&self, subject: &WorkerSubject) -> u32 {
        let goal = self.goal.as_ref();
        goal.map_or(0, |goal| goal.servers.get(subject))
    }

    /// Number of servers of a subject's last order.
    #[must_use]
    pub fn ordered(&self, subject: &WorkerSubject) -> u32 {
        let state = self.subjects.get(subject);
        state.map_or(0, |state| state.desired)
    }

    /// Servers that have to remain when one zone loses its spot servers; `None` while there is no goal.
    #[must_use]
    pub fn survivors_needed(&self) -> Option<u32> {
        self.goal.as_ref().map(|goal| goal.survivors)
    }

    /// Whether the service's limits allow fewer servers than it needs.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.goal.as_ref().is_some_and(|goal| goal.is_limited)
    }

    /// Records what became of an order.
    pub fn note_outcome(&mut self, now: Timestamp, order: &WorkerOrder, outcome: OrderOutcome) {
        let state = self.subjects.entry(order.subject.clone()).or_default();
        state.note(now, order.desired, outcome);
        let was_sent = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Unanswered);
        if order.is_release() && was_sent {
            self.released_at = Some(now);
        }
    }

    /// Returns the orders to send now; after each outcome there may be others.
    pub fn next_orders(&mut self, now: Timestamp, inputs: &ScalingInputs) -> Vec<WorkerOrder> {
        self.history.note(now, inputs.demand, &inputs.capacity);
        if !self.note_servers(now, inputs) {
            return Vec::new();
        }
        self.note_reclaims(now, inputs);
        self.update_goal(now);
        let Some(goal) = self.goal.clone() else {
            return Vec::new();
        };
        let stages = [
            Self::repeat_orders,
            Self::spot_orders,
            Self::missing_orders,
            Self::shortfall_orders,
            Self::release_orders,
        ];
        for stage in stages {
            let orders = stage(self, now, inputs, &goal);
            if !orders.is_empty() {
                // The row is written with the orders in any case.
                self.update_learned(now);
                return orders;
            }
        }
        if now >= self.learned_until {
            self.update_learned(now);
        }
        Vec::new()
    }

    /// Adopts the present demand as that which a successor continues from.
    fn update_learned(&mut self, now: Timestamp) {
        self.learned = self.history.learned();
        self.learned_until = now + DEMAND_INTERVAL;
    }

    /// Notes the registered servers; returns whether orders may be given.
    fn note_servers(&mut self, now: Timestamp, inputs: &ScalingInputs) -> bool {
        let mut present = BTreeMap::new();
        for (subject, counts) in &inputs.servers {
            if self.limits.zone_prices_ppm.contains_key(&subject.zone) {
                present.insert(subject.clone(), counts.present());
            }
        }
        if let Some(record) = self.restored.take() {
            self.initial = record.initial;
            for (subject, desired) in record.desired {
                let counts = inputs.counts(&subject);
                let state = SubjectState::restored(now, desired, counts);
                self.subjects.insert(subject, state);
            }
        }
        let has_ordered = self
            .subjects
            .values()
            .any(|state| state.was_ordered || state.unanswered.is_some());
        if !has_ordered {
            if self.registered != present {
                self.registered = present.clone();
                self.registered_at = now;
            }
            for (subject, &servers) in &present {
                if subject.kind == ServerKind::OnDemand {
                    let initial = self.initial.entry(subject.zone.clone()).or_default();
                    *initial = servers.max(*initial);
                }
            }
        }
        for zone in self.initial.keys() {
            for kind in [ServerKind::OnDemand, ServerKind::Spot] {
                let subject = WorkerSubject::new(zone, kind);
                let state = self.subjects.entry(subject.clone()).or_default();
                let counts = inputs.counts(&subject);
                state.settle(now, counts);
                if !state.was_ordered {
                    state.desired = state.desired.max(counts.present());
                }
                state.observe(now, counts);
            }
        }
        has_ordered || now >= self.registered_at + REGISTRATION_TIME
    }

    /// Notes spot servers that leave though they were not released.
    fn note_reclaims(&mut self, now: Timestamp, inputs: &ScalingInputs) {
        let mut is_reclaimed = false;
        for (subject, state) in &mut self.subjects {
            let counts = inputs.counts(subject);
            if subject.kind == ServerKind::Spot
                && state.note_leaving(counts.reclaimed)
                && counts.present() < state.remaining(u32::MAX)
            {
                is_reclaimed = true;
                state.note_reclaimed(now + SHORTAGE);
            }
        }
        if !is_reclaimed {
            return;
        }
        self.reclaimed_at = Some(now);
        for (subject, state) in &mut self.subjects {
            if subject.kind == ServerKind::Spot {
                state.avoid_until(now + SHORTAGE);
            }
        }
    }

    /// Raises the goal at once, and lowers it only where that saves much; both leave a reserve.
    fn update_goal(&mut self, now: Timestamp) {
        let needed = self.history.needed_servers();
        let goal_for =
            |needed| Goal::new(&self.limits, &self.initial, needed, self.history.is_known());
        let candidate = goal_for(needed);
        let with_reserve = goal_for(needed + needed / RESERVE);
        let Some(goal) = &mut self.goal else {
            // A successor that knows the demand keeps the reserve of its predecessor.
            self.goal = Some(Goal {
                survivors: candidate.survivors,
                ..with_reserve
            });
            return;
        };
        let lower_total = goal.servers.total() * LOWER_GOAL_PERCENT / 100;
        if candidate.survivors > goal.servers.survivors() && !goal.is_limited {
            let mut raised = with_reserve;
            raised.servers.raise_to(&goal.servers, &self.limits);
            raised.survivors = candidate.survivors;
            *goal = raised;
        } else if with_reserve.servers.total() <= lower_total && !self.history.is_bursting(now) {
            *goal = with_reserve;
            goal.survivors = candidate.survivors;
        } else {
            goal.survivors = candidate.survivors;
        }
    }

    /// Servers that are expected to serve soon.
    fn expected_servers(&self, now: Timestamp, inputs: &ScalingInputs) -> Survival {
        let mut expected = Survival::default();
        for (subject, state) in &self.subjects {
            let counts = inputs.counts(subject);
            expected.add(subject, state.expected(now, counts, self.limits.boot));
        }
        expected
    }

    /// Servers that serve, without those that may have been told to leave.
    fn ready_servers(&self, inputs: &ScalingInputs) -> Survival {
        let mut ready = Survival::default();
        for (subject, state) in &self.subjects {
            let counts = inputs.counts(subject);
            ready.add(subject, state.remaining(counts.ready));
        }
        ready
    }
}
