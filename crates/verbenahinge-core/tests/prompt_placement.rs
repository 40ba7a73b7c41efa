//! Placement and rejection of prompts on inference engines under load.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{Call, GatewayState, PlacementError, Route, Routing};
use verbenahinge_core::{FailureKind, Timestamp};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const ENGINES: usize = 8;
const SHARED_TOKENS: u32 = 13_000;
const OWN_TOKENS: u32 = 3_700;

fn long_prompt_route() -> Arc<Route> {
    Arc::new(stream_route("long", 2, 2000, 600))
}

fn short_stream_route() -> Arc<Route> {
    Arc::new(stream_route("short", 0, 400, 150))
}

fn long_call(id: u64, prefix: u64, now: Timestamp) -> Call {
    let parts = [(prefix, SHARED_TOKENS), (1_000_000 + id, OWN_TOKENS)];
    prompt_call(id, &long_prompt_route(), now, &parts)
}

fn short_call(id: u64, now: Timestamp) -> Call {
    let parts = [(500 + id % 20, 350), (2_000_000 + id, 1_100)];
    prompt_call(id, &short_stream_route(), now, &parts)
}

fn state() -> GatewayState {
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 580_000);
    state_with(routing, ENGINES)
}

/// Places a call, records it as sent and returns the name of the engine.
fn send(state: &mut GatewayState, now: Timestamp, call: &Call) -> String {
    state.note_arrival(now, call);
    let choice = state
        .choose_server(now, call, &[])
        .expect("placement succeeds");
    state.note_sent(now, call, &choice);
    choice.server.to_string()
}

#[test]
fn equal_prefixes_share_engine() {
    let mut state = state();
    let mut homes = Vec::new();
    for id in 0..20 {
        let now = Duration::from_millis(400 * id);
        let call = long_call(id, 7, now);
        let server = send(&mut state, now, &call);
        state.note_first_token(now + Duration::from_millis(120), call.id, &server);
        state.note_ended(call.id, &server);
        homes.push(server);
    }
    homes.dedup();
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// Delivers the digest of another VM, which is the only information about its load.
fn receive_digest(state: &mut GatewayState, now: Timestamp, other: &GatewayState) {
    let mut digest = other.full_digest(now);
    digest.vm = 2;
    state.apply_digest(now, &digest);
}

#[test]
fn prompts_follow_peer_placements() {
    let mut one = state();
    let mut other = state();
    let now = Duration::from_secs(1);
    // The other VM skips the home engine of the prefix, as after a failed attempt there.
    let first = long_call(1, 7, now);
    let home = other
        .choose_server(now, &first, &[])
        .expect("placement succeeds")
        .server;
    let choice = other
        .choose_server(now, &first, &[home])
        .expect("placement succeeds");
    other.note_sent(now, &first, &choice);
    receive_digest(&mut one, now, &other);
    let follower = one
        .choose_server(now, &long_call(2, 7, now), &[])
        .expect("placement succeeds");
    assert_eq!(follower.server, choice.server);
}

#[test]
fn spilled_prompts_copy_prefixes() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let home = send(&mut state, now, &long_call(1, 7, now));
    let later = now + Duration::from_secs(2);
    state.note_first_token(later, 1, &home);
    // No copy is planned before the engine can have prefilled the parts.
    let early = state.choose_server(now, &long_call(2, 7, now), &[home.as_str().into()]);
    assert_eq!(early.expect("placement succeeds").copy_from, None);
    let spilled = state.choose_server(later, &long_call(3, 7, later), &[]);
    assert_eq!(spilled.expect("placement succeeds").copy_from, None);
    for id in 10..30 {
        let call = long_call(id, 7, later);
        let choice = state
            .choose_server(later, &call, &[])
            .expect("placement succeeds");
        if *choice.server != *home {
            assert_eq!(choice.copy_from.as_deref(), Some(home.as_str()));
            assert!(
                choice.prefill_cost < f64::from(OWN_TOKENS) * 1.5,
                "{choice:?}"
            );
            return;
        }
        state.note_sent(later, &call, &choice);
    }
    panic!("all prompts went to {home}");
}

#[test]
fn short_streams_avoid_prefills() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut long_homes = Vec::new();
    for id in 0..10 {
        long_homes.push(send(&mut state, now, &long_call(id, id, now)));
    }
    for id in 100..108 {
        let server = send(&mut state, now, &short_call(id, now));
        assert!(
            !long_homes.contains(&server),
            "{server} prefills long prompts"
        );
    }
}

#[test]
fn hot_prefixes_spill() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut used = std::collections::BTreeSet::new();
    for id in 0..40 {
        used.insert(send(&mut state, now, &long_call(id, 7, now)));
    }
    assert!(used.len() > 1, "{used:?}");
    assert!(used.len() < ENGINES - 1, "{used:?}");
}

#[test]
fn late_requests_are_rejected() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut rejected = 0;
    for id in 0..400 {
        let call = long_call(id, id, now);
        match state.choose_server(now, &call, &[]) {
            Ok(choice) => {
                assert!(choice.expected_wait <= call.route.latency_target);
                state.note_sent(now, &call, &choice);
            }
            Err(PlacementError::TooLate(wait)) => {
                assert!(wait > Duration::from_secs(1), "{wait:?}");
                rejected += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(rejected > 300, "{rejected}");
}

#[test]
fn likely_retries_are_admitted() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut id = 0;
    let rejected_call = loop {
        id += 1;
        let call = long_call(id, id, now);
        match state.choose_server(now, &call, &[]) {
            Ok(choice) => state.note_sent(now, &call, &choice),
            Err(_) => break call,
        }
    };
    let mut retry = rejected_call;
    retry.deadline -= Duration::from_secs(2);
    assert!(retry.is_likely_retry());
    assert!(state.choose_server(now, &retry, &[]).is_ok());
}

#[test]
fn urgent_requests_exceed_slots() {
    let mut state = state();
    let now = Duration::from_secs(1);
    for id in 0..64 * 8 {
        let call = prompt_call(id, &long_prompt_route(), now, &[(id, 10)]);
        if let Ok(choice) = state.choose_server(now, &call, &[]) {
            state.note_sent(now, &call, &choice);
        }
    }
    let less_urgent = prompt_call(9000, &long_prompt_route(), now, &[(9000, 10)]);
    assert!(state.choose_server(now, &less_urgent, &[]).is_err());
    let urgent = prompt_call(
        9001,
        &Arc::new(stream_route("urgent", 1, 600, 250)),
        now,
        &[(9001, 10)],
    );
    assert!(state.choose_server(now, &urgent, &[]).is_ok());
}

#[test]
fn ejects_failed_minority() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let call = long_call(1, 7, now);
    let home = state
        .choose_server(now, &call, &[])
        .expect("placement succeeds")
        .server;
    assert!(state.note_failure(now, &home, FailureKind::ConnectFailed));
    let other = state
        .choose_server(now, &call, &[])
        .expect("placement succeeds")
        .server;
    assert_ne!(home, other);
    // If all engines fail, the fault is likely on this VM, so the ejections are ignored.
    for index in 0..ENGINES {
        state.note_failure(now, &format!("engine-{index}"), FailureKind::ConnectFailed);
    }
    assert!(state.choose_server(now, &call, &[]).is_ok());
}

/// Guards against a stream that finds no engine because it began longer ago than callers wait for a
/// first event.
#[test]
fn resumption_counts_from_arrival() {
    let mut state = state();
    let arrived = Duration::from_secs(1);
    let now = arrived + Duration::from_secs(9);
    let mut call = long_call(1, 7, arrived);
    assert!(state.choose_server(now, &call, &[]).is_err());
    call.waiting_since = now;
    assert!(state.choose_server(now, &call, &[]).is_ok());
}

#[test]
fn retries_keep_the_budget() {
    let mut state = state();
    let mut spent = 0;
    for id in 0..100 {
        let now = Duration::from_millis(10 * id);
        let call = long_call(id, id, now);
        state.note_arrival(now, &call);
        if state.spend_retry(now, &call) {
            spent += 1;
        }
    }
    // The budget is a fifth of the requests plus 60.
    assert!((30..=80).contains(&spent), "{spent}");
}

#[test]
fn streams_block_long_prompts() {
    let mut state = state();
    let now = Duration::from_secs(1);
    // Two engines remain, each with many short streams.
    for index in 2..ENGINES {
        state.remove_server(&format!("engine-{index}"));
    }
    for id in 0..100 {
        let short = short_call(id, now);
        if let Ok(choice) = state.choose_server(now, &short, &[]) {
            state.note_sent(now, &short, &choice);
            state.note_first_token(now, id, &choice.server);
        }
    }
    let long = long_call(900, 7, now);
    assert_eq!(
        state.choose_server(now, &long, &[]),
        Err(PlacementError::Full)
    );
}
