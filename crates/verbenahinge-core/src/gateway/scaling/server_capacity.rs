//! What one backend server of a service can carry.

use super::DemandSample;

/// Fraction of the slots that may be in use: engines slow down and requests meet unevenly.
const SLOT_FRACTION: f64 = 0.6;

/// Fraction of the time that an engine may spend on reading prompts, so that first tokens are in time.
const PREFILL_FRACTION: f64 = 0.45;

/// Fraction of the memory that running requests may use; the rest keeps shared prompt parts.
const MEMORY_FRACTION: f64 = 0.5;

/// What one backend server of a service can carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCapacity {
    /// Concurrent requests.
    pub slots: f64,
    /// Prompt tokens that it reads each second; `None` if it is no engine.
    pub prefill_tokens_per_s: Option<f64>,
    /// Memory for running requests and cached parts, in tokens; `None` if it is no engine.
    pub memory_tokens: Option<f64>,
}

impl ServerCapacity {
    /// Number of servers that a demand needs, so that latency targets are met.
    #[must_use]
    pub fn servers_for(&self, demand: &DemandSample) -> f64 {
        let in_flight = f64::from(demand.in_flight);
        let mut servers = in_flight / (self.slots * SLOT_FRACTION).max(0.1);
        if let Some(rate) = self.prefill_tokens_per_s {
            servers = servers.max(demand.prefill_tokens_per_s / (rate * PREFILL_FRACTION).max(1.0));
        }
        if let Some(memory) = self.memory_tokens
            && demand.requests_per_s > 0.0
        {
            let tokens_each = demand.prompt_tokens_per_s / demand.requests_per_s;
            servers = servers.max(in_flight * tokens_each / (memory * MEMORY_FRACTION).max(1.0));
        }
        servers
    }
}
