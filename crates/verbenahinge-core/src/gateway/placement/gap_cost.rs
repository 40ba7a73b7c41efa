//! Cost of gaps that make streams late, at a service with tight gap targets.

use std::time::Duration;

use super::engine_cost::LATE_STREAM_COST;
use super::prefill::PrefillPlan;
use super::{Candidate, MAX_REPORT_AGE, PlacementContext};
use crate::gateway::engine_pace::{EngineMoment, GapModel};
use crate::gateway::{Call, LoadReport};

/// Expected lateness of a new stream and of the interactive streams at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct GapCost {
    /// Cost in requests.
    pub(super) cost: f64,
    /// Expected gap of the new stream; `None` if its route has no gap target.
    pub(super) gap: Option<Duration>,
}

impl PlacementContext<'_> {
    /// Predicts what gaps cost if an engine gets a call; `None` at services without tight gap targets.
    pub(super) fn gap_cost(
        &self,
        call: &Call,
        candidate: &Candidate,
        plan: &PrefillPlan,
    ) -> Option<GapCost> {
        let model = self.gap_model?;
        let backend = candidate.backend;
        let rate = backend.prefill_rate();
        let slots = f64::from(candidate.entry.slots.max(1));
        let report = backend.reported(self.now, MAX_REPORT_AGE);
        let slowdown = report.as_ref().map_or(1.0, LoadReport::slowdown);
        let present = EngineMoment {
            pace: candidate.pace * slowdown,
            load_share: f64::from(backend.running()) / slots,
            prefill_ms: backend.prefill_backlog() / rate,
        };
        let with_prompt = EngineMoment {
            prefill_ms: present.prefill_ms + plan.prefill_cost / rate,
            load_share: present.load_share + 1.0 / slots,
            ..present
        };
        let lateness = |moment| GapModel::lateness(model.gap_ms(moment), model.target);
        let streams = f64::from(backend.interactive());
        let mut cost = LATE_STREAM_COST * streams * (lateness(with_prompt) - lateness(present));
        // The prompts that wait are read beside the new stream, but its own is read before it.
        let gap_ms = model.gap_ms(EngineMoment {
            prefill_ms: present.prefill_ms,
            ..with_prompt
        });
        if let Some(target) = call.route.gap_target {
            cost += LATE_STREAM_COST * GapModel::lateness(gap_ms, target);
        }
        let gap = Duration::from_secs_f64(gap_ms / 1000.0);
        Some(GapCost {
            cost,
            gap: call.route.gap_target.map(|_| gap),
        })
    }
}
