//! Sums that the holder of the lease saves.

use std::collections::BTreeMap;

use super::{AccountCounts, WindowId};
use crate::VmId;

/// Sums over all VMs, and which batches they contain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageRow {
    /// Window whose report is fixed next; earlier ones are fixed.
    pub next_window: WindowId,
    /// Requests by window and client account.
    pub counts: BTreeMap<WindowId, AccountCounts>,
    /// Number of the last batch of each VM process that the counts contain.
    pub applied: BTreeMap<VmId, u64>,
}
