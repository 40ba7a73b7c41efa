//! Quarantine of requests that crash the backend servers which run them.
//!
//! A crash makes every request that was running on the server a suspect. A suspect runs again only
//! under a claim that one request in the fleet holds at a time, and on a server on which its VM
//! runs no other suspect, so that a second crash is attributed to the right request and quarantines
//! it. When several servers crash at about the same time, the requests are unlikely to be the cause
//! and may run again at once, but a second crash still quarantines them. See
//! `docs/design/quarantine.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::hash::mix64;
use crate::{CrashId, Fingerprint, Timestamp};

/// Number of crashes after which a fingerprint is not run again.
pub const QUARANTINE_CRASHES: usize = 2;

/// Number of crashes of different servers within [`COMMON_CAUSE_WINDOW`] from which they are
/// assumed to have a common cause other than the requests.
const COMMON_CAUSE_CRASHES: usize = 3;

/// Time window in which crashes may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);

/// Time after which a crash or a fingerprint record expires.
pub const RECORD_TTL: Duration = Duration::from_mins(10);

/// Maximum number of fingerprint records; beyond it, the least recently updated is evicted.
const MAX_RECORDS: usize = 4096;

/// Quarantine status of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No recorded crash, or only crashes with a common cause.
    Clear,
    /// It was running at one crash without a common cause.
    Suspect,
    /// It was running at [`QUARANTINE_CRASHES`] crashes or more.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct FingerprintRecord {
    crashes: BTreeSet<CrashId>,
    last_update: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct CrashState {
    seen: Timestamp,
    common_cause: bool,
}

/// Fingerprints that were running when a backend server crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, FingerprintRecord>,
    crashes: BTreeMap<CrashId, CrashState>,
}

impl Quarantine {
    /// Creates a quarantine without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a fingerprint was running at a crash that became known at `at`; returns whether
    /// this VM did not know it yet.
    pub fn record_crash(
        &mut self,
        at: Timestamp,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> bool {
        self.insert_crash(at, crash);
        let record = self.records.entry(fingerprint).or_default();
        let is_new = record.crashes.insert(crash);
        // Other VMs repeat what they know, so only a crash that was not known yet is an update.
        if is_new {
            record.last_update = record.last_update.max(at);
        }
        self.evict_oldest();
        is_new
    }

    /// Quarantines a fingerprint that another VM has marked as quarantined in the table service.
    pub fn mark_quarantined(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let record = self.records.entry(fingerprint).or_default();
        record.last_update = now;
        for crash in 0..QUARANTINE_CRASHES as u64 {
            record.crashes.insert(mix64(fingerprint, crash));
        }
        self.evict_oldest();
    }

    fn insert_crash(&mut self, now: Timestamp, crash: CrashId) {
        self.crashes.entry(crash).or_insert(CrashState {
            seen: now,
            common_cause: false,
        });
        let since = now.saturating_sub(COMMON_CAUSE_WINDOW);
        let is_recent = |state: &CrashState| state.seen >= since;
        let recent = self.crashes.values().filter(|state| is_recent(state));
        if recent.count() < COMMON_CAUSE_CRASHES {
            return;
        }
        for state in self.crashes.values_mut() {
            state.common_cause |= is_recent(state);
        }
    }

    /// Clears a fingerprint whose request ran to completion, unless it is quarantined; returns
    /// whether there was a record.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) -> bool {
        self.status(fingerprint) != QuarantineStatus::Quarantined
            && self.records.remove(&fingerprint).is_some()
    }

    /// Returns the status of a fingerprint.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        if record.crashes.len() >= QUARANTINE_CRASHES {
            return QuarantineStatus::Quarantined;
        }
        let is_common = |crash| {
            self.crashes
                .get(crash)
                .is_some_and(|state| state.common_cause)
        };
        if record.crashes.iter().all(is_common) {
            QuarantineStatus::Clear
        } else {
            QuarantineStatus::Suspect
        }
    }

    /// Returns up to `limit` records updated at or after `since`: quarantined ones first, then the
    /// most recent ones; each with its last update.
    #[must_use]
    pub fn latest(
        &self,
        since: Timestamp,
        limit: usize,
    ) -> Vec<(Fingerprint, Vec<CrashId>, Timestamp)> {
        let mut recent: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.last_update >= since)
            .collect();
        recent.sort_by_key(|(_, record)| {
            let is_quarantined = record.crashes.len() >= QUARANTINE_CRASHES;
            std::cmp::Reverse((is_quarantined, record.last_update))
        });
        recent
            .into_iter()
            .take(limit)
            .map(|(&fingerprint, record)| {
                let crashes = record.crashes.iter().copied().collect();
                (fingerprint, crashes, record.last_update)
            })
            .collect()
    }

    /// Removes expired records and crashes.
    pub fn expire(&mut self, now: Timestamp) {
        self.records
            .retain(|_, record| record.last_update + RECORD_TTL > now);
        self.crashes
            .retain(|_, state| state.seen + RECORD_TTL > now);
    }

    fn evict_oldest(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.last_update)
            .map(|(&fingerprint, _)| fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}
