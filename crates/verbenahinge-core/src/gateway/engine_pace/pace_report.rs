//! Estimate of an engine's pace as VMs tell it to each other.

use crate::gateway::number::to_u32;

/// Steps of a reported time in one factor of two.
const STEPS_PER_OCTAVE: f64 = 16.0;

/// Shortest time that can be reported, in log2 of microseconds.
const MIN_LOG_TIME: f64 = 6.0;

/// Steps of a reported weight in one sample.
const STEPS_PER_SAMPLE: f64 = 4.0;

/// Time for a token at an engine, and the samples that it rests on, in two bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PaceReport {
    /// Time for a token, from 64 µs on, in sixteenths of an octave.
    pub time_code: u8,
    /// Quarters of a sample; 0 if the pace is not known.
    pub weight_code: u8,
}

impl PaceReport {
    pub(super) fn new(log_time: f64, samples: f64) -> Self {
        Self {
            time_code: to_u8((log_time - MIN_LOG_TIME) * STEPS_PER_OCTAVE),
            weight_code: to_u8(samples * STEPS_PER_SAMPLE),
        }
    }

    /// Whether the report rests on any sample.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.weight_code > 0
    }

    /// Time for a token, in log2 of microseconds.
    pub(super) fn log_time(self) -> f64 {
        MIN_LOG_TIME + f64::from(self.time_code) / STEPS_PER_OCTAVE
    }

    pub(super) fn samples(self) -> f64 {
        f64::from(self.weight_code) / STEPS_PER_SAMPLE
    }
}

fn to_u8(value: f64) -> u8 {
    u8::try_from(to_u32(value.round())).unwrap_or(u8::MAX)
}
