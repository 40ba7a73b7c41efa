//! How many engines are kept for short streams, in fleets where each VM sees few requests.

#[path = "support/engines.rs"]
mod engines;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{GatewayState, PeerDigest, Route, Routing};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const ENGINES: usize = 240;

/// Demand of all VMs together, in tokens a second: what a hundred engines read in the part of
/// their time that is meant for short streams, at the rate that is assumed before it is measured.
const DEMAND_TOKENS_S: u32 = 100 * 45_000 * 35 / 100;

fn short_stream() -> Arc<Route> {
    Arc::new(stream_route("short", 0, 400, 150))
}

fn state() -> GatewayState {
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 600_000);
    state_with(routing, ENGINES)
}

/// Tells the demand of some VMs, as it comes in turns.
fn tell(state: &mut GatewayState, now: Timestamp, vms: std::ops::Range<u64>, tokens_s: u32) {
    for vm in vms {
        let digest = PeerDigest {
            vm: 100 + vm,
            interactive_tokens_per_s: tokens_s,
            ..PeerDigest::default()
        };
        state.apply_digest(now, &digest);
    }
}

/// Time between two requests of a VM.
const REQUEST_GAP: Duration = Duration::from_millis(110);

/// Engines that come first for prompts of different subjects, after some requests.
fn lane(state: &mut GatewayState, at: Timestamp, requests: u64) -> usize {
    let route = short_stream();
    let mut now = at;
    for id in 0..requests {
        now += REQUEST_GAP;
        let call = prompt_call(id, &route, now, &[(id, 300)]);
        state.rank_engines(now, &call, &[], 1);
    }
    let mut first = BTreeSet::new();
    for id in 0..3000 {
        let call = prompt_call(id, &route, now, &[(id, 300)]);
        first.extend(state.clone().rank_engines(now, &call, &[], 1));
    }
    first.len()
}

#[test]
fn few_requests_suffice() {
    let mut state = state();
    let now = Duration::from_secs(1);
    tell(&mut state, now, 0..200, DEMAND_TOKENS_S / 200);
    let engines = lane(&mut state, now, 4);
    assert!((60..=110).contains(&engines), "{engines} engines");
}

#[test]
fn lane_shrinks_again() {
    let mut state = state();
    let now = Duration::from_secs(1);
    tell(&mut state, now, 0..200, DEMAND_TOKENS_S / 200);
    lane(&mut state, now, 12);
    let later = now + Duration::from_secs(2);
    tell(&mut state, later, 0..200, DEMAND_TOKENS_S / 2000);
    let engines = lane(&mut state, later, 8);
    assert!((10..=25).contains(&engines), "{engines} engines");
}

#[test]
fn bursts_are_seen_in_a_sample() {
    let mut state = state();
    let now = Duration::from_secs(1);
    tell(&mut state, now, 0..200, DEMAND_TOKENS_S / 4000);
    // In the first second of a burst a fifth of the VMs have had their turn.
    let later = now + Duration::from_secs(2);
    tell(&mut state, later, 0..40, DEMAND_TOKENS_S / 200);
    let engines = lane(&mut state, later, 8);
    assert!((80..=110).contains(&engines), "{engines} engines");
}

#[test]
fn few_vms_are_added_up() {
    let mut state = state();
    let now = Duration::from_secs(1);
    tell(&mut state, now, 0..2, DEMAND_TOKENS_S / 4);
    let later = now + Duration::from_secs(2);
    tell(&mut state, later, 1..2, DEMAND_TOKENS_S / 4);
    let engines = lane(&mut state, later, 12);
    assert!((45..=55).contains(&engines), "{engines} engines");
}
