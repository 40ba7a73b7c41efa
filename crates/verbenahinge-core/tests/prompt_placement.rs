//! Where requests go and when they are turned away, on the load patterns that bind the engines.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{Call, GatewayState, NoChoice, Route, Routing};
use verbenahinge_core::{FailureKind, Timestamp};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const ENGINES: usize = 8;
const SHARED_TOKENS: u32 = 13_000;
const OWN_TOKENS: u32 = 3_700;

fn long_prompt() -> Arc<Route> {
    Arc::new(stream_route("long", 2, 2000, 600))
}

fn short_stream() -> Arc<Route> {
    Arc::new(stream_route("short", 0, 400, 150))
}

fn long_call(id: u64, subject: u64, now: Timestamp) -> Call {
    let parts = [(subject, SHARED_TOKENS), (1_000_000 + id, OWN_TOKENS)];
    prompt_call(id, &long_prompt(), now, &parts)
}

fn short_call(id: u64, now: Timestamp) -> Call {
    let parts = [(500 + id % 20, 350), (2_000_000 + id, 1_100)];
    prompt_call(id, &short_stream(), now, &parts)
}

fn state() -> GatewayState {
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 580_000);
    state_with(routing, ENGINES)
}

/// Sends a call and returns the engine that it went to.
fn send(state: &mut GatewayState, now: Timestamp, call: &Call) -> String {
    state.note_arrival(now, call);
    let choice = state.choose_server(now, call, &[]).expect("a place");
    state.note_sent(now, call, &choice);
    choice.server.to_string()
}

#[test]
fn equal_subjects_meet_at_one_engine() {
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

/// A VM of the same fleet, which hears of the other's load by digests alone.
fn hear(state: &mut GatewayState, now: Timestamp, other: &GatewayState) {
    let mut digest = other.full_digest(now);
    digest.vm = 2;
    state.apply_digest(now, &digest);
}

#[test]
fn prompts_follow_parts_that_other_vms_sent() {
    let mut one = state();
    let mut other = state();
    let now = Duration::from_secs(1);
    // The other VM found the usual engine of the subject out of order.
    let first = long_call(1, 7, now);
    let home = other
        .choose_server(now, &first, &[])
        .expect("a place")
        .server;
    let choice = other.choose_server(now, &first, &[home]).expect("a place");
    other.note_sent(now, &first, &choice);
    hear(&mut one, now, &other);
    let follower = one
        .choose_server(now, &long_call(2, 7, now), &[])
        .expect("a place");
    assert_eq!(follower.server, choice.server);
}

#[test]
fn spilled_prompts_copy_what_others_have_read() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let home = send(&mut state, now, &long_call(1, 7, now));
    let later = now + Duration::from_secs(2);
    state.note_first_token(later, 1, &home);
    // Nobody copies before the engine can have read the parts.
    let early = state.choose_server(now, &long_call(2, 7, now), &[home.as_str().into()]);
    assert_eq!(early.expect("a place").copy_from, None);
    let spilled = state.choose_server(later, &long_call(3, 7, later), &[]);
    assert_eq!(spilled.expect("a place").copy_from, None);
    for id in 10..30 {
        let call = long_call(id, 7, later);
        let choice = state.choose_server(later, &call, &[]).expect("a place");
        if *choice.server != *home {
            assert_eq!(choice.copy_from.as_deref(), Some(home.as_str()));
            assert!(choice.read_cost < f64::from(OWN_TOKENS) * 1.5, "{choice:?}");
            return;
        }
        state.note_sent(later, &call, &choice);
    }
    panic!("everything went to {home}");
}

#[test]
fn short_streams_stay_off_long_reads() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut long_homes = Vec::new();
    for id in 0..10 {
        long_homes.push(send(&mut state, now, &long_call(id, id, now)));
    }
    for id in 100..108 {
        let server = send(&mut state, now, &short_call(id, now));
        assert!(!long_homes.contains(&server), "{server} reads long prompts");
    }
}

#[test]
fn hot_subjects_spill_when_their_engine_is_late() {
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
fn hopeless_requests_are_turned_away_at_once() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut turned_away = 0;
    for id in 0..400 {
        let call = long_call(id, id, now);
        match state.choose_server(now, &call, &[]) {
            Ok(choice) => {
                assert!(choice.expected_wait <= call.route.latency_target);
                state.note_sent(now, &call, &choice);
            }
            Err(NoChoice::TooLate(wait)) => {
                assert!(wait > Duration::from_secs(1), "{wait:?}");
                turned_away += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(turned_away > 300, "{turned_away}");
}

#[test]
fn returned_requests_have_a_place() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let mut id = 0;
    let refused = loop {
        id += 1;
        let call = long_call(id, id, now);
        match state.choose_server(now, &call, &[]) {
            Ok(choice) => state.note_sent(now, &call, &choice),
            Err(_) => break call,
        }
    };
    let mut returned = refused;
    returned.deadline -= Duration::from_secs(2);
    assert!(returned.has_returned());
    assert!(state.choose_server(now, &returned, &[]).is_ok());
}

#[test]
fn urgent_requests_pass_full_engines() {
    let mut state = state();
    let now = Duration::from_secs(1);
    for id in 0..64 * 8 {
        let call = prompt_call(id, &long_prompt(), now, &[(id, 10)]);
        if let Ok(choice) = state.choose_server(now, &call, &[]) {
            state.note_sent(now, &call, &choice);
        }
    }
    let less = prompt_call(9000, &long_prompt(), now, &[(9000, 10)]);
    assert!(state.choose_server(now, &less, &[]).is_err());
    let urgent = prompt_call(
        9001,
        &Arc::new(stream_route("urgent", 1, 600, 250)),
        now,
        &[(9001, 10)],
    );
    assert!(state.choose_server(now, &urgent, &[]).is_ok());
}

#[test]
fn failed_servers_rest_and_observers_doubt() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let call = long_call(1, 7, now);
    let home = state
        .choose_server(now, &call, &[])
        .expect("a place")
        .server;
    assert!(state.note_failure(now, &home, FailureKind::ConnectFailed));
    let other = state
        .choose_server(now, &call, &[])
        .expect("a place")
        .server;
    assert_ne!(home, other);
    for index in 0..ENGINES {
        state.note_failure(now, &format!("engine-{index}"), FailureKind::ConnectFailed);
    }
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
    // The budget is a fifth of the requests and sixty more.
    assert!((30..=80).contains(&spent), "{spent}");
}

#[test]
fn long_reads_spare_many_short_streams() {
    let mut state = state();
    let now = Duration::from_secs(1);
    // Few engines are left, and each of them has many short streams.
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
    assert_eq!(state.choose_server(now, &long, &[]), Err(NoChoice::Full));
}
