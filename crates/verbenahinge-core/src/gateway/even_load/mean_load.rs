//! Mean load of the servers of one service, estimated by one VM from its own requests.

use std::time::Duration;

use crate::Timestamp;

/// Time constant of the averages: long enough for a VM of a large fleet, which has few requests in flight.
const TIME_CONSTANT: Duration = Duration::from_secs(8);

/// Weight of averages over two seconds.
const SETTLED_WEIGHT: f64 = 0.22;

/// Time that a request is assumed to take before some have been counted.
const INITIAL_HOLD: Duration = Duration::from_millis(300);

/// Mean load of the servers of one service: callers spread evenly over VMs, so a VM's own requests are a
/// sample of all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLoad {
    own_running: f64,
    own_per_s: f64,
    sent: f64,
    observed_at: Option<Timestamp>,
    /// Share of the averages that is known; it approaches 1.
    weight: f64,
}

impl MeanLoad {
    /// Counts a request that this VM sends.
    pub fn note_sent(&mut self) {
        self.sent += 1.0;
    }

    /// Records the number of this VM's requests in flight.
    pub fn observe(&mut self, now: Timestamp, own_running: u32) {
        let Some(at) = self.observed_at.replace(now) else {
            self.sent = 0.0;
            return;
        };
        let elapsed_s = now.saturating_sub(at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let gain = 1.0 - (-elapsed_s / TIME_CONSTANT.as_secs_f64()).exp();
        self.own_running += gain * (f64::from(own_running) - self.own_running);
        self.own_per_s += gain * (self.sent / elapsed_s - self.own_per_s);
        self.weight += gain * (1.0 - self.weight);
        self.sent = 0.0;
    }

    /// Whether the averages rest on a time in which the fleet has found its load.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.weight >= SETTLED_WEIGHT
    }

    /// Requests of this VM in flight, on average.
    #[must_use]
    pub fn own_running(&self) -> f64 {
        self.own_running / self.weight.max(f64::MIN_POSITIVE)
    }

    /// Requests that this VM sends per second, on average.
    #[must_use]
    pub fn own_per_s(&self) -> f64 {
        self.own_per_s / self.weight.max(f64::MIN_POSITIVE)
    }

    /// Time that a request takes, on average.
    #[must_use]
    pub fn hold(&self) -> Duration {
        if self.own_per_s <= 0.0 || self.own_running <= 0.0 {
            return INITIAL_HOLD;
        }
        Duration::from_secs_f64((self.own_running / self.own_per_s).clamp(0.001, 60.0))
    }
}
