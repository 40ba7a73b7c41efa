//! Right to make a call to the platform.

use std::sync::Arc;

use crate::Timestamp;

/// Right of the holder of the lease to begin a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyPermit {
    /// Name of the VM that holds the lease.
    pub holder: Arc<str>,
    /// Fencing token: increases whenever the holder changes.
    pub number: u64,
    /// Time by the boot-time clock from which no call may begin. A call that begins earlier has ended by
    /// its timeout when the lease ends.
    pub send_before: Timestamp,
}
