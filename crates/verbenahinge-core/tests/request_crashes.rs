//! Requests without a prompt that were running when servers crashed: what is sound is not refused for what
//! happened around it, and what is deadly is refused after its second crash.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{CrashGuard, Suspect, SuspectScope};

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
