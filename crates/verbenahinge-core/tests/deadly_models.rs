//! Prompt parts that crash one model or all of them.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{CrashGuard, LostRun, Prompt, PromptPart, Suspect};

/// Time at which requests were sent that prove nothing by when they were sent.
const BEFORE_CRASHES: Duration = Duration::ZERO;

const START: Duration = Duration::from_secs(100);

/// Time after which a blamed part is refused for certain.
const SETTLED: Duration = Duration::from_secs(1);

const FIRST: u64 = 1;
const DEADLY: u64 = 2;
const SOUND: u64 = 3;

/// Suspects of a prompt; its last part belongs to the request alone.
fn prompt_of(request: u64, model: &str, shared: &[u64]) -> Vec<Suspect> {
    let ids = shared.iter().copied().chain([1_000_000 + request]);
    let prompt = Prompt {
        parts: ids.map(|id| PromptPart { id, tokens: 100 }).collect(),
        prompt_tokens: 1000,
        max_output_tokens: 10,
        model: model.into(),
    };
    Suspect::of_prompt(request, &prompt)
}

fn at(ms: u64) -> Timestamp {
    START + Duration::from_millis(ms)
}

#[test]
fn other_model_refused() {
    let mut guard = CrashGuard::new();
    for crash in 0..2 {
        let shared = [FIRST, DEADLY];
        guard.note_crash(
            at(1000 * crash),
            crash,
            &[LostRun::new(
                at(1000 * crash),
                prompt_of(crash, "large", &shared),
            )],
        );
    }
    let now = at(1000) + SETTLED;
    let shared = [FIRST, DEADLY];
    assert!(
        guard
            .refusal(now, &prompt_of(8, "large", &shared))
            .is_some()
    );
    assert_eq!(guard.refusal(now, &prompt_of(9, "small", &shared)), None);
}

/// Guards against a part that crashes every model and costs engines of one model after the other.
#[test]
fn next_model_crashes() {
    const MODELS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const STABLE_WINDOW_MS: u64 = 3000;
    const MAX_LATE: usize = 3;
    let mut guard = CrashGuard::new();
    let mut crashed_ms = Vec::new();
    for request in 0..40 {
        let ms = 1000 * request;
        let model = MODELS[usize::try_from(request).expect("few") % MODELS.len()];
        let deadly = prompt_of(request, model, &[FIRST, DEADLY]);
        if guard.refusal(at(ms), &deadly).is_none() {
            guard.note_crash(at(ms), request, &[LostRun::new(at(ms), deadly)]);
            crashed_ms.push(ms);
        }
        guard.note_success(
            at(ms + 100),
            BEFORE_CRASHES,
            &prompt_of(100 + request, model, &[FIRST, SOUND]),
        );
    }
    let known_ms = crashed_ms.get(4).or(crashed_ms.last()).expect("a crash");
    let late = crashed_ms
        .iter()
        .filter(|&&ms| ms > known_ms + STABLE_WINDOW_MS);
    assert!(late.count() <= MAX_LATE, "{crashed_ms:?}");
}
