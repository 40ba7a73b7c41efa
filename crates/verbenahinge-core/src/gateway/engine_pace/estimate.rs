//! Mean time for a token at an engine, whose weight fades with age.

use std::time::Duration;

use super::PaceReport;
use crate::Timestamp;

/// Time constant of the exponential decay of a weight.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Largest weight, in samples.
const MAX_WEIGHT: f64 = 32.0;

/// Mean of the logarithms of some samples.
///
/// Logarithms make a slowdown by a factor and a speed-up by the same factor cancel out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    log_time: f64,
    weight: f64,
    at: Timestamp,
}

impl Estimate {
    pub(super) fn from_report(now: Timestamp, report: PaceReport) -> Self {
        Self {
            log_time: report.log_time(),
            weight: report.samples(),
            at: now,
        }
    }

    /// Mean, in log2 of microseconds.
    pub(super) const fn log_time(&self) -> f64 {
        self.log_time
    }

    /// Weight in samples, by which older samples count less.
    pub(super) fn weight_at(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.weight * (-age / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Adds the time for a token in one stream.
    pub(super) fn add(&mut self, now: Timestamp, time_per_token: Duration) {
        let micros = (time_per_token.as_secs_f64() * 1e6).max(1.0);
        self.merge(
            now,
            Self {
                log_time: micros.log2(),
                weight: 1.0,
                at: now,
            },
        );
    }

    /// Adds the samples of another estimate.
    pub(super) fn merge(&mut self, now: Timestamp, other: Self) {
        let own_weight = self.weight_at(now);
        let other_weight = other.weight_at(now);
        let weight = own_weight + other_weight;
        if weight <= 0.0 {
            return;
        }
        self.log_time = (self.log_time * own_weight + other.log_time * other_weight) / weight;
        self.weight = weight.min(MAX_WEIGHT);
        self.at = now;
    }

    pub(super) fn report(&self, now: Timestamp) -> PaceReport {
        PaceReport::new(self.log_time, self.weight_at(now))
    }
}
