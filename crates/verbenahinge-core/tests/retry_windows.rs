//! The retry budget of a service under changed bounds.

#[path = "support/engines.rs"]
mod engines;

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{Bounds, Call, GatewayState, Routing};

use self::engines::{add_engines, prompt_call, state_with, stream_route};

const NOW: Timestamp = Duration::from_secs(1);

fn call(id: u64) -> Call {
    let route = Arc::new(stream_route("stream", 1, 1000, 400));
    prompt_call(id, &route, NOW, &[(1, 3000), (2 + id, 500)])
}

/// Returns how many retries the budget permits at once.
fn spend_all(state: &mut GatewayState) -> usize {
    let mut spent = 0;
    while state.spend_retry(NOW, &call(1000)) {
        spent += 1;
    }
    spent
}

/// Guards against bounds that change under a running VM and make it forget the retries before.
#[test]
fn changed_bounds_forget_retries() {
    let mut routing = Routing::new(1);
    add_engines(&mut routing, 400_000);
    let mut state = state_with(routing, 2);
    for id in 0..100 {
        state.note_arrival(NOW, &call(id));
    }
    let first = spend_all(&mut state);
    assert!(first > 0);
    let default = Bounds::default();
    let other_drain = Bounds {
        drain: default.drain * 2,
        ..default
    };
    state.set_bounds(other_drain);
    assert_eq!(spend_all(&mut state), 0);
    state.set_bounds(Bounds {
        retry_slack: default.retry_slack * 2.0,
        ..default
    });
    let more = spend_all(&mut state);
    assert!((1..=first).contains(&more), "{more} after {first}");
}
