//! Crashes of backend servers by suspect, and the successes that refute them.
//!
//! Two sets a suspect only ever grow: the crashes at which it was running, and those of them that a
//! later success refutes. VMs exchange both, so that the order of messages does not matter and an
//! older message brings nothing back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash_blame::MOMENT;
use super::sound_parts::SoundParts;
use super::{CrashOrder, CrashRecord, Suspect, SuspectScope};
use crate::quarantine::RECORD_TTL;
use crate::{CrashId, Fingerprint, Timestamp};

/// Maximum number of records; beyond it, the least recently updated ones without blame are evicted.
const MAX_RECORDS: usize = 4096;

/// Records that are evicted at once, so that a full table is not searched for each new record.
const EVICTION_BATCH: usize = 256;

/// Maximum number of crashes of one record; beyond it, the oldest are dropped.
const MAX_CRASHES: usize = 32;

/// Maximum number of crashes of a record that are told to other VMs, and as many refuted ones.
const MAX_TOLD_CRASHES: usize = 6;

/// Time by which the success of a request that was sent before a crash must be later than the crash to refute it:
/// the response may have been under way when the server crashed.
const REFUTE_MARGIN: Duration = Duration::from_millis(50);

/// Time for which successes are remembered, since a crash is heard of later than it happens.
const SUCCESS_MEMORY: Duration = Duration::from_secs(2);

/// Maximum number of remembered successes.
const MAX_SUCCESSES: usize = 8192;

/// What is known of one suspect.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub(super) scope: SuspectScope,
    crashes: BTreeSet<CrashId>,
    refuted: BTreeSet<CrashId>,
    /// Runs that the crashes broke off, as far as known.
    runs: BTreeMap<CrashId, BrokenRun>,
    /// Refutations of this VM that no other VM has told yet.
    untold: BTreeSet<CrashId>,
    updated_at: Timestamp,
    /// Whether the suspect was blamed before, so that a single crash is left of its record.
    is_on_probation: bool,
}

/// What is known of the run of a suspect that a crash broke off.
#[derive(Clone, Copy, Debug, Default)]
struct BrokenRun {
    /// Latest time at which this VM sent the suspect to the server that crashed.
    sent_at: Option<Timestamp>,
    told_order: CrashOrder,
}

/// Crash of a suspect that nothing refutes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OpenCrash {
    pub(super) at: Timestamp,
    pub(super) id: CrashId,
    pub(super) order: CrashOrder,
}

/// Success of a suspect.
#[derive(Clone, Copy, Debug, Default)]
struct Success {
    at: Timestamp,
    /// Time at which the request was sent to the server that answered.
    sent_at: Timestamp,
}

impl Success {
    /// Whether the success shows that the suspect has not caused a crash.
    fn refutes(self, crashed_at: Timestamp) -> bool {
        self.sent_at > crashed_at || self.at > crashed_at + REFUTE_MARGIN
    }
}

/// Crashes of backend servers by suspect, and the successes that refute them.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    records: BTreeMap<Fingerprint, Evidence>,
    /// When each crash happened, as far as known.
    crashed_at: BTreeMap<CrashId, Timestamp>,
    /// Latest success of each suspect within the last moments.
    successes: BTreeMap<Fingerprint, Success>,
    /// Parts with which requests have succeeded.
    sound_parts: SoundParts,
}

impl CrashEvidence {
    /// Adds a crash at which a suspect was running; returns whether that was new.
    pub(super) fn add_crash(&mut self, at: Timestamp, crash: CrashId, suspect: Suspect) -> bool {
        let crashed_at = self.crashed_at.entry(crash).or_insert(at);
        // Messages take time, so that the earliest report is the closest one.
        *crashed_at = at.min(*crashed_at);
        let crashed_at = *crashed_at;
        let record = self.records.entry(suspect.fingerprint).or_insert(Evidence {
            scope: suspect.scope,
            crashes: BTreeSet::new(),
            refuted: BTreeSet::new(),
            runs: BTreeMap::new(),
            untold: BTreeSet::new(),
            updated_at: Duration::ZERO,
            is_on_probation: false,
        });
        record.scope = record.scope.max(suspect.scope);
        if record.crashes.contains(&crash) || !record.has_room(crashed_at, &self.crashed_at) {
            return false;
        }
        record.crashes.insert(crash);
        record.updated_at = record.updated_at.max(at);
        let success = self.successes.get(&suspect.fingerprint);
        if success.is_some_and(|success| success.refutes(crashed_at)) {
            record.refuted.insert(crash);
            record.untold.insert(crash);
        }
        true
    }

    /// Adds when this VM sent a suspect to a server that crashed; returns whether that may change the order of
    /// the crash.
    pub(super) fn add_run(&mut self, sent_at: Timestamp, crash: CrashId, suspect: Suspect) -> bool {
        let Some(record) = self.records.get_mut(&suspect.fingerprint) else {
            return false;
        };
        if !suspect.scope.is_retried_at_once() || !record.crashes.contains(&crash) {
            return false;
        }
        let run = record.runs.entry(crash).or_default();
        let is_later = run.sent_at < Some(sent_at);
        run.sent_at = run.sent_at.max(Some(sent_at));
        is_later
    }

    /// Adds the order of a crash that another VM has told; returns whether that was new.
    fn add_order(&mut self, fingerprint: Fingerprint, crash: CrashId, order: CrashOrder) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        if !record.crashes.contains(&crash) {
            return false;
        }
        let run = record.runs.entry(crash).or_default();
        let is_new = run.told_order < order;
        run.told_order = run.told_order.max(order);
        is_new
    }

    /// Records a success of a request with a suspect that was sent to its server at `sent_at`; returns whether
    /// it refutes a crash.
    pub(super) fn add_success(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        suspect: Suspect,
    ) -> bool {
        let success = Success { at: now, sent_at };
        if self.successes.len() < MAX_SUCCESSES || self.successes.contains_key(&suspect.fingerprint)
        {
            let latest = self.successes.entry(suspect.fingerprint).or_default();
            latest.at = latest.at.max(now);
            latest.sent_at = latest.sent_at.max(sent_at);
        }
        if suspect.scope.is_part() {
            self.sound_parts.insert(suspect.fingerprint);
        }
        let Some(record) = self.records.get_mut(&suspect.fingerprint) else {
            return false;
        };
        let mut refuted = Vec::new();
        for &crash in record.crashes.difference(&record.refuted) {
            let crashed_at = self.crashed_at.get(&crash).copied().unwrap_or_default();
            if success.refutes(crashed_at) {
                refuted.push(crash);
            }
        }
        if refuted.is_empty() {
            return false;
        }
        record.refuted.extend(refuted.iter().copied());
        record.untold.extend(refuted);
        record.updated_at = record.updated_at.max(now);
        true
    }

    /// Adds a record of another VM or of the store; returns whether it names a crash that was not
    /// known, and whether it changes what is known at all.
    pub(super) fn merge(&mut self, now: Timestamp, told: &CrashRecord) -> (bool, bool) {
        let mut has_new_crash = false;
        for (&crash, &age) in &told.crashes {
            has_new_crash |= self.add_crash(now.saturating_sub(age), crash, told.suspect());
        }
        let mut has_new_order = false;
        for (&crash, &order) in &told.orders {
            has_new_order |= self.add_order(told.fingerprint, crash, order);
        }
        let mut has_new_refutation = false;
        if let Some(record) = self.records.get_mut(&told.fingerprint) {
            for &crash in &told.refuted {
                record.untold.remove(&crash);
                if record.crashes.contains(&crash) && record.refuted.insert(crash) {
                    has_new_refutation = true;
                    let told_at = now.saturating_sub(told.age);
                    record.updated_at = record.updated_at.max(told_at);
                }
            }
        }
        (
            has_new_crash,
            has_new_crash || has_new_order || has_new_refutation,
        )
    }

    /// What is known of a suspect.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<&Evidence> {
        self.records.get(&fingerprint)
    }

    /// Whether a request with a part has succeeded lately, as far as this VM has seen.
    pub(super) fn is_sound(&self, part: Fingerprint) -> bool {
        self.sound_parts.contains(part)
    }

    /// All suspects with what is known of them.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Evidence)> {
        self.records.iter().map(|(&key, record)| (key, record))
    }

    /// Crashes of a suspect that nothing refutes, earliest first.
    pub(super) fn open_crashes(&self, record: &Evidence) -> Vec<OpenCrash> {
        let mut open = Vec::new();
        for &id in record.crashes.difference(&record.refuted) {
            open.push(OpenCrash {
                at: self.time_of(id),
                id,
                order: CrashOrder::Unknown,
            });
        }
        open.sort_unstable();
        for index in 0..open.len() {
            let Some(run) = record.runs.get(&open[index].id) else {
                continue;
            };
            open[index].order = run.order_after(&open[..index], open[index].at);
        }
        open
    }

    /// Suspects that this VM has refuted and that others may take for the cause, since they were
    /// running at several crashes or blamed before.
    pub(super) fn untold(&self) -> Vec<Fingerprint> {
        let mut untold = Vec::new();
        for (&fingerprint, record) in &self.records {
            if !record.untold.is_empty() && record.is_close_to_blame() {
                untold.push(fingerprint);
            }
        }
        untold
    }

    /// Whether a suspect is blamed, or would be but for what clears it.
    pub(super) fn is_close_to_blame(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(Evidence::is_close_to_blame)
    }

    /// Notes that the refutations of a suspect have been told.
    pub(super) fn mark_told(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.untold.clear();
        }
    }

    /// Record of a suspect for other VMs.
    pub(super) fn record(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<CrashRecord> {
        let record = self.records.get(&fingerprint)?;
        let mut told: Vec<_> = self.open_crashes(record);
        told.drain(..told.len().saturating_sub(MAX_TOLD_CRASHES));
        let mut refuted: Vec<_> = record
            .refuted
            .iter()
            .map(|&crash| (self.time_of(crash), crash))
            .collect();
        refuted.sort_unstable();
        refuted.drain(..refuted.len().saturating_sub(MAX_TOLD_CRASHES));
        let mut crashes = BTreeMap::new();
        let mut orders = BTreeMap::new();
        for crash in told {
            crashes.insert(crash.id, now.saturating_sub(crash.at));
            if crash.order != CrashOrder::Unknown {
                orders.insert(crash.id, crash.order);
            }
        }
        for &(at, crash) in &refuted {
            crashes.insert(crash, now.saturating_sub(at));
        }
        Some(CrashRecord {
            fingerprint,
            scope: record.scope,
            crashes,
            orders,
            refuted: refuted.into_iter().map(|(_, crash)| crash).collect(),
            age: now.saturating_sub(record.updated_at),
        })
    }

    /// Removes expired records; returns whether one was removed or changed.
    ///
    /// Of a record with blame, a single crash stays for as long again, so that one more is enough.
    pub(super) fn expire(
        &mut self,
        now: Timestamp,
        is_blamed: impl Fn(Fingerprint) -> bool,
    ) -> bool {
        self.successes
            .retain(|_, success| success.at + SUCCESS_MEMORY > now);
        let mut has_changed = false;
        let crashed_at = &self.crashed_at;
        self.records.retain(|&fingerprint, record| {
            if record.updated_at + RECORD_TTL > now {
                return true;
            }
            has_changed = true;
            if record.is_on_probation || !is_blamed(fingerprint) {
                return false;
            }
            record.begin_probation(now, crashed_at);
            true
        });
        if has_changed {
            self.forget_crashes();
        }
        has_changed
    }

    /// Evicts the least recently updated records without blame if there are too many.
    pub(super) fn evict(&mut self, is_blamed: impl Fn(Fingerprint) -> bool) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(&key, record)| (is_blamed(key), record.updated_at, key))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(EVICTION_BATCH) {
            self.records.remove(&fingerprint);
        }
        self.forget_crashes();
    }

    /// Forgets the times of crashes that no record names.
    fn forget_crashes(&mut self) {
        let mut named = BTreeSet::new();
        for record in self.records.values() {
            named.extend(record.crashes.iter().copied());
        }
        self.crashed_at.retain(|crash, _| named.contains(crash));
    }

    fn time_of(&self, crash: CrashId) -> Timestamp {
        self.crashed_at.get(&crash).copied().unwrap_or_default()
    }
}

impl BrokenRun {
    /// Order of the run and the crashes before the one that broke it off.
    ///
    /// A run that was sent after a crash long before says nothing of the crashes at one moment with its own,
    /// so that only these are compared.
    fn order_after(self, earlier: &[OpenCrash], crashed_at: Timestamp) -> CrashOrder {
        let Some(sent_at) = self.sent_at else {
            return self.told_order;
        };
        let follows = earlier
            .iter()
            .any(|crash| crash.at <= sent_at && crashed_at <= crash.at + MOMENT);
        let order = if follows {
            CrashOrder::Successive
        } else {
            CrashOrder::Concurrent
        };
        order.max(self.told_order)
    }
}

impl Evidence {
    fn is_close_to_blame(&self) -> bool {
        self.crashes.len() > 1 || self.is_on_probation
    }

    /// Whether the suspect is a part whose refusal has ended, and that nothing has cleared since.
    pub(super) fn is_on_trial(&self) -> bool {
        self.is_on_probation && self.scope.is_part() && self.open_count() > 0
    }

    /// Number of crashes that nothing refutes.
    pub(super) fn open_count(&self) -> usize {
        self.crashes.len() - self.refuted.len()
    }

    /// Whether the suspect was running at a crash of which nothing has cleared it.
    pub(super) fn is_open(&self, crash: CrashId) -> bool {
        self.crashes.contains(&crash) && !self.refuted.contains(&crash)
    }

    /// Whether a success has cleared the suspect of a crash.
    pub(super) fn has_refuted(&self) -> bool {
        !self.refuted.is_empty()
    }

    /// Latest news of the suspect.
    pub(super) const fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Makes room for a crash by dropping the oldest one; returns whether the crash is newer.
    fn has_room(&mut self, crashed_at: Timestamp, times: &BTreeMap<CrashId, Timestamp>) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            return true;
        }
        let time_of = |crash: &CrashId| times.get(crash).copied().unwrap_or_default();
        let Some(oldest) = self.crashes.iter().copied().min_by_key(time_of) else {
            return true;
        };
        if time_of(&oldest) >= crashed_at {
            return false;
        }
        self.crashes.remove(&oldest);
        self.runs.remove(&oldest);
        self.refuted.remove(&oldest);
        self.untold.remove(&oldest);
        true
    }

    fn begin_probation(&mut self, now: Timestamp, times: &BTreeMap<CrashId, Timestamp>) {
        let time_of = |crash: &CrashId| times.get(crash).copied().unwrap_or_default();
        let open = self.crashes.difference(&self.refuted).copied();
        let latest = open.max_by_key(time_of);
        self.crashes = latest.into_iter().collect();
        self.runs.retain(|crash, _| latest == Some(*crash));
        self.refuted.clear();
        self.untold.clear();
        self.updated_at = now;
        self.is_on_probation = true;
    }
}
