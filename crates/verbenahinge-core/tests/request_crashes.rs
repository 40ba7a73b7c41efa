//! Requests without a prompt that were running when servers crashed: what is sound is not refused for what
//! happened around it, and what is deadly is refused after its second crash.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{CrashGuard, OUTSIDE_CAUSE_DELAY, Suspect, SuspectScope};

const REQUEST: [Suspect; 1] = [Suspect {
    fingerprint: 7,
    scope: SuspectScope::Request,
}];

const fn at(ms: u64) -> Timestamp {
    Duration::from_millis(10_000 + ms)
}

/// Guards against a refusal of a sound request that ran at two servers that were lost together, though the next
/// servers answered it before the crashes were known.
#[test]
fn early_answers_clear_nothing() {
    let mut guard = CrashGuard::new();
    guard.note_success(at(22), at(5), &REQUEST);
    guard.note_crash(at(0), 1, &REQUEST);
    guard.note_crash(at(3), 2, &REQUEST);
    assert_eq!(guard.refusal(at(100), &REQUEST), None);
    guard.note_crash(at(3000), 3, &REQUEST);
    assert_eq!(guard.refusal(at(3001), &REQUEST), None);
}

/// Guards against a deadly request that crashes a third server, since its second attempt crashed one at once.
#[test]
fn quick_retries_count_once() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &REQUEST);
    guard.note_crash(at(20), 2, &REQUEST);
    assert!(guard.refusal(at(100), &REQUEST).is_some());
}

/// Guards against an answer that was under way when the server crashed and that clears a deadly request.
#[test]
fn answers_under_way_clear_request() {
    let mut guard = CrashGuard::new();
    guard.note_success(at(50), at(0), &REQUEST);
    guard.note_crash(at(30), 1, &REQUEST);
    guard.note_crash(at(2000), 2, &REQUEST);
    assert!(guard.refusal(at(2100), &REQUEST).is_some());
}

/// Guards against a sound request that ran at two servers which were lost together, and that is refused for ten
/// minutes since no answer clears it.
#[test]
fn lost_together_refused() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &REQUEST);
    guard.note_crash(at(60), 2, &REQUEST);
    let refusal = |guard: &CrashGuard, now| guard.refusal(now, &REQUEST).expect("it is refused");
    let early = refusal(&guard, at(1060));
    assert!(!early.may_be_tried);
    assert_eq!(
        early.time_left,
        OUTSIDE_CAUSE_DELAY.saturating_sub(Duration::from_secs(1))
    );
    let due = at(60) + OUTSIDE_CAUSE_DELAY;
    assert!(refusal(&guard, due).may_be_tried);
    let mut cleared = guard.clone();
    cleared.note_success(due + Duration::from_millis(20), due, &REQUEST);
    assert_eq!(
        cleared.refusal(due + Duration::from_millis(30), &REQUEST),
        None
    );
    // A deadly request crashes the server of its trial and is refused for good.
    guard.note_crash(due + Duration::from_millis(20), 3, &REQUEST);
    let later = due + OUTSIDE_CAUSE_DELAY * 2;
    assert!(!refusal(&guard, later).may_be_tried);
    assert!(refusal(&guard, later).time_left > Duration::from_mins(9));
}

/// Guards against a trial of a request that crashed servers at two moments.
#[test]
fn separate_crashes_are_tried() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &REQUEST);
    guard.note_crash(at(500), 2, &REQUEST);
    let now = at(500) + OUTSIDE_CAUSE_DELAY * 2;
    let refusal = guard.refusal(now, &REQUEST).expect("it is refused");
    assert!(!refusal.may_be_tried);
}
