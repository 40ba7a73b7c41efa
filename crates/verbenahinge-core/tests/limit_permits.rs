//! Where permits are used, the VM that hands them out decides, and a limited server stays a candidate.

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{
    Bounds, Call, GatewayState, Route, RouteKind, ServerEntry, TrafficShare,
};

const NOW: Duration = Duration::from_secs(1);

fn call(id: u64) -> Call {
    let route = Route {
        name: "route".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(150),
        gap_target: None,
        priority: 0,
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
        arrived: NOW,
        waiting_since: NOW,
        deadline: NOW + Duration::from_secs(2),
        version: None,
    }
}

fn send(state: &mut GatewayState, id: u64) -> bool {
    let call = call(id);
    let choice = state.choose_server(NOW, &call, &[]);
    if let Ok(choice) = &choice {
        state.note_sent(NOW, &call, choice);
        state.note_ended(id, &choice.server);
    }
    choice.is_ok()
}

#[test]
fn servers_stay_open() {
    let mut state = GatewayState::new(1, "a".into(), Bounds::default());
    let address = ([127, 0, 0, 1], 80).into();
    state.upsert_server(ServerEntry::new("server", "service", address).slots(64));
    state.note_limit(NOW, "server", Duration::ZERO, Some(1.0));
    let with_shares: Vec<bool> = (0..4).map(|id| send(&mut state, id)).collect();
    assert!(with_shares.contains(&false), "{with_shares:?}");
    state.set_uses_permits(true);
    for id in 10..20 {
        assert!(send(&mut state, id), "{id}");
        assert!(state.needs_permit("server"));
    }
}
