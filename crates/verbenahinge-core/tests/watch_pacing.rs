//! A burst of registry changes does not end a watch of each watcher for each change, and is still seen
//! soon.

use std::time::Duration;

use verbenahinge_core::gateway::{WatchPacing, watch_timeout};

const VMS: usize = 88;
const WATCHERS: u64 = 5;

/// Position of a watcher that is not the first.
const RANK: usize = 3;

/// Time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Times at which one watcher gets a response with changes, if `changes` are the times of all changes.
fn responses(changes: &[Duration], seed: u64, is_paced: bool) -> Vec<Duration> {
    let mut pacing = WatchPacing::new(seed);
    let mut responses = Vec::new();
    let mut now = at(seed * 37);
    let mut applied = 0;
    while applied < changes.len() {
        let ends_at = now + pacing.next_timeout(RANK, VMS);
        let change_at = changes[applied];
        let answered_at = change_at.clamp(now, ends_at.max(now)) + ANSWER_TIME;
        let until = changes
            .iter()
            .filter(|&&change| change + ANSWER_TIME <= answered_at)
            .count();
        let has_changes = until > applied;
        if has_changes {
            responses.push(answered_at);
        }
        applied = until.max(applied);
        now = answered_at;
        let pause = pacing.note_response(now, VMS, has_changes);
        now += if is_paced { pause } else { Duration::ZERO };
    }
    responses
}

/// Guards against one call of each watcher for each of many changes in a row.
#[test]
fn bursts_share_responses() {
    let changes: Vec<Duration> = (0..94).map(|change| at(1000 + change * 43)).collect();
    let mut calls = [0, 0];
    let mut worst_delay = Duration::ZERO;
    for (index, is_paced) in [false, true].into_iter().enumerate() {
        let mut by_watcher = Vec::new();
        for seed in 0..WATCHERS {
            by_watcher.push(responses(&changes, seed, is_paced));
        }
        calls[index] = by_watcher.iter().map(Vec::len).sum();
        for &change in &changes {
            let first = by_watcher
                .iter()
                .flatten()
                .filter(|&&seen| seen >= change + ANSWER_TIME)
                .min()
                .expect("each change is seen");
            worst_delay = worst_delay.max(first.saturating_sub(change));
        }
    }
    assert_eq!(calls[0], 94 * 5);
    assert!(calls[1] * 3 <= calls[0], "{calls:?}");
    assert!(worst_delay <= at(300) + ANSWER_TIME, "{worst_delay:?}");
}

/// Guards against a pause that delays a change which comes alone, such as a server that leaves.
#[test]
fn lone_changes_unpaced() {
    let mut pacing = WatchPacing::new(7);
    for second in 1..20 {
        let pause = pacing.note_response(at(second * 1000), VMS, true);
        assert_eq!(pause, Duration::ZERO);
        assert_eq!(pacing.next_timeout(RANK, VMS), watch_timeout(RANK, VMS));
    }
}

/// Guards against replicas that are confirmed less often because of a pause.
#[test]
fn pauses_shorten_watches() {
    let mut pacing = WatchPacing::new(7);
    pacing.note_response(at(1000), VMS, true);
    let pause = pacing.note_response(at(1100), VMS, true);
    assert!(!pause.is_zero());
    assert_eq!(
        pacing.next_timeout(RANK, VMS) + pause,
        watch_timeout(RANK, VMS)
    );
    assert_eq!(pacing.note_response(at(1200), VMS, false), Duration::ZERO);
    assert_eq!(pacing.next_timeout(RANK, VMS), watch_timeout(RANK, VMS));
}

/// Guards against a change for small fleets, where every VM watches for itself.
#[test]
fn small_fleets_unpaced() {
    let mut pacing = WatchPacing::new(7);
    for ms in 0..10 {
        assert_eq!(pacing.note_response(at(ms), 9, true), Duration::ZERO);
    }
}
