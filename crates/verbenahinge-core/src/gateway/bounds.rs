//! Limits set by a deployment.

use std::time::Duration;

/// Limits of a deployment that the gateway's decisions must respect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the shutdown request and the kill.
    pub shutdown_grace: Duration,
    /// Time between two registrations of a backend server.
    pub server_heartbeat: Duration,
    /// Time after which a draining backend server must not receive new requests.
    pub drain: Duration,
    /// Time within which an accepted configuration must be in force.
    pub config_apply: Duration,
    /// Retries of a service per request, over all VMs.
    pub retry_ratio: f64,
    /// Additional retries of a service per window, over all VMs.
    pub retry_slack: f64,
    /// Sliding window over which retries are counted.
    pub retry_window: Duration,
}

impl Eq for Bounds {}

/// Limits of a typical deployment, for examples, tests and measurements; a VM reads its own limits
/// from its settings.
impl Default for Bounds {
    fn default() -> Self {
        Self {
            shutdown_grace: Duration::from_secs(8),
            server_heartbeat: Duration::from_millis(1200),
            drain: Duration::from_secs(2),
            config_apply: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 60.0,
            retry_window: Duration::from_secs(10),
        }
    }
}
