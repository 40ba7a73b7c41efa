//! Cost of a request at an inference engine, in requests.

use std::time::Duration;

use super::gap_cost::GapCost;
use super::prefill::PrefillPlan;
use super::{Candidate, EngineLimits, Obstacle, ServerChoice};
use crate::gateway::{Call, StreamKind};

/// Prefill work, in tokens, that an engine completes between two events of a concurrent stream
/// without delaying the second one.
const TOLERATED_PREFILL_TOKENS: f64 = 6000.0;

/// Cost of making one stream late, in requests.
pub(super) const LATE_STREAM_COST: f64 = 0.8;

/// Cost of one second of prefill, which later requests wait for, in requests.
const PREFILL_SECOND_COST: f64 = 5.0;

/// Share of an engine's memory that running requests may fill; above it, the engine may preempt
/// requests.
const MAX_MEMORY_SHARE: f64 = 0.85;

/// Cost from which an engine counts as full: several short streams would become late.
const FULL_COST: f64 = 4.0;

/// An engine may hold `slots / URGENT_SLOTS_DIVISOR` requests beyond its slots, so that urgent
/// requests can queue.
const URGENT_SLOTS_DIVISOR: u32 = 4;

/// Share of the target up to which waiting adds no cost.
const FREE_WAIT_SHARE: f64 = 0.6;

/// Returns the cost of a call at an engine, why the engine is full if it is, and the resulting choice.
pub(super) fn engine_cost(
    call: &Call,
    candidate: &Candidate,
    engine: EngineLimits,
    kind: StreamKind,
    plan: PrefillPlan,
    gap_cost: Option<GapCost>,
) -> (f64, Option<Obstacle>, ServerChoice) {
    let backend = candidate.backend;
    let interactive = kind != StreamKind::Other;
    let rate = backend.prefill_rate();
    let PrefillPlan {
        prefill_cost,
        copy_ms,
        copy_from,
    } = plan;
    // The copy overlaps with the prefill of the prompts ahead.
    let ahead_ms = (backend.prefill_ahead(call.priority()) / rate).max(copy_ms);
    let wait_ms = ahead_ms + prefill_cost / rate;
    let target_ms = call.route.latency_target.as_secs_f64() * 1000.0;
    let wait_share = wait_ms / target_ms.max(1.0);
    let wait_cost = ((wait_share - FREE_WAIT_SHARE) / (1.0 - FREE_WAIT_SHARE)).max(0.0);
    let late_cost = if interactive {
        let prefill_pressure = backend.prefill_backlog() / TOLERATED_PREFILL_TOKENS;
        LATE_STREAM_COST * prefill_pressure.min(1.0)
    } else {
        let streams = f64::from(backend.interactive());
        LATE_STREAM_COST * streams * (prefill_cost / TOLERATED_PREFILL_TOKENS).min(1.0) * 0.5
    };
    let usual_cost = wait_cost + late_cost + backend.error_rate();
    let running = backend.running();
    let slots = candidate.entry.slots.max(1);
    let memory = f64::from(backend.memory_tokens());
    let capacity = f64::from(u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX));
    // Among the requests that wait for a slot, engines start the urgent ones first.
    let no_slot = backend.running_up_to(call.priority()) >= slots
        || running >= slots.saturating_add(slots / URGENT_SLOTS_DIVISOR);
    let no_memory = running > 0 && memory > capacity * MAX_MEMORY_SHARE;
    let full = if no_slot {
        Some(Obstacle::NoSlot)
    } else if no_memory {
        Some(Obstacle::NoMemory)
    } else {
        (usual_cost >= FULL_COST).then_some(Obstacle::Busy)
    };
    // Predicted gaps rank the engines, but rule none out.
    let mut cost = gap_cost.map_or(usual_cost, |gap_cost| {
        wait_cost + gap_cost.cost + backend.error_rate()
    });
    cost += PREFILL_SECOND_COST * (prefill_cost / rate + copy_ms) / 1000.0;
    // Spreads interactive streams over the engines of their group.
    cost += 0.2 * f64::from(running) / f64::from(slots);
    let choice = ServerChoice {
        server: candidate.entry.id.clone(),
        prefill_cost,
        expected_wait: Duration::from_secs_f64(wait_ms / 1000.0),
        copy_from,
        interactive,
        tight: kind == StreamKind::Tight,
        expected_gap: gap_cost.and_then(|gap_cost| gap_cost.gap),
    };
    (cost, full, choice)
}
