//! Predicts the gap between two events of a stream at an engine.

use std::time::Duration;

/// Time for a token at a usual engine before the first measurement, in ms.
const INITIAL_MS_PER_TOKEN: f64 = 9.0;

/// Time by which prefill beside a stream lengthens a gap at most, relative to a gap without.
const PREFILL_SLOWDOWN: f64 = 2.5;

/// Increase of the time for a token from an idle engine to a full one, relative to that at half load.
const LOAD_SLOPE: f64 = 0.3;

/// Share of the target from which a predicted gap counts as late in part, since the work of an engine
/// may take 2.5 times as long for a while.
const SAFE_SHARE: f64 = 0.4;

/// Model of the gaps at the engines of one service that has streams with tight gap targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapModel {
    /// Tightest gap target of the service's routes.
    pub target: Duration,
    usual_gap_ms: f64,
}

/// Engine and its load at the time of a prediction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) struct EngineMoment {
    /// Time that the engine takes, relative to a usual one.
    pub(in crate::gateway) pace: f64,
    /// Used slots, relative to all.
    pub(in crate::gateway) load_share: f64,
    /// Time that the engine needs for the prompts that wait.
    pub(in crate::gateway) prefill_ms: f64,
}

impl GapModel {
    /// Creates the model of a service; `usual` is the usual time for a token in log2 of microseconds.
    #[must_use]
    pub fn new(target: Duration, tokens_per_event: u32, usual: Option<f64>) -> Self {
        let ms_per_token = usual.map_or(INITIAL_MS_PER_TOKEN, |usual| usual.exp2() / 1000.0);
        Self {
            target,
            usual_gap_ms: ms_per_token * f64::from(tokens_per_event.max(1)),
        }
    }

    /// Predicts the gap between two events, in ms.
    pub(in crate::gateway) fn gap_ms(&self, moment: EngineMoment) -> f64 {
        let load = 1.0 + LOAD_SLOPE * (moment.load_share.min(1.5) - 0.5);
        let gap_ms = self.usual_gap_ms * moment.pace;
        gap_ms * load + moment.prefill_ms.min(gap_ms * PREFILL_SLOWDOWN)
    }

    /// Chance that a stream with the given target becomes late at a predicted gap.
    pub(in crate::gateway) fn lateness(gap_ms: f64, target: Duration) -> f64 {
        let share = gap_ms / (target.as_secs_f64() * 1000.0).max(1.0);
        ((share - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0)
    }
}
