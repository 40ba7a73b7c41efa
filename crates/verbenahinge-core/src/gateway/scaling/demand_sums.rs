//! Sums of a service's demand.

/// Sums over all VMs, which only grow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandSums {
    /// Requests that began.
    pub requests: u64,
    /// Prompt tokens of these, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens of these that had to be read.
    pub prefill_tokens: u64,
}
