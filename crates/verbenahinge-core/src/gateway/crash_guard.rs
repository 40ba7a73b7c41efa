//! Prevents requests that crash backend servers from running again on any VM.
//!
//! Such a request crashes every server that starts it, and its caller resends it through any VM.

use crate::quarantine::{Quarantine, QuarantineStatus};
use crate::{CrashId, FailureKind, Fingerprint, Timestamp};

/// Maximum number of crash records in one digest.
const MAX_CRASH_RECORDS: usize = 16;

/// Time for which a crash record is included in digests after its last update.
const CRASH_RECORD_MAX_AGE: std::time::Duration = std::time::Duration::from_secs(20);

/// Fingerprints of requests that were running when backend servers crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    quarantine: Quarantine,
}

impl CrashGuard {
    /// Creates a guard without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was running when a backend server crashed; returns whether that was
    /// new.
    pub fn note_crash(&mut self, now: Timestamp, fingerprint: Fingerprint, crash: CrashId) -> bool {
        self.quarantine.record_crash(now, fingerprint, crash)
    }

    /// Records that a request ran to completion; returns whether that dropped a record.
    pub fn note_completed(&mut self, fingerprint: Fingerprint) -> bool {
        self.quarantine.record_completion(fingerprint)
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.status(fingerprint) == QuarantineStatus::Quarantined
    }

    /// Returns whether a request may run again after an attempt that ended in `kind`.
    ///
    /// A request that has crashed a server before, and whose connection breaks again, may just have
    /// crashed the second one. That shows only after a while, so it does not get a third one.
    #[must_use]
    pub fn allows_retry(&self, fingerprint: Fingerprint, kind: FailureKind) -> bool {
        match self.quarantine.status(fingerprint) {
            QuarantineStatus::Clear => true,
            QuarantineStatus::Suspect => kind != FailureKind::ConnectionLost,
            QuarantineStatus::Quarantined => false,
        }
    }

    /// Latest crash records, to be sent to other VMs.
    #[must_use]
    pub fn recent_records(&self, now: Timestamp) -> Vec<(Fingerprint, Vec<CrashId>)> {
        self.quarantine
            .latest(now.saturating_sub(CRASH_RECORD_MAX_AGE), MAX_CRASH_RECORDS)
    }

    /// Removes old records.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
    }
}
