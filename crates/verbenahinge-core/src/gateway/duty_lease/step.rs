//! What a VM does next for the lease.

use std::time::Duration;

use super::LeaseRow;

/// What a VM does next for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the row.
    Read,
    /// Write the row on condition that it still has the given version.
    Write {
        /// Version of the row that was read; 0 if it did not exist.
        row_version: u64,
        /// New content.
        row: LeaseRow,
    },
    /// Ask again after the given time.
    Wait(Duration),
}
