//! Size of the engine group for interactive streams in fleets where each VM sees few requests.

#[path = "support/engines.rs"]
mod engines;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{GatewayState, PeerDigest, Route, Routing};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const ENGINES: usize = 240;

/// Demand of all VMs together, in tokens per second: what 100 engines prefill in the share of their
/// time that is meant for interactive streams, at the initial prefill rate.
const DEMAND_TOKENS_PER_S: u32 = 100 * 45_000 * 35 / 100;

fn short_stream_route() -> Arc<Route> {
    Arc::new(stream_route("short", 0, 400, 150))
}

fn state() -> GatewayState {
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 600_000);
    state_with(routing, ENGINES)
}

/// Receives the demand of some VMs in their digests.
fn receive_demand(
    state: &mut GatewayState,
    now: Timestamp,
    vms: std::ops::Range<u64>,
    tokens_per_s: u32,
) {
    for vm in vms {
        let digest = PeerDigest {
            vm: 100 + vm,
            interactive_tokens_per_s: tokens_per_s,
            ..PeerDigest::default()
        };
        state.apply_digest(now, &digest);
    }
}

/// Time between two requests of a VM.
const REQUEST_GAP: Duration = Duration::from_millis(110);

/// Handles some requests, then counts the engines that rank first for prompts with different
/// prefixes.
fn interactive_group_size(state: &mut GatewayState, at: Timestamp, requests: u64) -> usize {
    let route = short_stream_route();
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
fn few_requests_size_group() {
    let mut state = state();
    let now = Duration::from_secs(1);
    receive_demand(&mut state, now, 0..200, DEMAND_TOKENS_PER_S / 200);
    let engines = interactive_group_size(&mut state, now, 4);
    assert!((60..=110).contains(&engines), "{engines} engines");
}

#[test]
fn group_shrinks_with_demand() {
    let mut state = state();
    let now = Duration::from_secs(1);
    receive_demand(&mut state, now, 0..200, DEMAND_TOKENS_PER_S / 200);
    interactive_group_size(&mut state, now, 12);
    let later = now + Duration::from_secs(2);
    receive_demand(&mut state, later, 0..200, DEMAND_TOKENS_PER_S / 2000);
    let engines = interactive_group_size(&mut state, later, 8);
    assert!((10..=25).contains(&engines), "{engines} engines");
}

#[test]
fn recent_digests_reveal_burst() {
    let mut state = state();
    let now = Duration::from_secs(1);
    receive_demand(&mut state, now, 0..200, DEMAND_TOKENS_PER_S / 4000);
    // In the first second of a burst, a fifth of the VMs have sent a digest.
    let later = now + Duration::from_secs(2);
    receive_demand(&mut state, later, 0..40, DEMAND_TOKENS_PER_S / 200);
    let engines = interactive_group_size(&mut state, later, 8);
    assert!((80..=110).contains(&engines), "{engines} engines");
}

#[test]
fn few_demands_are_summed() {
    let mut state = state();
    let now = Duration::from_secs(1);
    receive_demand(&mut state, now, 0..2, DEMAND_TOKENS_PER_S / 4);
    let later = now + Duration::from_secs(2);
    receive_demand(&mut state, later, 1..2, DEMAND_TOKENS_PER_S / 4);
    let engines = interactive_group_size(&mut state, later, 12);
    assert!((45..=55).contains(&engines), "{engines} engines");
}
