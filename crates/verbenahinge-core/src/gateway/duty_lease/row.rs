//! Row of the store that names the holder of the lease.

/// Row of the store that names the holder of the lease.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseRow {
    /// Name of the VM that holds the lease.
    pub holder: String,
    /// Process that holds the lease; a restarted VM has another one.
    pub process: u64,
    /// Fencing token of the holder.
    pub number: u64,
    /// Number of the write among those of the process, so that each write can be told from all others.
    pub renewals: u64,
}
