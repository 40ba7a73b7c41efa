//! Record of a preemption.

use std::sync::Arc;

use verbenahinge_core::{Tier, Timestamp};

/// One request that was preempted by a higher tier.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionRecord {
    /// When it was cancelled.
    pub at: Timestamp,
    /// Pool of the request.
    pub pool: Arc<str>,
    /// Tier of the request.
    pub tier: Tier,
}
