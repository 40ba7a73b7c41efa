//! Backend servers that reject a request and name a time in which they want nothing from this VM.

#[path = "support/engines.rs"]
mod engines;
#[path = "support/services.rs"]
mod services;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{GatewayState, PlacementError, Routing, ServerEntry};
use verbenahinge_core::{FailureKind, Timestamp};

use self::engines::{add_engines, prompt_call, state_with, stream_route};
use self::services::{plain_call, plain_state, server_entry, server_name};

const NOW: Timestamp = Duration::from_secs(100);

const PAUSE: Duration = Duration::from_secs(4);

/// Returns the state of a VM with some servers, of which the first pauses.
fn state(servers: usize) -> GatewayState {
    let mut state = plain_state(1, servers);
    assert!(state.note_pause(NOW, &server_entry(0).start(), PAUSE));
    state
}

/// Whether the first server gets one of many requests.
fn is_used(state: &mut GatewayState, now: Timestamp) -> bool {
    (0..50).any(|id| {
        let choice = state.choose_server(now, &plain_call(id, now, 2), &[]);
        choice.is_ok_and(|choice| *choice.server == *server_name(0))
    })
}

fn refusal(state: &mut GatewayState, now: Timestamp, priority: u8) -> PlacementError {
    state
        .choose_server(now, &plain_call(1, now, priority), &[])
        .expect_err("no server takes requests")
}

#[test]
fn paused_servers_unused() {
    let mut state = state(2);
    assert!(!is_used(&mut state, NOW));
    let last = PAUSE.saturating_sub(Duration::from_millis(1));
    assert!(!is_used(&mut state, NOW + last));
    assert!(is_used(&mut state, NOW + PAUSE));
}

/// Guards against a request that chose a server and waits, and is sent after the server has paused.
#[test]
fn request_outdated() {
    let state = state(2);
    assert!(!state.may_send_to(NOW, &server_entry(0)));
    assert!(state.may_send_to(NOW, &server_entry(1)));
    assert!(state.may_send_to(NOW + PAUSE, &server_entry(0)));
}

/// Guards against a rejection that overtakes another one and shortens its pause.
#[test]
fn pauses_overlap() {
    let mut state = state(2);
    let start = server_entry(0).start();
    assert!(!state.note_pause(NOW, &start, PAUSE / 2));
    assert!(!is_used(&mut state, NOW + PAUSE / 2));
    let later = NOW + PAUSE / 2;
    assert!(!state.note_pause(later, &start, PAUSE));
    assert!(!is_used(&mut state, NOW + PAUSE));
    assert!(is_used(&mut state, later + PAUSE));
    assert!(state.note_pause(later + PAUSE, &start, PAUSE));
}

#[test]
fn pauses_are_bounded() {
    let mut state = plain_state(1, 2);
    state.note_pause(NOW, &server_entry(0).start(), Duration::MAX);
    assert!(!is_used(&mut state, NOW + Duration::from_mins(4)));
    assert!(is_used(&mut state, NOW + Duration::from_mins(5)));
    assert!(!state.note_pause(NOW, &server_entry(1).start(), Duration::ZERO));
    assert!(state.may_send_to(NOW, &server_entry(1)));
}

#[test]
fn restarts_end_pauses() {
    let mut state = state(2);
    let restarted = ServerEntry {
        started_unix_ms: Some(2),
        ..server_entry(0)
    };
    state.upsert_server(restarted);
    assert!(is_used(&mut state, NOW));
    // A rejection of the start before arrives late.
    state.note_pause(NOW, &server_entry(0).start(), PAUSE);
    assert!(is_used(&mut state, NOW));
}

/// Guards against a pause that ends because the entry lapses in an outage of the store and returns.
#[test]
fn entry_returns() {
    let mut state = state(2);
    state.mark_server_missing(NOW, &server_name(0));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(state.tick(later, Duration::from_secs(5)).len(), 1);
    state.upsert_server(server_entry(0));
    assert!(!is_used(&mut state, later));
    assert!(is_used(&mut state, NOW + PAUSE));
}

#[test]
fn all_servers_pause() {
    let mut state = state(2);
    state.note_pause(NOW, &server_entry(1).start(), PAUSE / 4);
    let refused = refusal(&mut state, NOW, 2);
    assert_eq!(refused, PlacementError::Limited(PAUSE / 4));
    let call = plain_call(2, NOW, 2);
    assert_eq!(state.service_pause(NOW, &call), Some(PAUSE / 4));
    // A call that has tried both learns the same.
    let tried = [
        server_name(0).as_str().into(),
        server_name(1).as_str().into(),
    ];
    let choice = state.choose_server(NOW, &call, &tried);
    assert_eq!(choice, Err(PlacementError::Limited(PAUSE / 4)));
    let later = NOW + PAUSE / 4;
    assert_eq!(state.service_pause(later, &call), None);
    assert!(state.choose_server(later, &call, &[]).is_ok());
}

/// Guards against a Retry-After by a pause where a server has left for good.
#[test]
fn paused_server_leaves() {
    let mut state = state(1);
    state.note_leaving(NOW, &server_entry(0).start());
    assert_eq!(refusal(&mut state, NOW, 2), PlacementError::NoServer);
}

/// Guards against requests to a crashed server, because the others pause.
#[test]
fn ejections_count_beside_pauses() {
    let mut state = plain_state(1, 4);
    for server in 0..3 {
        state.note_pause(NOW, &server_entry(server).start(), PAUSE);
    }
    state.note_failure(NOW, &server_name(3), FailureKind::ConnectFailed);
    // The ejection ends before the pauses do.
    let ejection = Duration::from_millis(700);
    let refused = refusal(&mut state, NOW, 2);
    assert_eq!(refused, PlacementError::Limited(ejection));
    let choice = state.choose_server(NOW + ejection, &plain_call(1, NOW, 2), &[]);
    assert_eq!(*choice.expect("a free server").server, *server_name(3));
}

/// With most servers ejected, the fault is likely on this VM, though one pauses.
#[test]
fn most_servers_ejected() {
    let mut state = state(4);
    for server in 1..4 {
        state.note_failure(NOW, &server_name(server), FailureKind::ConnectFailed);
    }
    let choice = state.choose_server(NOW, &plain_call(1, NOW, 2), &[]);
    assert_ne!(*choice.expect("an ejected server").server, *server_name(0));
}

/// Guards against less urgent callers who return first and take the room when a pause ends.
#[test]
fn urgent_callers_return_first() {
    let mut state = state(1);
    let order_delay = Duration::from_secs(1);
    assert_eq!(refusal(&mut state, NOW, 3), PlacementError::Limited(PAUSE));
    assert_eq!(refusal(&mut state, NOW, 1), PlacementError::Limited(PAUSE));
    let refused = refusal(&mut state, NOW, 3);
    assert_eq!(refused, PlacementError::Limited(PAUSE + order_delay));
    // Close to the end, the delay is as long as what is left.
    let left = Duration::from_millis(200);
    let late = NOW + PAUSE.saturating_sub(left);
    assert_eq!(refusal(&mut state, late, 1), PlacementError::Limited(left));
    let refused = refusal(&mut state, late, 3);
    assert_eq!(refused, PlacementError::Limited(left * 2));
    // No urgent request has been refused for long.
    let mut state = self::state(1);
    refusal(&mut state, NOW, 1);
    let later = NOW + PAUSE / 2;
    let refused = refusal(&mut state, later, 3);
    assert_eq!(refused, PlacementError::Limited(PAUSE / 2));
}

/// Guards against less urgent requests that take the limited rest while the other servers pause.
#[test]
fn limited_server_beside_pause() {
    let mut state = state(2);
    state.note_limit(NOW, &server_name(1), NOW, Some(1.0));
    let mut served = [0, 0];
    for step in 0..100 {
        let now = NOW + Duration::from_millis(20 * step);
        // The less urgent one comes first each time.
        for (index, priority) in [(1, 3), (0, 1)] {
            let call = plain_call(step * 2 + index as u64, now, priority);
            if let Ok(choice) = state.choose_server(now, &call, &[]) {
                assert_eq!(*choice.server, *server_name(1));
                state.note_sent(now, &call, &choice);
                served[index] += 1;
            }
        }
    }
    assert!(served[0] >= served[1], "{served:?}");
}

/// Guards against engines that pause and are still ranked, chosen by their queried load, or copied from.
#[test]
fn paused_engines_unused() {
    const PREFIX: [(u64, u32); 2] = [(7, 13_000), (1, 3_700)];
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 580_000);
    let mut state = state_with(routing, 3);
    let route = Arc::new(stream_route("long", 2, 2000, 600));
    let first = prompt_call(1, &route, NOW, &PREFIX);
    let home = state.choose_server(NOW, &first, &[]).expect("free engines");
    state.note_sent(NOW, &first, &home);
    let read_at = NOW + Duration::from_millis(400);
    state.note_first_token(read_at, first.id, &home.server);
    let next = prompt_call(2, &route, read_at, &PREFIX);
    let ranked = state.rank_engines(read_at, &next, &[], 3);
    let entry = state.registry().get(&home.server).expect("an entry");
    let start = entry.start();
    state.note_pause(read_at, &start, PAUSE);
    let reranked = state.rank_engines(read_at, &next, &[], 3);
    assert_eq!(reranked.len(), 2);
    assert!(!reranked.contains(&home.server));
    let choice = state.choose_among(read_at, &next, &ranked);
    let choice = choice.expect("free engines");
    assert_ne!(choice.server, home.server);
    assert_eq!(choice.copy_from, None);
    for name in ranked {
        let entry = state.registry().get(&name).expect("an entry");
        let start = entry.start();
        state.note_pause(read_at, &start, PAUSE * 2);
    }
    assert!(state.rank_engines(read_at, &next, &[], 3).is_empty());
    let refused = state.refuse_unplaced(read_at, &next);
    assert_eq!(refused, PlacementError::Limited(PAUSE * 2));
}
