//! Streams that had begun when their servers crashed: whether the request is blamed for it.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{CrashGuard, LostRun, Prompt, PromptPart, Suspect, SuspectScope};

/// Time at which requests were sent that prove nothing by when they were sent.
const BEFORE_CRASHES: Duration = Duration::ZERO;

const START: Duration = Duration::from_secs(100);

/// Time after which a blamed suspect is refused for certain.
const SETTLED: Duration = Duration::from_secs(1);

const DEADLY: u64 = 2;

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

fn stream(request: u64) -> [Suspect; 1] {
    [Suspect::stream(request)]
}

/// Suspects of a prompt that waits for its first event.
fn waiting(request: u64) -> Vec<Suspect> {
    let ids = [DEADLY, 1_000_000 + request];
    let prompt = Prompt {
        parts: ids.map(|id| PromptPart { id, tokens: 100 }).into(),
        prompt_tokens: 1000,
        max_output_tokens: 10,
        model: "model".into(),
    };
    Suspect::of_prompt(request, &prompt)
}

/// Guards against a request that crashes its servers after its first event and is never refused.
#[test]
fn begun_stream_crashes_servers() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &[LostRun::new(at(0), stream(1))]);
    // The first event at another server says nothing of what follows.
    guard.note_success(at(10), BEFORE_CRASHES, &waiting(1));
    assert!(guard.refusal(at(10) + SETTLED, &stream(1)).is_none());
    // It crashed the other server as soon as it went on there.
    guard.note_crash(at(20), 2, &[LostRun::new(at(20), stream(1))]);
    assert!(guard.refusal(at(500), &stream(1)).is_some());
    assert!(guard.refusal(at(500), &stream(2)).is_none());
}

#[test]
fn whole_stream_clears() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(0), 1, &[LostRun::new(at(0), stream(1))]);
    guard.note_success(at(500), BEFORE_CRASHES, &stream(1));
    guard.note_crash(at(2000), 2, &[LostRun::new(at(2000), stream(1))]);
    assert!(guard.refusal(at(2000) + SETTLED, &stream(1)).is_none());
}

/// Guards against a stream that is refused because it ran beside a deadly part twice.
#[test]
fn deadly_part_explains_lost_streams() {
    let mut guard = CrashGuard::new();
    for crash in 0..2 {
        let now = at(1000 * crash);
        guard.note_crash(
            now,
            crash,
            &[LostRun::new(
                now,
                [&stream(7)[..], &waiting(crash)].concat(),
            )],
        );
    }
    let now = at(1000) + SETTLED;
    assert!(guard.refusal(now, &stream(7)).is_none());
    assert!(guard.refusal(now, &waiting(9)).is_some());
}

#[test]
fn stream_scope_has_a_number() {
    for scope in [
        SuspectScope::Stream,
        SuspectScope::Prompt,
        SuspectScope::Request,
        SuspectScope::part(0),
        SuspectScope::part_of_any_model(3),
    ] {
        assert_eq!(SuspectScope::from_number(scope.number()), scope);
    }
}

/// Guards against a refusal of sound streams that ran at two servers which were lost together.
#[test]
fn streams_lost_together() {
    let mut guard = CrashGuard::new();
    guard.note_crash(at(100), 1, &[LostRun::new(at(0), stream(1))]);
    guard.note_crash(at(103), 2, &[LostRun::new(at(10), stream(1))]);
    assert!(guard.refusal(at(103) + SETTLED, &stream(1)).is_none());
}
