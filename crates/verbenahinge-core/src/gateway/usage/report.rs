//! Report of one window, as it was fixed.

use super::{AccountCounts, WindowId};

/// Report of one window. Once it is in the store, no VM sends other counts for that window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FixedReport {
    /// Window of the report.
    pub window: WindowId,
    /// Requests by client account.
    pub counts: AccountCounts,
}
