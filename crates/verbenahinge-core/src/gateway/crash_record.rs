//! Crashes of servers that were running one request.

use std::time::Duration;

use crate::{CrashId, Fingerprint};

/// Crashes of servers that were running requests with one fingerprint, as told to other VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashRecord {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Crashes during which one of them was running.
    pub crashes: Vec<CrashId>,
    /// Time since the latest crash became known.
    pub age: Duration,
}
