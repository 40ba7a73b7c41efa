//! Record of a dispatch.

use std::sync::Arc;

use verbenahinge_core::{Tier, Timestamp};

/// One dispatch, used to check that requests are served in tier order and for how long a class is
/// starved.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRecord {
    /// When it was decided.
    pub at: Timestamp,
    /// Pool of the request.
    pub pool: Arc<str>,
    /// Class of the request.
    pub class: Arc<str>,
    /// Tier of the request.
    pub tier: Tier,
    /// Whether starvation protection let the request go ahead of higher tiers.
    pub floor: bool,
}
