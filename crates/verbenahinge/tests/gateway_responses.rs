//! Responses and retries of the gateway when backend servers fail: a caller gets the complete
//! response to its own request or a status that tells whether the request may have run.

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await
}

/// Injects a fault into both servers.
async fn inject_fault(fleet: &GatewayFleet, fault: ServerFault, times: u32) {
    for server in 0..2 {
        fleet.set_server_fault(server, fault, times).await;
    }
}

#[actix_rt::test]
async fn requests_forwarded_unchanged() {
    let fleet = start().await;
    let request = GatewayRequest::new("r1", "/once/a/b?c=d%20e").body("the body");
    let response = fleet.call(0, &request).await;
    assert_eq!((response.status, response.is_signed()), (200, true));
    assert_eq!(response.body, "answer to r1");
    let runs = fleet.runs_of_request("r1").await;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "POST /once/a/b?c=d%20e");
    assert_eq!(runs[0].body, "the body");
    assert_eq!(runs[0].account, "one");
    assert_eq!(runs[0].api_key, "");
    assert!(runs[0].deadline_ms <= 1000, "{}", runs[0].deadline_ms);
}

#[actix_rt::test]
async fn lost_response_returns_502() {
    let fleet = start().await;
    inject_fault(&fleet, ServerFault::LoseAnswer, 0).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(response.status, 502);
    assert_eq!(fleet.runs_of_request("r1").await.len(), 1);
}

#[actix_rt::test]
async fn idempotent_requests_are_retried() {
    let fleet = start().await;
    for fault in [
        ServerFault::LoseAnswer,
        ServerFault::BreakOff,
        ServerFault::Garbage,
        ServerFault::ForeignAnswer,
        ServerFault::Unframed,
        ServerFault::Fail,
        ServerFault::Silence,
    ] {
        fleet.set_server_fault(0, fault, 0).await;
        fleet.set_server_fault(1, ServerFault::None, 0).await;
        for count in 0..4 {
            let id = format!("{fault}-{count}");
            let response = fleet.call(0, &GatewayRequest::new(&id, "/read/x")).await;
            assert_eq!(response.status, 200, "{id}");
            assert_eq!(response.body, format!("answer to {id}"));
            assert!(response.is_complete);
        }
    }
}

#[actix_rt::test]
async fn rejected_requests_return_503() {
    let fleet = start().await;
    inject_fault(&fleet, ServerFault::Reject, 0).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(response.status, 503);
    let delay = response.retry_after_s().expect("a Retry-After header");
    assert!(delay > 0.0 && delay <= 1.0 / 3.0, "{delay}");
    assert!(fleet.runs_of_request("r1").await.is_empty());
}

#[actix_rt::test]
async fn extra_responses_are_discarded() {
    let fleet = start().await;
    inject_fault(&fleet, ServerFault::ExtraAnswer, 0).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    for count in 0..12 {
        let id = format!("r{count}");
        let request = GatewayRequest::new(&id, "/read/x");
        let response = connection.call(&request).await.expect("a response");
        assert_eq!(response.status, 200, "{id}");
        assert_eq!(response.body, format!("answer to {id}"));
    }
}

#[actix_rt::test]
async fn server_errors_are_forwarded() {
    let fleet = start().await;
    inject_fault(&fleet, ServerFault::Fail, 0).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!((response.status, response.is_signed()), (500, true));
    assert_eq!(fleet.runs_of_request("r1").await.len(), 1);
}

#[actix_rt::test]
async fn silent_servers_cause_504() {
    let fleet = start().await;
    inject_fault(&fleet, ServerFault::Silence, 0).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(response.status, 504);
    assert_eq!(fleet.runs_of_request("r1").await.len(), 1);
}

#[actix_rt::test]
async fn dead_servers_are_avoided() {
    let mut fleet = start().await;
    fleet.server_process(0).kill();
    for count in 0..6 {
        let request = GatewayRequest::new(format!("r{count}"), "/once/x");
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
}

/// Guards against retries that find no server and yet count against the retry budget.
#[actix_rt::test]
async fn unplaced_retries_use_up_budget() {
    /// More than the retry budget allows.
    const FAILING_REQUESTS: usize = 70;
    let options = GatewayFleetOptions::new(CONFIG).servers(1);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    fleet.set_server_fault(0, ServerFault::LoseAnswer, 0).await;
    for count in 0..FAILING_REQUESTS {
        let request = GatewayRequest::new(format!("r{count}"), "/read/x");
        assert_eq!(fleet.call(0, &request).await.status, 502);
    }
    fleet.add_server("server-1", "service").await;
    fleet.set_server_fault(1, ServerFault::LoseAnswer, 0).await;
    fleet.wait_for_log(0, "server=server-1 change=added").await;
    let request = GatewayRequest::new("last", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 502);
    assert_eq!(fleet.runs_of_request("last").await.len(), 2);
}

/// Guards against a server's own response that is replaced because no server was found for a retry.
#[actix_rt::test]
async fn unplaced_retry_drops_response() {
    let options = GatewayFleetOptions::new(CONFIG).servers(1);
    let fleet = GatewayFleet::start(BIN, options).await;
    fleet.set_server_fault(0, ServerFault::Fail, 0).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/read/x")).await;
    assert_eq!((response.status, response.is_signed()), (500, true));
}

/// Guards against a caller's connection that ends because a server announces an idle timeout of many years.
#[actix_rt::test]
async fn endless_idle_timeout_ends_connection() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            keep_alive_s: u64::MAX,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    for count in 0..4 {
        let id = format!("r{count}");
        let request = GatewayRequest::new(&id, "/once/x");
        let response = connection.call(&request).await.expect("a response");
        assert_eq!(response.body, format!("answer to {id}"));
    }
}
