//! Demand of a service at one moment.

/// Demand of a service, of all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSample {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that begin each second.
    pub requests_per_s: f64,
    /// Prompt tokens of these, cached ones included.
    pub prompt_tokens_per_s: f64,
    /// Prompt tokens that engines have to read, without cached ones.
    pub prefill_tokens_per_s: f64,
}

impl DemandSample {
    /// Whether there is no traffic.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.requests_per_s <= 0.0
    }
}
