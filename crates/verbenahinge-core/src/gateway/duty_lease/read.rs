//! Result of reading the row of the lease.

use super::LeaseRow;
use crate::gateway::StoreVersion;

/// Result of reading the row of the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseRead {
    /// Version of the store at the time of the read.
    pub store: StoreVersion,
    /// Version of the row; 0 if it does not exist.
    pub row_version: u64,
    /// Content of the row; the default if it does not exist or cannot be read.
    pub row: LeaseRow,
}
