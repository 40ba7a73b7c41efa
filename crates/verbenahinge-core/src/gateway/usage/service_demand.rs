//! Demand for a service, as VMs tell the holder of the lease.

use crate::gateway::number::to_u32;

/// Demand for one service since a VM process started, or its sum over VMs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceDemand {
    /// Requests that began at a backend server.
    pub requests: u64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: u64,
    /// Tokens of these prompts that had to be prefilled, as far as was known when the server was chosen.
    pub prefill_tokens: u64,
    /// Requests that are at a backend server at this moment.
    pub in_flight: u64,
}

impl ServiceDemand {
    /// Adds a request that began, with the cost of its prefill in tokens.
    pub fn add_request(&mut self, prompt_tokens: u32, prefill_cost: f64) {
        self.requests += 1;
        self.prompt_tokens += u64::from(prompt_tokens);
        self.prefill_tokens += u64::from(to_u32(prefill_cost));
    }

    /// Adds the demand that another VM tells.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.in_flight += other.in_flight;
    }
}
