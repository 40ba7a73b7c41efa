//! Stages of a plan, each of which looks at one reason for orders.

use std::time::Duration;

use super::ScalingPlan;
use crate::Timestamp;
use crate::gateway::scaling::goal::Goal;
use crate::gateway::scaling::survival::Survival;
use crate::gateway::{OrderReason, ScalingInputs, ServerKind, WorkerOrder, WorkerSubject};

/// Time between two releases while traffic runs: each takes cached prompt parts along.
const RELEASE_INTERVAL: Duration = Duration::from_secs(4);

/// Time between two releases while there is no traffic, so that servers that get ready one after the
/// other do not cause an order each.
const IDLE_RELEASE_INTERVAL: Duration = Duration::from_millis(500);

/// Servers for each one that a release takes at most while traffic runs.
const SERVERS_PER_RELEASED: u32 = 7;

/// Time after a reclaim within which orders of spot servers are attributed to it.
const RECLAIM_MEMORY: Duration = Duration::from_secs(20);

impl ScalingPlan {
    /// Repeats orders of more servers that have no response.
    pub(super) fn repeat_orders(
        &mut self,
        now: Timestamp,
        _inputs: &ScalingInputs,
        _goal: &Goal,
    ) -> Vec<WorkerOrder> {
        let mut orders = Vec::new();
        for (subject, state) in &self.subjects {
            if let Some(desired) = state.unanswered
                && desired >= state.desired
                && state.may_order(now)
            {
                orders.push(WorkerOrder {
                    subject: subject.clone(),
                    desired,
                    previous: state.desired,
                    reason: OrderReason::Unanswered,
                });
            }
        }
        orders
    }

    /// Orders the spot servers of the goal, as far as the limits of each zone have room beside the servers
    /// that they replace.
    pub(super) fn spot_orders(
        &mut self,
        now: Timestamp,
        inputs: &ScalingInputs,
        goal: &Goal,
    ) -> Vec<WorkerOrder> {
        let mut orders = Vec::new();
        for (subject, state) in &self.subjects {
            if subject.kind != ServerKind::Spot || !state.may_order(now) {
                continue;
            }
            let on_demand = WorkerSubject::new(&subject.zone, ServerKind::OnDemand);
            let others = self.subjects.get(&on_demand);
            let others = others.map_or(0, |state| state.most_present(inputs.counts(&on_demand)));
            let room = self.limits.max_servers.saturating_sub(others);
            let desired = goal.servers.get(subject).min(room);
            let counts = inputs.counts(subject);
            let lacks = state.lacks_servers(now, self.limits.boot);
            if desired > state.desired || lacks && desired > counts.present() {
                orders.push(WorkerOrder {
                    subject: subject.clone(),
                    desired,
                    previous: state.desired,
                    reason: self.spot_reason(now, state.was_ordered, lacks),
                });
            }
        }
        orders
    }

    fn spot_reason(&self, now: Timestamp, was_ordered: bool, lacks: bool) -> OrderReason {
        let reclaimed_at = self.reclaimed_at;
        if reclaimed_at.is_some_and(|at| at + RECLAIM_MEMORY > now) {
            OrderReason::ZoneReclaimed
        } else if lacks {
            OrderReason::ServersMissing
        } else if !self.history.is_reported() {
            OrderReason::UnknownLoad
        } else if self.history.is_idle(now) {
            OrderReason::BeforeTraffic
        } else if was_ordered {
            OrderReason::RisingLoad
        } else {
            OrderReason::SteadyTraffic
        }
    }

    /// Orders servers again that are not spot servers and have gone or never registered.
    pub(super) fn missing_orders(
        &mut self,
        now: Timestamp,
        inputs: &ScalingInputs,
        _goal: &Goal,
    ) -> Vec<WorkerOrder> {
        let mut orders = Vec::new();
        for (subject, state) in &self.subjects {
            let counts = inputs.counts(subject);
            if subject.kind != ServerKind::OnDemand
                || !state.may_order(now)
                || !state.lacks_servers(now, self.limits.boot)
            {
                continue;
            }
            // An order is for an absolute number: less than the last one would release servers that run
            // and whose entries are missing for a while.
            orders.push(WorkerOrder {
                subject: subject.clone(),
                desired: state.desired,
                previous: counts.present(),
                reason: OrderReason::ServersMissing,
            });
        }
        orders
    }

    /// Orders servers that cannot be reclaimed if those that are expected would not carry the load after
    /// the next reclaim.
    pub(super) fn shortfall_orders(
        &mut self,
        now: Timestamp,
        inputs: &ScalingInputs,
        goal: &Goal,
    ) -> Vec<WorkerOrder> {
        let expected = self.expected_servers(now, inputs);
        let mut lack = goal.survivors.saturating_sub(expected.survivors());
        let reason = match self.reclaimed_at {
            Some(at) if at + RECLAIM_MEMORY > now => OrderReason::ZoneReclaimed,
            _ => OrderReason::RisingLoad,
        };
        let mut orders = Vec::new();
        for subject in self.by_price(ServerKind::OnDemand) {
            let state = &self.subjects[&subject];
            if lack == 0 {
                break;
            }
            if !state.may_order(now) {
                continue;
            }
            let counts = inputs.counts(&subject);
            let present = state.most_present(counts);
            let in_zone = expected.in_zone(&subject.zone);
            let added = lack.min(self.limits.max_servers.saturating_sub(in_zone));
            // An absolute number below the present one would release servers.
            let desired = present.max(expected.get(&subject) + added);
            if added == 0 || desired <= state.desired {
                continue;
            }
            lack -= added;
            orders.push(WorkerOrder {
                subject,
                desired,
                previous: present,
                reason,
            });
        }
        orders
    }

    /// Releases servers that the goal does not need once those that it needs are ready, the most
    /// expensive ones first.
    pub(super) fn release_orders(
        &mut self,
        now: Timestamp,
        inputs: &ScalingInputs,
        goal: &Goal,
    ) -> Vec<WorkerOrder> {
        let is_idle = self.history.is_idle(now);
        let interval = if is_idle {
            IDLE_RELEASE_INTERVAL
        } else {
            RELEASE_INTERVAL
        };
        let is_reclaiming = inputs.servers.values().any(|counts| counts.reclaimed > 0)
            && self
                .reclaimed_at
                .is_some_and(|at| at + RELEASE_INTERVAL > now);
        if is_reclaiming
            || self.released_at.is_some_and(|at| at + interval > now)
            || !is_idle && self.history.is_bursting(now)
        {
            return Vec::new();
        }
        let mut ready = self.ready_servers(inputs);
        let mut spare = spare_servers(&ready, goal);
        let mut orders = Vec::new();
        let mut subjects = self.by_price(ServerKind::OnDemand);
        subjects.reverse();
        let mut spot = self.by_price(ServerKind::Spot);
        spot.reverse();
        subjects.append(&mut spot);
        for subject in subjects {
            let state = &self.subjects[&subject];
            if !state.may_order(now) || state.unanswered.is_some() {
                continue;
            }
            let present = state.most_present(inputs.counts(&subject));
            let zone_spare = ready
                .in_zone(&subject.zone)
                .saturating_sub(self.limits.min_servers);
            let mut released = present
                .saturating_sub(goal.servers.get(&subject))
                .min(spare)
                .min(zone_spare);
            if !is_idle {
                released = released.min((ready.total() / SERVERS_PER_RELEASED).max(1));
            }
            if released == 0 {
                continue;
            }
            spare -= released;
            ready.take(&subject, released);
            let reason = match subject.kind {
                ServerKind::OnDemand => OrderReason::Replaced,
                ServerKind::Spot => OrderReason::LowLoad,
            };
            orders.push(WorkerOrder {
                subject,
                desired: present - released,
                previous: present,
                reason,
            });
            if !is_idle {
                break;
            }
        }
        orders
    }

    /// Subjects of a kind, cheapest first.
    fn by_price(&self, kind: ServerKind) -> Vec<WorkerSubject> {
        let mut priced = Vec::new();
        for subject in self.subjects.keys() {
            if subject.kind == kind
                && let Some(price) = self.limits.price_ppm(&subject.zone, kind)
            {
                priced.push((price, subject.clone()));
            }
        }
        priced.sort_unstable();
        priced.into_iter().map(|(_, subject)| subject).collect()
    }
}

/// Servers that may leave so that the goal's number still serves, also after a reclaim.
fn spare_servers(ready: &Survival, goal: &Goal) -> u32 {
    let spare_total = ready.total().saturating_sub(goal.servers.total());
    spare_total.min(ready.survivors().saturating_sub(goal.survivors))
}
