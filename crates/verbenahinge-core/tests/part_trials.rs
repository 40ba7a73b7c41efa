//! Blamed parts that were sound before: which requests try them, and how many engines that may cost.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{CrashGuard, LostRun, Prompt, PromptPart, Suspect};

/// Time at which requests were sent that prove nothing by when they were sent.
const BEFORE_CRASHES: Duration = Duration::ZERO;

const FIRST: u64 = 1;
const SOUND: u64 = 3;
const OTHER: u64 = 4;

/// Requests of which the guard is asked how many may run.
const REQUESTS: u64 = 1000;

/// Time after the refusal began from which the share of trials grows no more.
const FULL_SHARE: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Timestamp {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

/// Suspects of a prompt; its last part belongs to the request alone.
fn prompt(request: u64, shared: &[u64]) -> Vec<Suspect> {
    let ids = shared.iter().copied().chain([1_000_000 + request]);
    let prompt = Prompt {
        parts: ids.map(|id| PromptPart { id, tokens: 100 }).collect(),
        prompt_tokens: 1000,
        max_output_tokens: 10,
        model: "model".into(),
    };
    Suspect::of_prompt(request, &prompt)
}

/// Guard of an account whose first part has been at two crashes with different parts behind it, refused from
/// the time 1,400 on.
fn refusing_guard(was_sound: bool) -> CrashGuard {
    let mut guard = CrashGuard::new();
    if was_sound {
        guard.note_success(at(0), BEFORE_CRASHES, &prompt(1, &[FIRST, SOUND]));
    }
    guard.note_crash(
        at(500),
        1,
        &[LostRun::new(at(500), prompt(2, &[FIRST, 50, 60]))],
    );
    guard.note_crash(
        at(1000),
        2,
        &[LostRun::new(at(1000), prompt(3, &[FIRST, 51, 61]))],
    );
    guard
}

/// Requests that a guard lets run, of a thousand.
fn count_running(guard: &CrashGuard, now: Timestamp, shared: &[u64]) -> usize {
    let requests = (10_000..10_000 + REQUESTS).map(|request| prompt(request, shared));
    let running = requests.filter(|suspects| guard.refusal(now, suspects).is_none());
    running.count()
}

/// Guards against a first part that stays refused for ten minutes because nothing may try it.
#[test]
fn sound_part_stays() {
    let mut guard = refusing_guard(true);
    let shares = [1400, 2200, 3000, 3800, 4600, 5400, 20_000];
    let running = shares.map(|ms| count_running(&guard, at(ms), &[FIRST, OTHER]));
    println!("{running:?}");
    assert!((5..40).contains(&running[0]), "{running:?}");
    assert!(running.is_sorted(), "{running:?}");
    assert!((400..600).contains(&running[6]), "{running:?}");
    let refusals = (0..REQUESTS).filter_map(|request| {
        let suspects = prompt(10_000 + request, &[FIRST, OTHER]);
        guard.refusal(at(1400), &suspects)
    });
    assert!(refusals.into_iter().all(|one| one.time_left <= FULL_SHARE));
    guard.note_success(at(6000), BEFORE_CRASHES, &prompt(5, &[FIRST, OTHER]));
    assert_eq!(count_running(&guard, at(6000), &[FIRST, OTHER]), 1000);
}

/// Guards against a trial of what waited at a crash too, and so may be the cause.
#[test]
fn suspect_tried() {
    let guard = refusing_guard(true);
    for shared in [[FIRST, 50], [FIRST, 51], [FIRST, 61]] {
        assert_eq!(count_running(&guard, at(20_000), &shared), 0, "{shared:?}");
    }
}

/// Guards against engines that are spent on a part with which no request has ever succeeded.
#[test]
fn unsound_part_tried() {
    let guard = refusing_guard(false);
    assert_eq!(count_running(&guard, at(20_000), &[FIRST, OTHER]), 0);
}

/// Guards against engines that are spent on a part that became deadly, behind which only sound parts stand.
#[test]
fn part_without_rivals_tried() {
    let mut guard = CrashGuard::new();
    for sound in [SOUND, OTHER] {
        guard.note_success(at(0), BEFORE_CRASHES, &prompt(sound, &[FIRST, sound]));
    }
    guard.note_crash(
        at(500),
        1,
        &[LostRun::new(at(500), prompt(10, &[FIRST, SOUND]))],
    );
    guard.note_crash(
        at(1000),
        2,
        &[LostRun::new(at(1000), prompt(11, &[FIRST, OTHER]))],
    );
    assert_eq!(count_running(&guard, at(20_000), &[FIRST, 77]), 0);
}

/// Guards against trials that go on and on while each of them costs an engine.
#[test]
fn trials_never_end() {
    let mut guard = refusing_guard(true);
    let mut crashes = 0;
    let mut request = 10_000;
    // A hundred requests a second, each of which would crash its engine, for nine minutes.
    for ms in (1400..540_000).step_by(10) {
        request += 1;
        let suspects = prompt(request, &[FIRST, request]);
        if guard.refusal(at(ms), &suspects).is_none() {
            crashes += 1;
            guard.note_crash(at(ms), request, &[LostRun::new(at(ms), suspects)]);
        }
    }
    assert_eq!(crashes, 3);
}
