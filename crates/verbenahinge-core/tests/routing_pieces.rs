//! A large configuration is dropped in pieces.

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{Account, Bounds, GatewayState, Route, RouteKind, Routing};

fn routing(version: u64, routes: usize, keys: usize) -> Routing {
    let mut routing = Routing::new(version);
    for index in 0..routes {
        let route = Route {
            name: "route".into(),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_secs(1),
            latency_target: Duration::from_secs(1),
            gap_target: None,
            priority: 0,
            shares: Vec::new(),
            max_attempts: 1,
            public: false,
            resumable: false,
        };
        let host = format!("host{}.example", index % 3);
        routing.add_route(&host, &format!("/path{index}/"), route);
    }
    let account = Arc::new(Account {
        name: "account".into(),
        priority: None,
    });
    for index in 0..keys {
        routing.add_key(&format!("key{index}"), Arc::clone(&account));
    }
    routing
}

#[test]
fn pieces_are_bounded() {
    let mut routing = routing(1, 25, 7);
    let mut counts = Vec::new();
    while routing.drop_some(10) {
        counts.push((routing.route_count(), routing.has_accounts()));
    }
    assert_eq!(counts, [(15, false), (5, false)]);
    assert_eq!(routing.route_count(), 0);
}

#[test]
fn newer_replaces_older() {
    let mut state = GatewayState::new(1, "a".into(), Bounds::default());
    assert_eq!(state.replace_routing(Arc::new(routing(3, 1, 0))), Ok(None));
    let rejected = state.replace_routing(Arc::new(routing(2, 5, 0)));
    assert_eq!(rejected.map_err(|routing| routing.version), Err(2));
    let replaced = state.replace_routing(Arc::new(routing(4, 2, 0)));
    let replaced = replaced.map(|old| old.map(|old| old.version));
    assert_eq!(replaced, Ok(Some(3)));
    assert_eq!(state.config_version(), 4);
}
