//! Prevents requests that crash backend servers from running again on any VM.
//!
//! Such a request crashes every server that starts it, and its caller resends it through any VM.

use std::time::Duration;

use super::CrashRecord;
use crate::quarantine::{Quarantine, QuarantineStatus};
use crate::{CrashId, FailureKind, Fingerprint, Timestamp};

/// Maximum number of crash records in one digest.
const MAX_CRASH_RECORDS: usize = 16;

/// Time for which a crash record is included in digests after its last update.
const CRASH_RECORD_MAX_AGE: Duration = Duration::from_secs(20);

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

    /// Adds a record of another VM or of the store; returns whether it names a crash that was not
    /// known.
    pub fn merge(&mut self, now: Timestamp, record: &CrashRecord) -> bool {
        let at = now.saturating_sub(record.age);
        let mut has_new = false;
        for &crash in &record.crashes {
            has_new |= self.note_crash(at, record.fingerprint, crash);
        }
        has_new
    }

    /// Latest crash records, to be sent to other VMs.
    #[must_use]
    pub fn recent_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        self.records_since(now, CRASH_RECORD_MAX_AGE, MAX_CRASH_RECORDS)
    }

    /// Records of all quarantined requests, to be kept in the store and sent to VMs that start.
    #[must_use]
    pub fn quarantined_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        let mut records = self.records_since(now, now, usize::MAX);
        records.retain(|record| self.is_quarantined(record.fingerprint));
        records
    }

    fn records_since(&self, now: Timestamp, max_age: Duration, limit: usize) -> Vec<CrashRecord> {
        let mut records = Vec::new();
        let since = now.saturating_sub(max_age);
        for (fingerprint, crashes, updated_at) in self.quarantine.latest(since, limit) {
            records.push(CrashRecord {
                fingerprint,
                crashes,
                age: now.saturating_sub(updated_at),
            });
        }
        records
    }

    /// Removes old records.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
    }
}
