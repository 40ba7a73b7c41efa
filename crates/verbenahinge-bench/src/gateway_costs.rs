//! Time that the gateway takes to place a request, by number of backend servers.
//!
//! The results depend on the machine; they are for `docs/CAPACITY.md`, and no test sets bounds on
//! them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Bounds, Call, EngineLimits, GatewayState, Prompt, PromptPart, Route, RouteKind, Routing,
    ServerEntry, Service, TrafficShare,
};

/// Number of services over which the backend servers are spread; one per model at the target size.
const SERVICE_COUNT: usize = 10;

/// Number of requests in one measurement.
const REQUEST_COUNT: u64 = 2_000;

/// Time between two requests that arrive at a VM at the target size.
const REQUEST_INTERVAL: Duration = Duration::from_micros(7_350);

/// Number of backend servers that are queried for their load when there are many of them.
const QUERIED_SERVERS: usize = 2;

/// Mean time per request in nanoseconds, from arrival to end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayCosts {
    /// Time if all backend servers of the service are candidates.
    pub placed_ns: u64,
    /// Time if the candidates are the few backend servers that are queried for their load.
    pub asked_ns: u64,
    /// Like `asked_ns`, if all backend servers have named a limit.
    pub limited_ns: u64,
}

fn service_name(index: usize) -> String {
    format!("model-{}", index % SERVICE_COUNT)
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

fn gateway_state(server_count: usize) -> GatewayState {
    let mut routing = Routing::new(1);
    for index in 0..SERVICE_COUNT {
        let service = Service {
            max_connections: 370,
            engine: Some(EngineLimits {
                slots: 64,
                memory_tokens: 600_000,
                token_copy: None,
                tokens_per_event: 3,
            }),
            scaling: None,
            moves: None,
        };
        let name = service_name(index);
        routing.services.insert(name.as_str().into(), service);
    }
    let mut state = GatewayState::new(1, "a".into(), Bounds::default());
    state.adopt_routing(routing);
    for index in 0..server_count {
        let name = format!("server-{index:05}");
        let entry = ServerEntry::new(&name, &service_name(index), ([127, 0, 0, 1], 1).into());
        state.upsert_server(entry.availability_zone("a").slots(64));
    }
    state.mark_registry_complete();
    state
}

fn call(id: u64, routes: &[Arc<Route>], now: Timestamp) -> Call {
    let index = usize::try_from(id).unwrap_or(0) % SERVICE_COUNT;
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
            model: "model".into(),
        }),
        fingerprint: id,
        arrived: now,
        waiting_since: now,
        deadline: now + route.timeout,
        version: None,
    }
}

/// Which servers are candidates for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Candidates {
    /// All servers of the service.
    All,
    /// Those that are queried for their load.
    Queried,
    /// Those that are queried for their load, where all servers have limits.
    QueriedWithLimits,
}

fn limit_all_servers(state: &mut GatewayState, server_count: usize) {
    state.set_uses_permits(true);
    for index in 0..server_count {
        let name = format!("server-{index:05}");
        state.note_limit(Duration::ZERO, &name, Duration::ZERO, Some(1_000.0));
    }
}

fn time_requests(server_count: usize, candidates: Candidates) -> u64 {
    let routes: Vec<Arc<Route>> = (0..SERVICE_COUNT)
        .map(|index| Arc::new(route(index)))
        .collect();
    let mut state = gateway_state(server_count);
    if candidates == Candidates::QueriedWithLimits {
        limit_all_servers(&mut state, server_count);
    }
    let mut total_time = Duration::ZERO;
    for id in 0..REQUEST_COUNT {
        let now = REQUEST_INTERVAL * u32::try_from(id).unwrap_or(0);
        let call = call(id, &routes, now);
        let started = Instant::now();
        state.note_arrival(now, &call);
        let choice = if candidates == Candidates::All {
            state.choose_server(now, &call, &[])
        } else {
            let ranked = state.rank_engines(now, &call, &[], QUERIED_SERVERS);
            state.choose_among(now, &call, &ranked)
        };
        if let Ok(choice) = choice {
            state.note_sent(now, &call, &choice);
            state.note_first_token(now, call.id, &choice.server);
            state.note_ended(call.id, &choice.server);
        }
        total_time += started.elapsed();
    }
    u64::try_from(total_time.as_nanos()).unwrap_or(u64::MAX) / REQUEST_COUNT
}

/// Measures the time per request with the given number of backend servers.
#[must_use]
pub fn measure_gateway(server_count: usize) -> GatewayCosts {
    GatewayCosts {
        placed_ns: time_requests(server_count, Candidates::All),
        asked_ns: time_requests(server_count, Candidates::Queried),
        limited_ns: time_requests(server_count, Candidates::QueriedWithLimits),
    }
}
