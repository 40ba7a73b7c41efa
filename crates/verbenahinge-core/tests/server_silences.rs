//! A server that is silent for a while: what counts, and what is kept for when it goes on.

#[path = "support/engines.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use engines::{prompt_call, stream_route};
use verbenahinge_core::gateway::{Backend, PartState};
use verbenahinge_core::{FailureKind, Timestamp};

const START: Timestamp = Duration::from_secs(1);

/// Silence after which requests at a server count it as silent.
const SILENCE: Duration = Duration::from_millis(1100);

/// Longest first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(700);

/// Returns a server with requests that share a prompt part and wait for their first event.
fn busy_server(requests: u64) -> Backend {
    let mut backend = Backend::new();
    let route = Arc::new(stream_route("long", 2, 2000, 600));
    for id in 0..requests {
        let call = prompt_call(id, &route, START, &[(7, 13_000), (100 + id, 3_000)]);
        backend.note_sent(START, &call, 5_000.0, false);
    }
    backend
}

fn note_silences(backend: &mut Backend, count: u64) {
    for _ in 0..count {
        backend.note_failure(START + SILENCE, FailureKind::Silent);
    }
}

/// Guards against an ejection that grows with the number of requests that notice one silence.
#[test]
fn silence_counts_for_each_request() {
    let mut backend = busy_server(6);
    note_silences(&mut backend, 6);
    let noticed_at = START + SILENCE;
    assert!(backend.is_ejected(noticed_at));
    assert!(!backend.is_ejected(noticed_at + FIRST_EJECTION));
}

/// Guards against a server whose prompt parts are forgotten because it was silent.
#[test]
fn silence_forgets_parts() {
    let mut backend = busy_server(2);
    note_silences(&mut backend, 2);
    let part = backend.part(START + SILENCE, 7);
    assert!(matches!(
        part,
        Some(PartState::Prefilling | PartState::Prefilled)
    ));
}

/// Guards against a prefill rate that a pause lowers.
#[test]
fn silence_lowers_rate() {
    let mut backend = busy_server(8);
    let rate = backend.prefill_rate();
    note_silences(&mut backend, 8);
    for id in 0..8 {
        backend.note_first_token(START + SILENCE * 2, id);
    }
    assert!((backend.prefill_rate() - rate).abs() < f64::EPSILON);
}
