//! Load of a server as a VM was last told.

use std::time::Duration;

/// Load of a server as a VM was last told, and what the VM itself has sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadNews {
    /// Requests that the VM was told of; its own ones of today are not among them if `own` has them.
    pub told: f64,
    /// Age of the news.
    pub age: Duration,
    /// Requests of the VM itself that `told` does not contain.
    pub own: f64,
}

impl LoadNews {
    /// Predicts the load now, if requests take `hold` on average.
    ///
    /// What was told ends in time, and what other VMs must have begun since, at the rate that keeps up the
    /// `mean`, takes its place.
    #[must_use]
    pub fn predict(&self, mean: f64, hold: Duration) -> f64 {
        let faded = self.age.as_secs_f64() / hold.as_secs_f64().max(0.001);
        mean + (self.told - mean) * (-faded).exp() + self.own
    }
}
