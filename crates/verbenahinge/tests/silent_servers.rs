//! A sound server may send nothing for a second and then go on: an answer ends early only if another
//! server has taken it over.

use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::{ExecutedRequest, ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Longer than the silence after which a stream is tried elsewhere.
const PAUSE_MS: u64 = 1600;

/// Longer than [`PAUSE_MS`] and the silence before it is noticed together.
const LONG_PAUSE_MS: u64 = 4000;

async fn start(servers: usize) -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).servers(servers)).await
}

async fn set_pause(fleet: &GatewayFleet, server: usize, fault: ServerFault, pause_ms: u64) {
    let faults = ServerFaults {
        fault,
        pause_ms,
        work_ms: 5,
        events: 5,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(server, &faults).await;
}

fn stream_request(id: &str, prefix: u64) -> GatewayRequest {
    GatewayRequest::new(id, "/stream/x")
        .deadline_ms(8000)
        .prompt(prefix, 9)
}

/// Returns the server that streams with a prefix go to first, and the other one.
async fn server_order(fleet: &GatewayFleet, prefix: u64) -> (usize, usize) {
    let request = stream_request("warm-up", prefix);
    assert_eq!(fleet.call(0, &request).await.status, 200);
    if fleet.runs(0).await.is_empty() {
        (1, 0)
    } else {
        (0, 1)
    }
}

async fn run_of(fleet: &GatewayFleet, server: usize, request: &str) -> ExecutedRequest {
    let runs = fleet.runs(server).await;
    let run = runs.into_iter().find(|run| run.request_id == request);
    run.unwrap_or_else(|| panic!("server {server} did not run {request}"))
}

/// Guards against a stream that ends because the only server pauses.
#[actix_rt::test]
async fn pause_ends_stream() {
    let fleet = start(1).await;
    for fault in [ServerFault::Pause, ServerFault::PauseAtStart] {
        set_pause(&fleet, 0, fault, PAUSE_MS).await;
        let id = fault.to_string();
        let response = fleet.call(0, &stream_request(&id, 1)).await;
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5], "{id}");
        assert!(response.is_complete, "{id}");
        assert_eq!(fleet.runs_of_request(&id).await.len(), 1, "{id}");
    }
}

/// Guards against streams that end because every server pauses.
#[actix_rt::test]
async fn pauses_use_up_attempts() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_pause(&fleet, server, ServerFault::Pause, PAUSE_MS).await;
    }
    let response = fleet.call(0, &stream_request("s1", 1)).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert!(response.is_complete);
}

/// Guards against streams that end because a pause concerns more of them than the retry budget allows.
#[actix_rt::test]
async fn pause_uses_up_budget() {
    let fleet = start(2).await;
    for server in 0..2 {
        let faults = ServerFaults {
            fault: ServerFault::Pause,
            pause_ms: PAUSE_MS,
            work_ms: 100,
            events: 12,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let ids: Vec<String> = (0..12).map(|count| format!("s{count}")).collect();
    let requests: Vec<_> = ids.iter().map(|id| stream_request(id, 1)).collect();
    let calls = requests.iter().map(|request| fleet.call(0, request));
    for (id, response) in ids.iter().zip(join_all(calls).await) {
        if response.status == 503 {
            assert!(fleet.runs_of_request(id).await.is_empty(), "{id}");
            continue;
        }
        let expected: Vec<u64> = (1..=12).collect();
        assert_eq!(response.event_ids(), expected, "{id}");
        assert!(response.is_complete, "{id}");
    }
}

/// Guards against an idempotent request that fails because the only server pauses.
#[actix_rt::test]
async fn pause_fails_request() {
    let fleet = start(1).await;
    set_pause(&fleet, 0, ServerFault::PauseAtStart, 1200).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/read/x")).await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "answer to r1");
    assert_eq!(fleet.runs_of_request("r1").await.len(), 1);
}

/// Guards against an idempotent request that fails because the second server takes too long or rejects
/// it, though the first one answers.
#[actix_rt::test]
async fn second_server_fails_request() {
    for fault in [
        ServerFault::PauseAtStart,
        ServerFault::Reject,
        ServerFault::LoseAnswer,
    ] {
        let fleet = start(2).await;
        // The first request to arrive at either server pauses, and the second attempt finds the fault.
        let first = GatewayRequest::new("r1", "/read/x");
        set_pause(&fleet, 0, ServerFault::PauseAtStart, 1200).await;
        set_pause(&fleet, 1, ServerFault::PauseAtStart, 1200).await;
        let call = fleet.call(0, &first);
        let set_fault = async {
            while fleet.runs_of_request("r1").await.is_empty() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
            let second = usize::from(!fleet.runs(0).await.is_empty());
            set_pause(&fleet, second, fault, LONG_PAUSE_MS).await;
        };
        let (response, ()) = futures_util::future::join(call, set_fault).await;
        assert_eq!(response.status, 200, "{fault}");
        assert_eq!(response.body, "answer to r1", "{fault}");
    }
}

/// Guards against a stream that leaves a silent server before another one has begun.
#[actix_rt::test]
async fn slow_takeover_ends_stream() {
    for fault in [
        ServerFault::PauseAtStart,
        ServerFault::Reject,
        ServerFault::LoseAnswer,
    ] {
        let fleet = start(2).await;
        let (first, second) = server_order(&fleet, 1).await;
        set_pause(&fleet, first, ServerFault::Pause, PAUSE_MS).await;
        set_pause(&fleet, second, fault, LONG_PAUSE_MS).await;
        let response = fleet.call(0, &stream_request("s1", 1)).await;
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5], "{fault}");
        assert!(response.is_complete, "{fault}");
        let from_first = format!("of server-{first}");
        assert_eq!(response.body.matches(&from_first).count(), 5, "{fault}");
        assert!(run_of(&fleet, first, "s1").await.is_complete, "{fault}");
    }
}

/// Guards against a server that goes on with a stream that another one has taken over.
#[actix_rt::test]
async fn takeover_keeps_both_servers() {
    let fleet = start(2).await;
    let (first, second) = server_order(&fleet, 1).await;
    set_pause(&fleet, first, ServerFault::Pause, LONG_PAUSE_MS).await;
    let response = fleet.call(0, &stream_request("s1", 1)).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert!(response.is_complete);
    let from_second = format!("of server-{second}");
    assert_eq!(response.body.matches(&from_second).count(), 3);
    assert_eq!(run_of(&fleet, second, "s1").await.last_event, 2);
    // The first server would have gone on after its pause.
    actix_rt::time::sleep(Duration::from_millis(LONG_PAUSE_MS)).await;
    assert!(!run_of(&fleet, first, "s1").await.is_complete);
}

/// Guards against a silent stream that is not tried at a server that becomes available.
#[actix_rt::test]
async fn later_server_unused() {
    let mut fleet = start(1).await;
    set_pause(&fleet, 0, ServerFault::Stall, 0).await;
    let address = fleet.listen_address(0);
    let call = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(address)
            .await
            .expect("a connection to the VM");
        let response = connection.call(&stream_request("s1", 1)).await;
        response.expect("no response from the VM")
    });
    fleet
        .wait_for_log(0, "name=attempt_silent request_id=s1")
        .await;
    fleet.add_server("server-1", "service").await;
    let response = call.await.expect("the call does not panic");
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert!(response.is_complete);
    let log = fleet.read_log(0);
    assert_eq!(log.matches("name=attempt_silent request_id=s1").count(), 1);
}

/// Guards against a failure after a silence that counts as an answer of the server.
#[actix_rt::test]
async fn late_failure_is_answer() {
    let fleet = start(1).await;
    let faults = ServerFaults {
        fault: ServerFault::Fail,
        work_ms: 900,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(0, &faults).await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/read/x")).await;
    assert!(response.status >= 500, "{}", response.status);
    fleet
        .wait_for_log(0, "name=request_ended request_id=r1")
        .await;
    let log = fleet.read_log(0);
    assert!(log.contains("name=attempt_silent request_id=r1"));
    assert!(!log.contains("name=attempt_continued"));
}

/// Guards against a stream that ends as complete because another server answers without an event.
#[actix_rt::test]
async fn empty_stream_takes_over() {
    let fleet = start(2).await;
    let (first, second) = server_order(&fleet, 1).await;
    set_pause(&fleet, first, ServerFault::Pause, PAUSE_MS).await;
    let faults = ServerFaults {
        work_ms: 5,
        events: 2,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(second, &faults).await;
    let response = fleet.call(0, &stream_request("s1", 1)).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
}
