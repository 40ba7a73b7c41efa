//! Priority order of requests: the client account's priority first, then the route's.
//!
//! Requests of lower priority must leave engine time for urgent ones, but only while urgent ones
//! are expected.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{Account, Call, GatewayState, PlacementError, Route, Routing};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const ENGINES: usize = 6;

fn route(name: &str, priority: u8, target_ms: u64) -> Arc<Route> {
    let mut route = stream_route(name, priority, target_ms, 600);
    route.public = false;
    Arc::new(route)
}

fn account(priority: Option<u8>) -> Arc<Account> {
    Arc::new(Account {
        name: "one".into(),
        priority,
    })
}

fn call(
    id: u64,
    route: &Arc<Route>,
    account_priority: Option<u8>,
    tokens: u32,
    now: Timestamp,
) -> Call {
    let mut call = prompt_call(id, route, now, &[(id, tokens)]);
    call.account = Some(account(account_priority));
    call
}

fn routing(account_priorities: &[Option<u8>]) -> Routing {
    let mut routing = Routing::new(1);
    for priority in 0..3 {
        let name = format!("r{priority}");
        let route = Route::clone(&route(&name, priority, 600));
        routing.add_route("a.example", &format!("/{name}/"), route);
    }
    for (index, account_priority) in account_priorities.iter().enumerate() {
        routing.add_key(&format!("key-{index}"), account(*account_priority));
    }
    add_engines(&mut routing, 2_000_000);
    routing
}

fn state() -> GatewayState {
    state_with(routing(&[Some(1)]), ENGINES)
}

#[test]
fn account_priority_comes_first() {
    let now = Duration::ZERO;
    let priority = |account_priority, route_priority| {
        let route = route("r", route_priority, 600);
        call(1, &route, account_priority, 10, now).priority()
    };
    assert!(priority(Some(1), 0) < priority(Some(1), 1));
    assert!(priority(Some(1), 1) < priority(Some(1), 2));
    assert!(priority(Some(0), 2) < priority(Some(1), 0));
    // An account without a priority takes that of the route.
    assert!(priority(None, 0) < priority(Some(1), 0));
    assert!(priority(Some(1), 2) < priority(None, 2));
}

#[test]
fn priority_ranks_are_dense() {
    let equal = routing(&[Some(4), Some(4)]);
    let ranks: Vec<usize> = (40..43).map(|priority| equal.rank_of(priority)).collect();
    assert_eq!(ranks, [0, 1, 2]);
    let two = routing(&[Some(1), Some(3)]);
    let ranks = [10, 12, 30, 32].map(|priority| two.rank_of(priority));
    assert_eq!(ranks, [0, 2, 3, 5]);
}

/// Offers twice as many prompts as the engines can prefill in time; returns how many yielded.
fn overload(state: &mut GatewayState, now: Timestamp, low_priority: &Arc<Route>) -> u32 {
    let mut yielded = 0;
    for id in 0..120 {
        let call = call(id, low_priority, Some(1), 12_000, now);
        state.note_arrival(now, &call);
        match state.choose_server(now, &call, &[]) {
            Ok(choice) => state.note_sent(now, &call, &choice),
            Err(PlacementError::Yields(_)) => yielded += 1,
            Err(_) => {}
        }
    }
    yielded
}

#[test]
fn long_prompts_yield() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let urgent = route("urgent", 1, 600);
    let low_priority = route("less", 2, 2000);
    // One urgent arrival makes the state expect more of them.
    state.note_arrival(now, &call(1000, &urgent, Some(1), 3_000, now));
    assert!(overload(&mut state, now, &low_priority) > 0);
    for id in 1001..1001 + ENGINES as u64 {
        let call = call(id, &urgent, Some(1), 3_000, now);
        let choice = state.choose_server(now, &call, &[]).expect("room");
        assert!(choice.expected_wait < urgent.latency_target, "{choice:?}");
        state.note_sent(now, &call, &choice);
    }
}

#[test]
fn yielding_needs_recent_arrivals() {
    let mut state = state();
    let urgent = route("urgent", 1, 600);
    let low_priority = route("less", 2, 2000);
    let before = Duration::from_secs(1);
    state.note_arrival(before, &call(1000, &urgent, Some(1), 3_000, before));
    let now = before + Duration::from_secs(20);
    assert_eq!(overload(&mut state, now, &low_priority), 0);
}

#[test]
fn idle_engines_accept_prompts() {
    let mut state = state();
    let now = Duration::from_secs(1);
    let urgent = route("urgent", 1, 600);
    state.note_arrival(now, &call(1000, &urgent, Some(1), 3_000, now));
    let long = call(1, &route("less", 2, 2000), Some(1), 30_000, now);
    assert!(state.choose_server(now, &long, &[]).is_ok());
}
