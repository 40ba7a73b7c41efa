//! Bounds that a deployment sets.

use std::time::Duration;

/// Bounds of a deployment that the decisions of a gateway have to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the request to shut down and the kill.
    pub shutdown_grace: Duration,
    /// Time after which a leaving backend server must receive nothing new.
    pub drain: Duration,
    /// Time after which an accepted configuration must be in force.
    pub config_apply: Duration,
    /// Retries of a service for each of its requests, over all VMs.
    pub retry_ratio: f64,
    /// Retries of a service in a window beyond that ratio, over all VMs.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
}

impl Eq for Bounds {}

/// Bounds of a usual deployment, for examples, tests and measurements; a VM reads its own.
impl Default for Bounds {
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            config_apply: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 60.0,
            retry_window: Duration::from_secs(10),
        }
    }
}
