//! Trials of blamed parts that were sound before the crashes.
//!
//! Load pattern: several deadly parts of one account, few requests of which come, crash one engine each. The
//! account's first part is at all of these crashes and is blamed in their place. Once it is refused, no
//! request with it can clear it. See `docs/design/deadly-parts.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Suspect;
use super::crash_blame::{SETTLE_TIME, count_moments};
use super::crash_evidence::{CrashEvidence, OpenCrash};
use crate::hash::mix64;
use crate::{Fingerprint, Timestamp};

/// One in this many requests is a trial at first.
const FIRST_TRIAL_DIVISOR: u64 = 64;

/// Number of times for which the share of trials doubles: one in two requests is a trial in the end.
const TRIAL_DOUBLINGS: u32 = 5;

/// Time after which the share of trials doubles at first: about that from the start of a request to the news
/// of its crash, so that few further trials run when the first one fails, however popular the part is.
const DOUBLING_TIME: Duration = Duration::from_millis(800);

/// Moments with crashes after the refusal began from which no more trials run.
const MAX_FAILED_TRIALS: usize = 3;

/// Trials of one blamed part, whose share of the requests with it grows over time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    begins_at: Timestamp,
    doubling_time: Duration,
}

impl Trial {
    /// Trials of a blamed part that is refused from a time on, if there are to be any.
    ///
    /// The part must have been sound before or between its crashes, and each of these must have another
    /// explanation: a part further back, with which no request has succeeded. Each crash after the refusal
    /// began makes the part more likely to be the cause.
    pub(super) fn of_part(
        evidence: &CrashEvidence,
        part: Fingerprint,
        refused_from: Timestamp,
    ) -> Option<Self> {
        let record = evidence.get(part)?;
        let position = record.scope.position()?;
        if !record.has_refuted() && !evidence.is_sound(part) {
            return None;
        }
        let open = evidence.open_crashes(record);
        if !has_rivals(evidence, position, &open) {
            return None;
        }
        let times = open.iter().map(|crash| crash.at);
        let failed = count_moments(times.filter(|&at| at > refused_from));
        if failed >= MAX_FAILED_TRIALS {
            return None;
        }
        let latest = open.last().map_or(Duration::ZERO, |last| last.at);
        Some(Self {
            begins_at: refused_from.max(latest + SETTLE_TIME),
            doubling_time: DOUBLING_TIME * 2_u32.pow(u32::try_from(failed).unwrap_or(0)),
        })
    }

    /// Whether a request with the part may run as a trial: it holds nothing else, further back, that was
    /// running at a crash.
    pub(super) fn includes(
        &self,
        now: Timestamp,
        part: Suspect,
        suspects: &[Suspect],
        evidence: &CrashEvidence,
    ) -> bool {
        if now < self.begins_at {
            return false;
        }
        let request = suspects.first().map_or(0, |request| request.fingerprint);
        let divisor = FIRST_TRIAL_DIVISOR >> self.doublings(now);
        if !mix64(part.fingerprint, request).is_multiple_of(divisor) {
            return false;
        }
        let position = part.scope.position();
        let is_behind = |at: u16| position.is_some_and(|position| at > position);
        let others = suspects.iter();
        let mut behind = others.filter(|other| other.scope.position().is_none_or(is_behind));
        behind.all(|other| {
            let record = evidence.get(other.fingerprint);
            record.is_none_or(|record| record.open_count() == 0)
        })
    }

    /// Time until the share of trials grows no more, by when the part is cleared if it is asked for and sound.
    pub(super) fn time_left(&self, now: Timestamp) -> Duration {
        let full_at = self.begins_at + self.doubling_time * TRIAL_DOUBLINGS;
        full_at.saturating_sub(now).max(self.doubling_time)
    }

    fn doublings(&self, now: Timestamp) -> u32 {
        let elapsed = now.saturating_sub(self.begins_at);
        let doublings = elapsed.as_millis() / self.doubling_time.as_millis();
        u32::try_from(doublings).map_or(TRIAL_DOUBLINGS, |doublings| doublings.min(TRIAL_DOUBLINGS))
    }
}

/// Trials of blamed parts, by the time from which each part is refused.
pub(super) fn find_trials(
    evidence: &CrashEvidence,
    blamed: &BTreeMap<Fingerprint, Timestamp>,
) -> BTreeMap<Fingerprint, Trial> {
    let mut trials = BTreeMap::new();
    for (&part, &refused_from) in blamed {
        if let Some(trial) = Trial::of_part(evidence, part, refused_from) {
            trials.insert(part, trial);
        }
    }
    trials
}

/// Whether each of some crashes has a suspect part further back than a position, with which no request has
/// succeeded.
fn has_rivals(evidence: &CrashEvidence, position: u16, crashes: &[OpenCrash]) -> bool {
    let mut unexplained: BTreeSet<_> = crashes.iter().map(|crash| crash.id).collect();
    for (fingerprint, record) in evidence.iter() {
        if unexplained.is_empty() {
            break;
        }
        let is_behind = record.scope.position().is_some_and(|at| at > position);
        if !is_behind || evidence.is_sound(fingerprint) {
            continue;
        }
        unexplained.retain(|&crash| !record.is_open(crash));
    }
    unexplained.is_empty()
}
