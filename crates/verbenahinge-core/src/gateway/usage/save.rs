//! What the holder of the lease saves in one transaction.

use super::{FixedReport, UsageRow};

/// What the holder of the lease saves in one transaction, on condition that nobody else has saved since.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageSave {
    /// Sums over all VMs.
    pub row: UsageRow,
    /// Reports to add.
    pub reports: Vec<FixedReport>,
    /// Accepted reports to remove.
    pub removed: Vec<FixedReport>,
}
