//! What kinds of requests arrive, and how many engines interactive streams need for it.
//!
//! Load pattern: bursts of one kind, several times the usual, that begin and end within seconds.

use std::time::Duration;

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::number::to_u32;
use crate::gateway::{Call, RetryWindow};

/// Window over which the demand for interactive streams is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Part of an engine's reading time that interactive streams may take.
const INTERACTIVE_READ_PART: f64 = 0.35;

/// Part of an engine's slots that interactive streams may take.
const INTERACTIVE_SLOT_PART: f64 = 0.5;

/// Part by which demand has to fall below a bound before an engine is given back.
const GIVE_BACK_PART: f64 = 0.7;

/// Shortest time between two changes of the engines that are kept, for each engine that is looked at
/// for it: looks at one service take less than a hundredth of a core where one engine takes less
/// than two microseconds.
const LANE_INTERVAL_EACH: Duration = Duration::from_micros(200);

/// Age up to which what VMs told stands for the others.
const SAMPLE_AGE: Duration = Duration::from_secs(1);

/// VMs that are enough to stand for the others: those that a VM hears of in a third of a second
/// where it does not hear of all.
const SAMPLE_VMS: u32 = 16;

/// Time for which prompts of a priority are expected to go on arriving; a VM of a large fleet gets
/// about one a second of each kind.
const URGENT_TTL: Duration = Duration::from_secs(5);

/// Prompts of one priority that arrive and are not interactive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Urgent {
    pub(super) seen: Timestamp,
    pub(super) target: Duration,
}

impl GatewayState {
    /// Takes note of a request of a caller.
    pub fn note_arrival(&mut self, now: Timestamp, call: &Call) {
        self.retries
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .note_request(now);
        let interactive = self.placement(now, call).is_interactive(call);
        if call.prompt.is_some() && !interactive {
            let target = call.route.target;
            let seen = self.urgent.entry(call.service.clone()).or_default();
            seen.insert(call.priority(), Urgent { seen: now, target });
        }
        if let (true, Some(prompt)) = (interactive, &call.prompt) {
            let decay = decay(now.saturating_sub(self.interactive_at));
            self.interactive_at = now;
            let added = f64::from(prompt.prompt_tokens) / DEMAND_WINDOW.as_secs_f64();
            self.interactive_tokens_s = self.interactive_tokens_s * decay + added;
        }
    }

    /// Adapts the number of engines that are kept for interactive streams to the demand.
    pub(super) fn size_lane(&mut self, now: Timestamp, call: &Call) {
        let Some(order) = self.registry.order(&call.service) else {
            return;
        };
        let engines = u32::try_from(order.len()).unwrap_or(u32::MAX);
        let sized = self.lane_sized.get(&call.service);
        let interval = LANE_INTERVAL_EACH * engines;
        if engines == 0 || sized.is_some_and(|&at| at.saturating_add(interval) > now) {
            return;
        }
        let own = self.own_interactive_tokens_s(now);
        let tokens_s = own + self.told_tokens_s(now);
        let mut rate = 0.0;
        let mut streams = 0;
        for id in order.names() {
            if let Some(backend) = self.backends.get(id) {
                rate += backend.prefill_rate();
                streams += backend.interactive();
            }
        }
        let rate_each = rate * 1000.0 / f64::from(engines);
        let slots_each = f64::from(order.slots()) / f64::from(engines);
        let by_reading = tokens_s / (rate_each * INTERACTIVE_READ_PART).max(1.0);
        let by_slots = f64::from(streams) / (slots_each * INTERACTIVE_SLOT_PART).max(1.0);
        let wanted = by_reading.max(by_slots);
        self.lane_sized.insert(call.service.clone(), now);
        let lane = self.lane.entry(call.service.clone()).or_insert(1);
        let held = f64::from(u32::try_from(*lane).unwrap_or(u32::MAX));
        let given_back = held - 1.0 - wanted / GIVE_BACK_PART;
        if wanted > held {
            *lane += half_of(wanted - held);
        } else if *lane > 1 && given_back > 0.0 {
            *lane -= half_of(given_back).min(*lane - 1);
        }
    }

    /// Tokens a second that interactive streams of other VMs' callers bring.
    ///
    /// Where VMs are many, most of what they told is some seconds old; those that told it just now
    /// stand for the others.
    fn told_tokens_s(&self, now: Timestamp) -> f64 {
        let mut told = 0.0;
        let mut recent = 0.0;
        let mut recent_vms: u32 = 0;
        for peer in self.peers.values() {
            let tokens_s = f64::from(peer.interactive_tokens_s);
            told += tokens_s;
            if peer.seen + SAMPLE_AGE > now {
                recent += tokens_s;
                recent_vms += 1;
            }
        }
        if recent_vms < SAMPLE_VMS {
            return told;
        }
        let vms = f64::from(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
        recent / f64::from(recent_vms) * vms
    }

    /// Shortest target of more urgent prompts that are expected to arrive at the call's service.
    pub(super) fn urgent_target(&self, now: Timestamp, call: &Call) -> Option<Duration> {
        let seen = self.urgent.get(&call.service)?;
        let more_urgent = seen.range(..call.priority());
        more_urgent
            .filter(|(_, urgent)| urgent.seen + URGENT_TTL > now)
            .map(|(_, urgent)| urgent.target)
            .min()
    }

    /// Tokens a second that interactive streams of this VM's callers bring.
    pub(super) fn own_interactive_tokens_s(&self, now: Timestamp) -> f64 {
        self.interactive_tokens_s * decay(now.saturating_sub(self.interactive_at))
    }
}

/// Half of a difference in engines, at least one: few requests reach a VM of a large fleet, and each
/// of them closes half of the gap.
fn half_of(engines: f64) -> usize {
    let half = (engines / 2.0).ceil().clamp(1.0, f64::from(u32::MAX));
    usize::try_from(to_u32(half)).unwrap_or(usize::MAX)
}

fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
}
