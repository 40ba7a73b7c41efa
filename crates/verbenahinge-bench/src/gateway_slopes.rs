//! Cost of the gateway's decisions against the number of backend servers.
//!
//! These are times of this machine, for `docs/CAPACITY.md`; no test has bounds on them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Bounds, Call, EngineLimits, GatewayState, Prompt, PromptPart, Route, RouteKind, Routing,
    ServerEntry, Service, TrafficShare,
};

/// Services over which the servers are spread, as models are at the target size.
const SERVICES: usize = 10;

/// Requests of one measurement.
const REQUESTS: u64 = 2_000;

/// Time between two requests of a VM at the target size.
const REQUEST_GAP: Duration = Duration::from_micros(7_350);

/// Servers whose load is asked for in a large fleet.
const ASKED: usize = 2;

/// Times of one measurement, in nanoseconds a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayCosts {
    /// A request that is placed among all servers of its service, from arrival to its end.
    pub placed_ns: u64,
    /// A request that is placed among the few servers whose load was asked for.
    pub asked_ns: u64,
}

fn service_name(index: usize) -> String {
    format!("model-{}", index % SERVICES)
}

fn route(index: usize) -> Route {
    Route {
        name: service_name(index).as_str().into(),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(12),
        latency_target: Duration::from_millis(610),
        gap_target: Some(Duration::from_millis(99)),
        priority: 0,
        shares: vec![TrafficShare {
            service: service_name(index).as_str().into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
        resumable: true,
    }
}

fn state(servers: usize) -> GatewayState {
    let mut routing = Routing::new(1);
    for index in 0..SERVICES {
        let service = Service {
            max_connections: 370,
            engine: Some(EngineLimits {
                slots: 64,
                memory_tokens: 600_000,
                token_copy: None,
                tokens_per_event: 3,
            }),
        };
        let name = service_name(index);
        routing.services.insert(name.as_str().into(), service);
    }
    let mut state = GatewayState::new(1, "a".into(), Bounds::default());
    state.adopt_routing(routing);
    for index in 0..servers {
        let name = format!("server-{index:05}");
        let entry = ServerEntry::new(&name, &service_name(index), ([127, 0, 0, 1], 1).into());
        state.upsert_server(entry.availability_zone("a").slots(64));
    }
    state.mark_registry_complete();
    state
}

fn call(id: u64, routes: &[Arc<Route>], now: Timestamp) -> Call {
    let index = usize::try_from(id).unwrap_or(0) % SERVICES;
    let parts = vec![
        PromptPart {
            id: id % 400,
            tokens: 900,
        },
        PromptPart {
            id: id + 1_000,
            tokens: 300,
        },
    ];
    let route = &routes[index];
    Call {
        id,
        route: Arc::clone(route),
        service: service_name(index).as_str().into(),
        account: None,
        prompt: Some(Prompt {
            prompt_tokens: 1_200,
            parts,
            max_output_tokens: 441,
        }),
        fingerprint: id,
        arrived: now,
        deadline: now + route.timeout,
    }
}

fn time_requests(servers: usize, is_asked: bool) -> u64 {
    let routes: Vec<Arc<Route>> = (0..SERVICES).map(|index| Arc::new(route(index))).collect();
    let mut state = state(servers);
    let mut spent = Duration::ZERO;
    for id in 0..REQUESTS {
        let now = REQUEST_GAP * u32::try_from(id).unwrap_or(0);
        let call = call(id, &routes, now);
        let begun = Instant::now();
        state.note_arrival(now, &call);
        let choice = if is_asked {
            let ranked = state.rank_engines(now, &call, &[], ASKED);
            state.choose_among(now, &call, &ranked)
        } else {
            state.choose_server(now, &call, &[])
        };
        if let Ok(choice) = choice {
            state.note_sent(now, &call, &choice);
            state.note_first_token(now, call.id, &choice.server);
            state.note_ended(call.id, &choice.server);
        }
        spent += begun.elapsed();
    }
    u64::try_from(spent.as_nanos()).unwrap_or(u64::MAX) / REQUESTS
}

/// Measures the cost of a request with the given number of servers.
#[must_use]
pub fn measure_gateway(servers: usize) -> GatewayCosts {
    GatewayCosts {
        placed_ns: time_requests(servers, false),
        asked_ns: time_requests(servers, true),
    }
}
