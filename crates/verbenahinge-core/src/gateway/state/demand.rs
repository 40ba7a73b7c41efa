//! Demand by kind of request, and the size of the interactive group.
//!
//! Load pattern: bursts of one kind of request, at several times its usual rate, that start and end
//! within seconds.

use std::ops::Bound;
use std::time::Duration;

use super::{GatewayState, Peer};
use crate::Timestamp;
use crate::gateway::number::to_u32;
use crate::gateway::{Backend, Call, RetryWindow, StreamKind};

/// Time constant of the exponential decay of the measured demand for interactive streams.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Fraction of an engine's prefill time that interactive streams may use.
const INTERACTIVE_PREFILL_FRACTION: f64 = 0.35;

/// Fraction of an engine's slots that interactive streams may use.
const INTERACTIVE_SLOT_FRACTION: f64 = 0.5;

/// Load of engines of the interactive group over the mean, where load is kept even.
const INTERACTIVE_OVER_MEAN: f64 = 1.6;

/// Least fraction of an engine's slots that interactive streams use before the group grows.
const MIN_INTERACTIVE_SLOT_FRACTION: f64 = 0.08;

/// As [`INTERACTIVE_PREFILL_FRACTION`], for streams with tight gap targets, which use the fastest engines: other
/// prompts must not lack their capacity.
const TIGHT_PREFILL_FRACTION: f64 = 0.5;

/// As [`INTERACTIVE_SLOT_FRACTION`], for streams with tight gap targets.
const TIGHT_SLOT_FRACTION: f64 = 0.75;

/// As [`INTERACTIVE_PREFILL_FRACTION`], for the other interactive streams at services with tight gap targets,
/// which may overflow to all engines.
const LOOSE_PREFILL_FRACTION: f64 = 0.42;

/// As [`INTERACTIVE_SLOT_FRACTION`], for the same streams.
const LOOSE_SLOT_FRACTION: f64 = 0.6;

/// Fraction of the remaining engines that demand must fall below before an engine is released.
const RELEASE_FRACTION: f64 = 0.7;

/// Minimum time between two updates of the size of the interactive group, per engine of the
/// service: an update takes less than 2 µs per engine, so updates of a service use less than 1 % of
/// a core.
const RESIZE_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(200);

/// Age up to which the demand reported by a VM is part of the sample that stands for all VMs.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(1);

/// Smallest sample that stands for all VMs: the number of VMs that a VM hears from within a third
/// of a second in a large fleet.
const SAMPLE_MIN_VMS: u32 = 16;

/// Time after a request during which more requests of its priority are expected; a VM of a large
/// fleet receives about one of each kind per second.
const ARRIVAL_TTL: Duration = Duration::from_secs(5);

/// Last arrival of a prompt of one priority that is not interactive.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptArrival {
    pub(super) arrived_at: Timestamp,
    pub(super) latency_target: Duration,
}

impl GatewayState {
    /// Records the arrival of a request from a caller.
    pub fn note_arrival(&mut self, now: Timestamp, call: &Call) {
        self.retry_windows
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .note_request(now);
        let arrivals = self.arrivals.entry(call.service.clone()).or_default();
        arrivals.insert(call.priority(), now);
        let context = self.placement_context(now, call);
        let kind = context.kind(call);
        let interactive = kind != StreamKind::Other;
        if call.prompt.is_some() && !interactive {
            let latency_target = call.route.latency_target;
            let arrivals = self
                .prompt_arrivals
                .entry(call.service.clone())
                .or_default();
            arrivals.insert(
                call.priority(),
                PromptArrival {
                    arrived_at: now,
                    latency_target,
                },
            );
        }
        if let (true, Some(prompt)) = (interactive, &call.prompt) {
            let decay = decay_factor(now.saturating_sub(self.interactive_updated_at));
            self.interactive_updated_at = now;
            let added = f64::from(prompt.prompt_tokens) / DEMAND_TIME_CONSTANT.as_secs_f64();
            self.interactive_tokens_per_s = self.interactive_tokens_per_s * decay + added;
            self.tight_tokens_per_s *= decay;
            if kind == StreamKind::Tight {
                self.tight_tokens_per_s += added;
            }
        }
    }

    /// Adapts the size of the interactive group to the demand.
    pub(super) fn resize_interactive_group(&mut self, now: Timestamp, call: &Call) {
        self.refresh_paces(now, &call.service);
        let Some(order) = self.registry.order(&call.service) else {
            return;
        };
        let engines = u32::try_from(order.len()).unwrap_or(u32::MAX);
        let updated_at = self.group_sizes_updated_at.get(&call.service);
        let interval = RESIZE_INTERVAL_PER_ENGINE * engines;
        if engines == 0 || updated_at.is_some_and(|&at| at.saturating_add(interval) > now) {
            return;
        }
        let own = self.own_interactive_tokens_per_s(now);
        let tokens_per_s = own + self.peer_demand(now, |peer| peer.interactive_tokens_per_s);
        let mut total_prefill_rate = 0.0;
        let mut streams = 0;
        for id in order.names() {
            if let Some(backend) = self.backends.get(id) {
                total_prefill_rate += backend.prefill_rate();
                streams += backend.interactive();
            }
        }
        // In a large fleet, this VM knows the load of the engines only that it has queried lately.
        let own_streams = f64::from(self.own_interactive_streams());
        let reported_streams = own_streams + self.peer_demand(now, |peer| peer.interactive_streams);
        let streams = f64::from(streams).max(reported_streams);
        let prefill_rate_per_engine = total_prefill_rate * 1000.0 / f64::from(engines);
        let slots_per_engine = f64::from(order.slots()) / f64::from(engines);
        let required_for = |tokens_per_s: f64, streams: f64, (prefill, slots): (f64, f64)| {
            let by_prefill = tokens_per_s / (prefill_rate_per_engine * prefill).max(1.0);
            let by_slots = streams / (slots_per_engine * slots).max(1.0);
            by_prefill.max(by_slots)
        };
        let slot_fraction = self.interactive_slot_fraction(call);
        let fractions = (INTERACTIVE_PREFILL_FRACTION, slot_fraction);
        let mut required = required_for(tokens_per_s, streams, fractions);
        if self.paced_services.contains_key(&call.service) {
            let tight_tokens_per_s = self.own_tight_tokens_per_s(now)
                + self.peer_demand(now, |peer| peer.tight_tokens_per_s);
            let tight_streams = f64::from(self.own_tight_streams())
                + self.peer_demand(now, |peer| peer.tight_streams);
            let tight_fractions = (TIGHT_PREFILL_FRACTION, TIGHT_SLOT_FRACTION);
            let tight_required = required_for(tight_tokens_per_s, tight_streams, tight_fractions);
            let other_tokens_per_s = (tokens_per_s - tight_tokens_per_s).max(0.0);
            let other_streams = (streams - tight_streams).max(0.0);
            let loose_fractions = (LOOSE_PREFILL_FRACTION, LOOSE_SLOT_FRACTION);
            required =
                tight_required + required_for(other_tokens_per_s, other_streams, loose_fractions);
            let tight_size = self
                .tight_group_sizes
                .entry(call.service.clone())
                .or_insert(1);
            resize_group(tight_size, tight_required);
        }
        self.group_sizes_updated_at
            .insert(call.service.clone(), now);
        let group_size = self
            .interactive_group_sizes
            .entry(call.service.clone())
            .or_insert(1);
        resize_group(group_size, required);
    }

    /// Fraction of an engine's slots that interactive streams may use.
    ///
    /// Where load is kept even, it follows the mean load, so that streams, which hold their slots for long,
    /// don't fill few engines while others idle.
    fn interactive_slot_fraction(&self, call: &Call) -> f64 {
        let even_load = self.even_load_for(call).filter(|one| one.is_settled);
        even_load.map_or(INTERACTIVE_SLOT_FRACTION, |even_load| {
            let fraction = even_load.mean_share * INTERACTIVE_OVER_MEAN;
            fraction.clamp(MIN_INTERACTIVE_SLOT_FRACTION, INTERACTIVE_SLOT_FRACTION)
        })
    }

    /// Demand of the callers of other VMs, as a sum of what these have reported.
    ///
    /// In a large fleet, most reports are some seconds old, so the recent ones are extrapolated to
    /// all VMs.
    fn peer_demand(&self, now: Timestamp, reported_by: impl Fn(&Peer) -> u32) -> f64 {
        let mut reported = 0.0;
        let mut recent = 0.0;
        let mut recent_vms: u32 = 0;
        for peer in self.peers.values() {
            let demand = f64::from(reported_by(peer));
            reported += demand;
            if peer.last_digest_at + SAMPLE_MAX_AGE > now {
                recent += demand;
                recent_vms += 1;
            }
        }
        if recent_vms < SAMPLE_MIN_VMS {
            return reported;
        }
        let vms = f64::from(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
        recent / f64::from(recent_vms) * vms
    }

    /// Shortest latency target of more urgent prompts that are expected at the call's service.
    pub(super) fn urgent_target(&self, now: Timestamp, call: &Call) -> Option<Duration> {
        let arrivals = self.prompt_arrivals.get(&call.service)?;
        let more_urgent = arrivals.range(..call.priority());
        more_urgent
            .filter(|(_, arrival)| arrival.arrived_at + ARRIVAL_TTL > now)
            .map(|(_, arrival)| arrival.latency_target)
            .min()
    }

    /// Number of priorities, more urgent than that of a call, whose requests are expected at its service.
    pub(super) fn more_urgent_priorities(&self, now: Timestamp, call: &Call) -> u32 {
        let Some(arrivals) = self.arrivals.get(&call.service) else {
            return 0;
        };
        let mut priorities = 0;
        for (_, &arrived_at) in arrivals.range(..call.priority()) {
            priorities += u32::from(arrived_at + ARRIVAL_TTL > now);
        }
        priorities
    }

    /// Whether requests that are less urgent than a call are expected at its service.
    pub(super) fn expects_less_urgent(&self, now: Timestamp, call: &Call) -> bool {
        let Some(arrivals) = self.arrivals.get(&call.service) else {
            return false;
        };
        let less_urgent = (Bound::Excluded(call.priority()), Bound::Unbounded);
        let mut less_urgent = arrivals.range(less_urgent);
        less_urgent.any(|(_, &arrived_at)| arrived_at + ARRIVAL_TTL > now)
    }

    /// Interactive streams from callers of this VM that are in flight.
    pub(super) fn own_interactive_streams(&self) -> u32 {
        self.backends.values().map(Backend::own_interactive).sum()
    }

    /// Streams with tight gap targets from callers of this VM that are in flight.
    pub(super) fn own_tight_streams(&self) -> u32 {
        self.tight_streams.values().sum()
    }

    /// Prompt tokens per second of streams with tight gap targets from callers of this VM.
    pub(super) fn own_tight_tokens_per_s(&self, now: Timestamp) -> f64 {
        self.tight_tokens_per_s * decay_factor(now.saturating_sub(self.interactive_updated_at))
    }

    /// Prompt tokens per second of interactive streams from callers of this VM.
    pub(super) fn own_interactive_tokens_per_s(&self, now: Timestamp) -> f64 {
        self.interactive_tokens_per_s
            * decay_factor(now.saturating_sub(self.interactive_updated_at))
    }
}

/// Moves the size of a group of engines towards the one that is required.
fn resize_group(group_size: &mut usize, required: f64) {
    let current = f64::from(u32::try_from(*group_size).unwrap_or(u32::MAX));
    let releasable = current - 1.0 - required / RELEASE_FRACTION;
    if required > current {
        *group_size += half_rounded_up(required - current);
    } else if *group_size > 1 && releasable > 0.0 {
        *group_size -= half_rounded_up(releasable).min(*group_size - 1);
    }
}

/// Half of a difference in engines, rounded up and at least one: few requests reach each VM of a
/// large fleet, so each of them closes half of the gap.
fn half_rounded_up(engines: f64) -> usize {
    let half = (engines / 2.0).ceil().clamp(1.0, f64::from(u32::MAX));
    usize::try_from(to_u32(half)).unwrap_or(usize::MAX)
}

fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
}
