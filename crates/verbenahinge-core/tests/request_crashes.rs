//! Requests without a prompt that were running when servers crashed: what is sound is not refused for what
//! happened around it, and what is deadly is refused after its second crash.

use std::time::Duration;

use verbenahinge_core::gateway::{CrashGuard, LostRun, Suspect, SuspectScope};
use verbenahinge_core::{FailureKind, Timestamp};

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
    guard.note_crash(at(0), 1, &[LostRun::new(at(0), REQUEST)]);
    guard.note_crash(at(3), 2, &[LostRun::new(at(3), REQUEST)]);
    assert_eq!(guard.refusal(at(100), &REQUEST), None);
    guard.note_crash(at(3000), 3, &[LostRun::new(at(3000), REQUEST)]);
    assert_eq!(guard.refusal(at(3001), &REQUEST), None);
}

/// Guards against a deadly request that crashes a third server, since its second attempt crashed one at once.
#[test]
fn quick_retries_count_once() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &[LostRun::new(at(0), REQUEST)]);
    guard.note_crash(at(20), 2, &[LostRun::new(at(20), REQUEST)]);
    assert!(guard.refusal(at(100), &REQUEST).is_some());
}

/// Guards against an answer that was under way when the server crashed and that clears a deadly request.
#[test]
fn answers_under_way_clear_request() {
    let mut guard = CrashGuard::new();
    guard.note_success(at(50), at(0), &REQUEST);
    guard.note_crash(at(30), 1, &[LostRun::new(at(30), REQUEST)]);
    guard.note_crash(at(2000), 2, &[LostRun::new(at(2000), REQUEST)]);
    assert!(guard.refusal(at(2100), &REQUEST).is_some());
}

/// Guards against a sound request that is refused because two servers were lost together that ran it, when it may
/// not be tried again and no answer clears it.
#[test]
fn lost_together() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(100), 1, &[LostRun::new(at(98), REQUEST)]);
    guard.note_crash(at(103), 2, &[LostRun::new(at(99), REQUEST)]);
    assert_eq!(guard.refusal(at(200), &REQUEST), None);
    assert!(guard.allows_retry(&REQUEST, FailureKind::Rejected));
    assert!(!guard.allows_retry(&REQUEST, FailureKind::ConnectionLost));
    // A third crash is another moment.
    guard.note_crash(at(900), 3, &[LostRun::new(at(880), REQUEST)]);
    assert!(guard.refusal(at(1000), &REQUEST).is_some());
}

/// Guards against a deadly request that crashes server after server, each within a moment of the one before, while
/// a copy of it is under way.
#[test]
fn retry_beside_copy() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(100), 1, &[LostRun::new(at(80), REQUEST)]);
    guard.note_crash(at(110), 2, &[LostRun::new(at(90), REQUEST)]);
    assert_eq!(guard.refusal(at(111), &REQUEST), None);
    guard.note_crash(at(120), 3, &[LostRun::new(at(101), REQUEST)]);
    assert!(guard.refusal(at(121), &REQUEST).is_some());
}

/// Guards against a server whose later run of a deadly request counts as under way, since an earlier one was lost
/// with it.
#[test]
fn two_runs_one_server() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(100), 1, &[LostRun::new(at(80), REQUEST)]);
    let runs = [90, 101].map(|ms| LostRun::new(at(ms), REQUEST));
    guard.note_crash(at(120), 2, &runs);
    assert!(guard.refusal(at(121), &REQUEST).is_some());
}

/// Guards against a refusal of a sound request whose two crashes were seen by different VMs, at each and at a third.
#[test]
fn lost_at_two_vms() {
    for delay_ms in [0, 1, 5, 40] {
        let mut vms = [0, 1, 2].map(|_| CrashGuard::new());
        vms[0].note_crash(at(100), 1, &[LostRun::new(at(98), REQUEST)]);
        vms[1].note_crash(at(101), 2, &[LostRun::new(at(99), REQUEST)]);
        tell_all(&mut vms, 160, delay_ms);
        for vm in &vms {
            assert_eq!(vm.refusal(at(300), &REQUEST), None, "{delay_ms} ms");
        }
    }
}

/// Guards against VMs that take the crashes of a deadly request and of its retry for one, when they hear of both.
#[test]
fn told_retry_counts() {
    let mut vms = [0, 1, 2].map(|_| CrashGuard::new());
    vms[0].note_crash(at(100), 1, &[LostRun::new(at(80), REQUEST)]);
    vms[0].note_crash(at(121), 2, &[LostRun::new(at(101), REQUEST)]);
    tell_all(&mut vms, 160, 5);
    for vm in &vms {
        assert!(vm.refusal(at(300), &REQUEST).is_some());
    }
}

/// Guards against a crash that a VM hears of late and that does not change what its own run means: the request had
/// been sent again, through this VM.
#[test]
fn late_news_of_first_crash() {
    let mut vms = [0, 1, 2].map(|_| CrashGuard::new());
    vms[1].note_crash(at(150), 2, &[LostRun::new(at(130), REQUEST)]);
    vms[0].note_crash(at(100), 1, &[LostRun::new(at(80), REQUEST)]);
    tell_all(&mut vms, 160, 5);
    tell_all(&mut vms, 700, 5);
    for vm in &vms {
        assert!(vm.refusal(at(800), &REQUEST).is_some());
    }
}

/// Has each VM tell the others what it has on record, all of which arrives after a delay.
fn tell_all(vms: &mut [CrashGuard; 3], now_ms: u64, delay_ms: u64) {
    let records = vms.each_ref().map(|vm| vm.recent_records(at(now_ms)));
    for (vm, guard) in vms.iter_mut().enumerate() {
        for (sender, records) in records.iter().enumerate() {
            if sender != vm {
                guard.merge(at(now_ms + delay_ms), records);
            }
        }
    }
}
