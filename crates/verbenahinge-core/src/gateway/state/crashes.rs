//! Requests that crash backend servers: what this VM and others have seen, and what follows for a
//! request.

use super::GatewayState;
use crate::gateway::CrashRecord;
use crate::hash::{hash64, mix64};
use crate::{FailureKind, Fingerprint, Timestamp};

impl GatewayState {
    /// Records that a server crashed while it ran a request; returns whether the crash is new.
    pub fn note_crash(&mut self, now: Timestamp, server: &str, fingerprint: Fingerprint) -> bool {
        let started = self
            .registry
            .get(server)
            .and_then(|entry| entry.started_unix_ms);
        // Without a reported start time, all crashes of a server name count as one.
        let crash = mix64(hash64(server.as_bytes()), started.unwrap_or(0));
        self.crash_guard.note_crash(now, fingerprint, crash)
    }

    /// Records that a request ran to completion; returns whether that dropped a crash record.
    pub fn note_completed(&mut self, fingerprint: Fingerprint) -> bool {
        self.crash_guard.note_completed(fingerprint)
    }

    /// Whether a request may run again after an attempt that ended in `kind`; see
    /// [`CrashGuard::allows_retry`].
    #[must_use]
    pub fn allows_retry(&self, fingerprint: Fingerprint, kind: FailureKind) -> bool {
        self.crash_guard.allows_retry(fingerprint, kind)
    }

    /// Whether a request must not run again.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crash_guard.is_quarantined(fingerprint)
    }

    /// Adds crash records of another VM or of the store; returns the fingerprints for which they name
    /// new crashes.
    pub fn merge_crash_records(
        &mut self,
        now: Timestamp,
        records: &[CrashRecord],
    ) -> Vec<Fingerprint> {
        let mut learned = Vec::new();
        for record in records {
            if self.crash_guard.merge(now, record) {
                learned.push(record.fingerprint);
            }
        }
        learned
    }

    /// Latest crash records, to be sent to other VMs.
    #[must_use]
    pub fn recent_crash_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        self.crash_guard.recent_records(now)
    }

    /// Records of all quarantined requests.
    #[must_use]
    pub fn quarantined_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        self.crash_guard.quarantined_records(now)
    }
}
