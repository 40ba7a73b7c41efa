//! Crashes of backend servers: what this VM and others have seen, and what follows for a request.

use super::GatewayState;
use crate::gateway::{CrashGuard, CrashRecord, CrashRefusal, LostRun, Suspect};
use crate::hash::{hash64, mix64};
use crate::{CrashId, Fingerprint, Timestamp};

impl GatewayState {
    /// Identifies the crash that ends the present run of a server, if it ends in one.
    #[must_use]
    pub fn crash_id(&self, server: &str) -> CrashId {
        let started = self
            .registry
            .get(server)
            .and_then(|entry| entry.started_unix_ms);
        // Without a reported start time, all crashes of a server name count as one.
        mix64(hash64(server.as_bytes()), started.unwrap_or(0))
    }

    /// Records the runs that broke off when a server crashed; returns whether that was new for one of their
    /// suspects.
    pub fn note_crash(&mut self, at: Timestamp, crash: CrashId, runs: &[LostRun]) -> bool {
        self.crash_guard.note_crash(at, crash, runs)
    }

    /// Records that a request with these suspects, sent to its server at `sent_at`, has begun its response or
    /// ended well; returns the suspects that this clears of a crash.
    pub fn note_success(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        suspects: &[Suspect],
    ) -> Vec<Fingerprint> {
        self.crash_guard.note_success(now, sent_at, suspects)
    }

    /// Suspects and those of them that are blamed.
    #[must_use]
    pub const fn crash_guard(&self) -> &CrashGuard {
        &self.crash_guard
    }

    /// Returns why a request with these suspects must not run, if so.
    #[must_use]
    pub fn crash_refusal(&self, now: Timestamp, suspects: &[Suspect]) -> Option<CrashRefusal> {
        self.crash_guard.refusal(now, suspects)
    }

    /// Whether a request, or a part of a prompt, is blamed for crashes.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crash_guard.is_blamed(fingerprint)
    }

    /// Adds crash records of another VM or of the store; returns the fingerprints for which they name
    /// new crashes.
    pub fn merge_crash_records(
        &mut self,
        now: Timestamp,
        records: &[CrashRecord],
    ) -> Vec<Fingerprint> {
        self.crash_guard.merge(now, records)
    }

    /// Takes the crash records of what this VM has found and not told yet.
    pub fn take_crash_news(&mut self, now: Timestamp) -> Vec<CrashRecord> {
        self.crash_guard.take_news(now)
    }
}
