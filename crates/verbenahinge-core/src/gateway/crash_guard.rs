//! Prevents requests that crash backend servers from running again on any VM.
//!
//! Such a request crashes every server that starts it, and its caller resends it through any VM. The
//! cause may be a part of its prompt, which other requests share. See `docs/design/crash-records.md`
//! and `docs/design/deadly-parts.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash_blame::{count_crashes, find_blamed};
use super::crash_evidence::CrashEvidence;
use super::crash_trial::{Trial, find_trials};
use super::{CrashRecord, CrashRefusal, LostRun, Suspect, SuspectScope};
use crate::hash::mix64;
use crate::quarantine::{QUARANTINE_CRASHES, RECORD_TTL};
use crate::{CrashId, FailureKind, Fingerprint, Timestamp};

/// Maximum number of crash records in one digest.
const MAX_CRASH_RECORDS: usize = 16;

/// Records of suspects without blame that have a place in each digest.
const RESERVED_SUSPECTS: usize = 4;

/// Maximum number of records that are told at once after a crash, in several datagrams.
const MAX_NEWS: usize = 320;

/// One in this many requests runs with a part whose refusal has ended, until one succeeds or crashes.
const TRIAL_SHARE: u64 = 64;

/// Time for which a crash record is included in digests after its last update.
const CRASH_RECORD_MAX_AGE: Duration = Duration::from_secs(20);

/// Time after which digests with more blamed records than fit hold the next ones: that between two
/// full digests.
const DIGEST_TURN: Duration = Duration::from_millis(500);

/// Suspects of crashes of backend servers, and those that are blamed.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    evidence: CrashEvidence,
    /// Blamed suspects, with the time from which each is refused.
    blamed: BTreeMap<Fingerprint, Timestamp>,
    /// Trials of blamed parts that were sound before.
    trials: BTreeMap<Fingerprint, Trial>,
    /// Suspects whose crashes this VM has found and not told yet.
    news: BTreeSet<Fingerprint>,
}

impl CrashGuard {
    /// Creates a guard without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the runs that broke off when a backend server crashed; returns whether that was new for one
    /// of their suspects.
    pub fn note_crash(&mut self, at: Timestamp, crash: CrashId, runs: &[LostRun]) -> bool {
        let mut has_new = false;
        for run in runs {
            for &suspect in &run.suspects {
                let is_new_crash = self.evidence.add_crash(at, crash, suspect);
                let is_later_run = self.evidence.add_run(run.sent_at, crash, suspect);
                if is_new_crash || is_later_run {
                    self.news.insert(suspect.fingerprint);
                    has_new = true;
                }
            }
        }
        if has_new {
            self.update_blame();
        }
        has_new
    }

    /// Records that a request with these suspects, sent to its server at `sent_at`, has begun its response or
    /// ended well; returns the suspects that this clears of a crash and that were close to a refusal.
    pub fn note_success(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        suspects: &[Suspect],
    ) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        let mut has_cleared = false;
        for &suspect in suspects {
            if !self.evidence.add_success(now, sent_at, suspect) {
                continue;
            }
            has_cleared = true;
            let is_close = suspect.scope == SuspectScope::Request;
            if is_close || self.evidence.is_close_to_blame(suspect.fingerprint) {
                cleared.push(suspect.fingerprint);
            }
        }
        if has_cleared {
            self.update_blame();
        }
        cleared
    }

    /// Adds records of other VMs or of the store; returns the suspects for which they name crashes
    /// that were not known.
    pub fn merge(&mut self, now: Timestamp, records: &[CrashRecord]) -> Vec<Fingerprint> {
        let mut learned = Vec::new();
        let mut has_changed = false;
        for record in records {
            let (has_new_crash, is_changed) = self.evidence.merge(now, record);
            has_changed |= is_changed;
            if has_new_crash {
                learned.push(record.fingerprint);
            }
        }
        if has_changed {
            self.update_blame();
        }
        learned
    }

    /// Whether a suspect was running at a crash of which nothing has cleared it.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        let record = self.evidence.get(fingerprint);
        record.is_some_and(|record| record.open_count() > 0)
    }

    /// Whether a suspect is blamed, be it refused already or only after a while.
    #[must_use]
    pub fn is_blamed(&self, fingerprint: Fingerprint) -> bool {
        self.blamed.contains_key(&fingerprint)
    }

    /// Blamed suspects, with the time from which each is refused.
    #[must_use]
    pub const fn blamed(&self) -> &BTreeMap<Fingerprint, Timestamp> {
        &self.blamed
    }

    /// Returns why a request with these suspects must not run, if so: the suspect that is refused for good,
    /// if there is one, before one that is still tried.
    #[must_use]
    pub fn refusal(&self, now: Timestamp, suspects: &[Suspect]) -> Option<CrashRefusal> {
        let mut refusal = None;
        for &suspect in suspects {
            let Some(record) = self.evidence.get(suspect.fingerprint) else {
                continue;
            };
            let refused_from = self.blamed.get(&suspect.fingerprint);
            let refused_until = if refused_from.is_some_and(|&at| at <= now) {
                if let Some(trial) = self.trials.get(&suspect.fingerprint) {
                    if trial.includes(now, suspect, suspects, &self.evidence) {
                        continue;
                    }
                    let time_left = trial.time_left(now);
                    refusal = refusal.or(Some(CrashRefusal { suspect, time_left }));
                    continue;
                }
                let open = self.evidence.open_crashes(record);
                open.last().map_or(Duration::ZERO, |last| last.at) + RECORD_TTL
            } else if record.is_on_trial() && !is_trial(suspect, suspects) {
                record.updated_at() + RECORD_TTL
            } else {
                continue;
            };
            return Some(CrashRefusal {
                suspect,
                time_left: refused_until.saturating_sub(now),
            });
        }
        refusal
    }

    /// Returns whether a request with these suspects may run again after an attempt that ended in
    /// `kind`.
    ///
    /// A request without a prompt that has crashed a server before, and whose connection breaks again,
    /// may just have crashed the second one. That shows only after a while, so it does not get a third
    /// one. A prompt whose connection broke must not hold what was running at two crashes.
    #[must_use]
    pub fn allows_retry(&self, suspects: &[Suspect], kind: FailureKind) -> bool {
        suspects.iter().all(|suspect| {
            let Some(record) = self.evidence.get(suspect.fingerprint) else {
                return true;
            };
            let open = self.evidence.open_crashes(record);
            let is_lost = kind == FailureKind::ConnectionLost;
            match suspect.scope {
                SuspectScope::Request if is_lost => open.is_empty(),
                SuspectScope::Request => count_crashes(suspect.scope, &open) < QUARANTINE_CRASHES,
                SuspectScope::Stream
                | SuspectScope::Prompt
                | SuspectScope::Part { .. }
                | SuspectScope::PartOfAnyModel { .. } => {
                    !is_lost || count_crashes(suspect.scope, &open) < QUARANTINE_CRASHES
                }
            }
        })
    }

    /// Records for a digest: the blamed ones first, by turns if there are too many, then the newest.
    #[must_use]
    pub fn recent_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        let since = now.saturating_sub(CRASH_RECORD_MAX_AGE);
        let mut blamed = Vec::new();
        let mut others = Vec::new();
        for (fingerprint, record) in self.evidence.iter() {
            if record.updated_at() < since {
                continue;
            }
            if self.is_blamed(fingerprint) {
                blamed.push(fingerprint);
            } else {
                // A stream is rarely the cause of a crash.
                let is_stream = record.scope == SuspectScope::Stream;
                others.push((is_stream, Reverse(record.updated_at()), fingerprint));
            }
        }
        others.sort_unstable();
        let reserved = others.len().min(RESERVED_SUSPECTS);
        let blamed_count = blamed.len().min(MAX_CRASH_RECORDS - reserved);
        if blamed_count < blamed.len() {
            let turn = now.as_millis() / DIGEST_TURN.as_millis() * blamed_count as u128;
            let start = turn % blamed.len() as u128;
            blamed.rotate_left(usize::try_from(start).unwrap_or(0));
        }
        let blamed = blamed.into_iter().take(blamed_count);
        let others = others.into_iter().map(|(_, _, fingerprint)| fingerprint);
        self.records(
            now,
            blamed.chain(others.take(MAX_CRASH_RECORDS - blamed_count)),
        )
    }

    /// Records of what this VM has found since it was last asked: all suspects of new crashes, the
    /// blamed ones first, and those that it has cleared.
    pub fn take_news(&mut self, now: Timestamp) -> Vec<CrashRecord> {
        let mut news = std::mem::take(&mut self.news);
        news.extend(self.evidence.untold());
        let mut order: Vec<_> = news.into_iter().collect();
        order.sort_by_key(|&fingerprint| !self.is_blamed(fingerprint));
        order.truncate(MAX_NEWS);
        for &fingerprint in &order {
            self.evidence.mark_told(fingerprint);
        }
        self.records(now, order)
    }

    /// Whether this VM has cleared suspects that others may take for the cause of crashes.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        !self.evidence.untold().is_empty()
    }

    /// Records of all refused suspects, to be kept in the store and sent to VMs that start.
    #[must_use]
    pub fn refused_records(&self, now: Timestamp) -> Vec<CrashRecord> {
        let refused = self.blamed.iter().filter(|&(_, &from)| from <= now);
        self.records(now, refused.map(|(&fingerprint, _)| fingerprint))
    }

    /// Requests that a suspect stands for, if it is on record.
    #[must_use]
    pub fn scope(&self, fingerprint: Fingerprint) -> Option<SuspectScope> {
        self.evidence.get(fingerprint).map(|record| record.scope)
    }

    /// Whether successes have cleared a suspect of so many crashes that it cannot be blamed.
    #[must_use]
    pub fn is_cleared(&self, fingerprint: Fingerprint) -> bool {
        self.evidence
            .get(fingerprint)
            .is_some_and(|record| record.has_refuted() && record.open_count() < QUARANTINE_CRASHES)
    }

    /// Removes old records.
    pub fn expire(&mut self, now: Timestamp) {
        let blamed = &self.blamed;
        let has_changed = self
            .evidence
            .expire(now, |fingerprint| blamed.contains_key(&fingerprint));
        if has_changed {
            self.update_blame();
        }
    }

    fn records(
        &self,
        now: Timestamp,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<CrashRecord> {
        let mut records = Vec::new();
        for fingerprint in fingerprints {
            records.extend(self.evidence.record(now, fingerprint));
        }
        records
    }

    fn update_blame(&mut self) {
        self.blamed = find_blamed(&self.evidence);
        self.trials = find_trials(&self.evidence, &self.blamed);
        let blamed = &self.blamed;
        self.evidence
            .evict(|fingerprint| blamed.contains_key(&fingerprint));
    }
}

/// Whether a request is one of those that try a part whose refusal has ended.
fn is_trial(part: Suspect, suspects: &[Suspect]) -> bool {
    let request = suspects.first().map_or(0, |request| request.fingerprint);
    mix64(part.fingerprint, request).is_multiple_of(TRIAL_SHARE)
}
