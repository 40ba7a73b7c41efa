//! A VM with servers of a plain service, and requests for it.

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Bounds, Call, GatewayState, Route, RouteKind, ServerEntry, TrafficShare,
};

/// Name of the server with the given index.
pub(crate) fn server_name(index: usize) -> String {
    format!("server-{index}")
}

/// Returns the entry of a server in its first start.
pub(crate) fn server_entry(index: usize) -> ServerEntry {
    let address = "10.0.0.1:80".parse().expect("address");
    ServerEntry {
        started_unix_ms: Some(1),
        ..ServerEntry::new(&server_name(index), "service", address).slots(64)
    }
}

/// Returns a request of the given priority.
pub(crate) fn plain_call(id: u64, now: Timestamp, priority: u8) -> Call {
    let timeout = Duration::from_secs(12);
    let route = Route {
        name: "read".into(),
        kind: RouteKind::Idempotent,
        timeout,
        latency_target: Duration::from_millis(150),
        gap_target: None,
        priority,
        shares: vec![TrafficShare {
            service: "service".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
        resumable: false,
    };
    Call {
        id,
        route: Arc::new(route),
        service: "service".into(),
        account: None,
        prompt: None,
        fingerprint: id,
        arrived: now,
        waiting_since: now,
        deadline: now + timeout,
        version: None,
    }
}

/// Returns the state of a VM that knows a number of servers.
pub(crate) fn plain_state(vm: u64, servers: usize) -> GatewayState {
    let mut state = GatewayState::new(vm, "a".into(), Bounds::default());
    for server in 0..servers {
        state.upsert_server(server_entry(server));
    }
    state.mark_registry_complete();
    state
}
