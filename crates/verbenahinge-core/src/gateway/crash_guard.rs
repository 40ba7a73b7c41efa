//! Keeps requests that crash backend servers from running again, on all VMs.
//!
//! Load pattern: one request ends every backend server that begins to run it, and its caller
//! sends it again through any VM.

use crate::quarantine::{Quarantine, QuarantineStatus};
use crate::{CrashId, Fingerprint, Timestamp};

/// Records that one digest carries.
const NEWS_LIMIT: usize = 16;

/// Time for which a record is told to other VMs.
const NEWS_SPAN: std::time::Duration = std::time::Duration::from_secs(20);

/// Fingerprints of requests that were running when backend servers crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    quarantine: Quarantine,
}

impl CrashGuard {
    /// Creates an empty guard.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note that a request was running when a backend server crashed; says if it is news.
    pub fn note_crash(&mut self, now: Timestamp, fingerprint: Fingerprint, crash: CrashId) -> bool {
        self.quarantine.record_crash(now, fingerprint, crash)
    }

    /// Takes note that a request ran to its end.
    pub fn note_completed(&mut self, fingerprint: Fingerprint) {
        self.quarantine.record_completion(fingerprint);
    }

    /// Says whether a request must not run again.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.status(fingerprint) == QuarantineStatus::Quarantined
    }

    /// Records that other VMs should know.
    #[must_use]
    pub fn news(&self, now: Timestamp) -> Vec<(Fingerprint, Vec<CrashId>)> {
        self.quarantine
            .latest(now.saturating_sub(NEWS_SPAN), NEWS_LIMIT)
    }

    /// Forgets old records.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
    }
}
