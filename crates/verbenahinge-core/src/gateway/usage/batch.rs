//! Counts that a VM tells others in one piece.

use super::WindowId;
use crate::AccountName;

/// Requests of one client account in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageCount {
    /// Window in which the requests began.
    pub window: WindowId,
    /// Client account.
    pub account: AccountName,
    /// Number of requests.
    pub count: u64,
}

/// Requests that began at a VM since its last batch. A batch never changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageBatch {
    /// Number of the batch among those of the VM process, from 1.
    pub number: u64,
    /// Requests by window and account.
    pub counts: Vec<UsageCount>,
}
