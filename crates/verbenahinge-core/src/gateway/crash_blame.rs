//! Which suspects explain the crashes of backend servers.
//!
//! A crash names all that was running at the server: the cause, what shares its prompt, and its
//! neighbors. The cause has most crashes in common. It is blamed first; its crashes are then explained
//! and count against nobody else. Streams that had begun come last.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash_evidence::{CrashEvidence, OpenCrash};
use super::{CrashOrder, SuspectScope};
use crate::quarantine::QUARANTINE_CRASHES;
use crate::{CrashId, Fingerprint, Timestamp};

/// Time in which several crashes count as one: servers that are lost together have an outside cause.
pub(super) const MOMENT: Duration = Duration::from_millis(100);

/// Time from the second crash of a prompt part until it is refused, in which other servers may refute
/// the suspicion.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Suspect with the crashes that nothing refutes.
struct Candidate {
    fingerprint: Fingerprint,
    scope: SuspectScope,
    open_crashes: Vec<OpenCrash>,
}

impl Candidate {
    /// Number of crashes that no cause explains yet.
    fn unexplained_count(&self, explained: &BTreeSet<CrashId>) -> usize {
        let open = self.open_crashes.iter();
        count_crashes(
            self.scope,
            open.filter(|crash| !explained.contains(&crash.id)),
        )
    }
}

/// Number of crashes of one suspect that nothing refutes, earliest first, of which those with one outside cause
/// count once.
///
/// A suspect that is retried at once may crash two servers at one moment by itself, so that its crashes have an
/// outside cause only if the later run was under way at the earlier crash.
pub(super) fn count_crashes<'a>(
    scope: SuspectScope,
    crashes: impl IntoIterator<Item = &'a OpenCrash>,
) -> usize {
    let crashes = crashes.into_iter();
    if !scope.is_retried_at_once() {
        return count_moments(crashes.map(|crash| crash.at));
    }
    let mut count = 0;
    let mut moment: Option<Timestamp> = None;
    for crash in crashes {
        let is_at_moment = moment.is_some_and(|moment| crash.at <= moment + MOMENT);
        if is_at_moment && crash.order == CrashOrder::Concurrent {
            continue;
        }
        count += 1;
        moment = Some(crash.at);
    }
    count
}

/// Number of crashes, of which those at one moment count once.
pub(super) fn count_moments(crashes: impl IntoIterator<Item = Timestamp>) -> usize {
    let mut count = 0;
    let mut moment: Option<Timestamp> = None;
    for at in crashes {
        if moment.is_none_or(|moment| at > moment + MOMENT) {
            count += 1;
            moment = Some(at);
        }
    }
    count
}

/// Returns the blamed suspects, with the time from which each is refused.
pub(super) fn find_blamed(evidence: &CrashEvidence) -> BTreeMap<Fingerprint, Timestamp> {
    let mut blamed = BTreeMap::new();
    let mut candidates = Vec::new();
    for (fingerprint, record) in evidence.iter() {
        if record.open_count() < QUARANTINE_CRASHES {
            continue;
        }
        let open_crashes = evidence.open_crashes(record);
        let scope = record.scope;
        if scope == SuspectScope::Request {
            if count_crashes(scope, &open_crashes) >= QUARANTINE_CRASHES {
                blamed.insert(fingerprint, Duration::ZERO);
            }
            continue;
        }
        candidates.push(Candidate {
            fingerprint,
            scope,
            open_crashes,
        });
    }
    let mut explained = BTreeSet::new();
    while let Some(cause) = next_cause(&mut candidates, &explained) {
        blamed.insert(cause.fingerprint, refused_from(&cause));
        explained.extend(cause.open_crashes.into_iter().map(|crash| crash.id));
    }
    blamed
}

/// Takes out the candidate with most unexplained crashes, and drops those that are explained.
///
/// Of several, the most specific one costs the fewest innocent requests.
fn next_cause(candidates: &mut Vec<Candidate>, explained: &BTreeSet<CrashId>) -> Option<Candidate> {
    candidates.retain(|candidate| candidate.unexplained_count(explained) >= QUARANTINE_CRASHES);
    let rank = |candidate: &Candidate| {
        let is_waiting = candidate.scope != SuspectScope::Stream;
        let count = candidate.unexplained_count(explained);
        (is_waiting, count, candidate.scope, candidate.fingerprint)
    };
    let (index, _) = candidates
        .iter()
        .enumerate()
        .max_by_key(|(_, candidate)| rank(candidate))?;
    Some(candidates.swap_remove(index))
}

/// Time from which a blamed candidate is refused.
fn refused_from(cause: &Candidate) -> Timestamp {
    if !cause.scope.is_part() {
        return Duration::ZERO;
    }
    let first = cause
        .open_crashes
        .first()
        .map_or(Duration::ZERO, |first| first.at);
    let mut open = cause.open_crashes.iter();
    let second = open.find(|crash| crash.at > first + MOMENT);
    second.map_or(first, |second| second.at) + SETTLE_TIME
}
