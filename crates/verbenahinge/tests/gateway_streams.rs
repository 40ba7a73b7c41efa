//! Streams resume at another server where the route allows it; otherwise an interrupted stream
//! never looks complete to the caller.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await
}

fn stream_request(id: &str, path: &str) -> GatewayRequest {
    GatewayRequest::new(id, path).deadline_ms(8000).prompt(1, 2)
}

#[actix_rt::test]
async fn streams_complete() {
    let fleet = start().await;
    let response = fleet.call(0, &stream_request("s1", "/stream/x")).await;
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert!(response.is_signed());
}

#[actix_rt::test]
async fn broken_streams_resume_elsewhere() {
    let fleet = start().await;
    for fault in [ServerFault::BreakOff, ServerFault::Stall] {
        for server in 0..2 {
            fleet.set_server_fault(server, fault, 1).await;
        }
        // Server 0 keeps the fault for one request; if it is tried first, server 1 resumes the
        // stream.
        let id = fault.to_string();
        fleet.set_server_fault(1, ServerFault::None, 0).await;
        for count in 0..2 {
            let request = stream_request(&format!("{id}-{count}"), "/stream/x").prompt(count, 9);
            let response = fleet.call(0, &request).await;
            assert!(response.is_complete, "{id}");
            assert_eq!(response.event_ids(), [1, 2, 3, 4, 5], "{id}");
        }
    }
}

/// Guards against a stream that contains the error of the server which should have continued it, or that ends
/// as if it were complete.
#[actix_rt::test]
async fn error_follows_events() {
    for fault in [
        ServerFault::Fail,
        ServerFault::Reject,
        ServerFault::Garbage,
        ServerFault::ForeignAnswer,
        ServerFault::CutHead,
        ServerFault::LoseAnswer,
        ServerFault::Unframed,
    ] {
        for breaks_at_events in [false, true] {
            let fleet = start().await;
            let break_off = if breaks_at_events {
                ServerFault::BreakOffBetweenEvents
            } else {
                ServerFault::BreakOff
            };
            // The stream goes to the server that is set last, and its other one answers with the fault.
            let mut resumed = 0;
            for (first, second) in [(0, 1), (1, 0)] {
                let id = format!("{fault}-{breaks_at_events}-{first}");
                fleet.set_server_fault(first, break_off, 0).await;
                fleet.set_server_fault(second, fault, 0).await;
                let response = fleet.call(0, &stream_request(&id, "/stream/x")).await;
                let runs = fleet.runs(first).await;
                if !runs.iter().any(|run| run.request_id == id) || response.event_ids().is_empty() {
                    continue;
                }
                resumed += 1;
                assert!(!response.is_complete, "{id}");
                assert_eq!(response.event_ids(), [1, 2], "{id}");
                for line in response.body.lines().filter(|line| !line.is_empty()) {
                    let is_event = line.starts_with("id: ") || line.starts_with("data: event ");
                    assert!(is_event, "{id}: {line:?}");
                }
            }
            assert!(resumed > 0, "{fault}");
        }
    }
}

#[actix_rt::test]
async fn unresumable_streams_abort() {
    let fleet = start().await;
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::BreakOff, 0)
            .await;
    }
    let response = fleet.call(0, &stream_request("s1", "/single/x")).await;
    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), [1, 2]);
    assert_eq!(fleet.runs_of_request("s1").await.len(), 1);
}

#[actix_rt::test]
async fn callers_resume_streams() {
    let fleet = start().await;
    let whole = fleet.call(0, &stream_request("s1", "/stream/x")).await;
    assert_eq!(whole.event_ids(), [1, 2, 3, 4, 5]);
    let rest = stream_request("s2", "/stream/x").last_event_id(3);
    let response = fleet.call(0, &rest.resumes("s1")).await;
    assert_eq!(response.event_ids(), [4, 5]);
    assert_eq!(fleet.runs_of_request("s2").await[0].last_event, 3);
}

#[actix_rt::test]
async fn streams_time_out() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms: 700,
            events: 100,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let response = fleet.call(0, &stream_request("s1", "/single/x")).await;
    assert!(!response.is_complete);
    let count = response.event_ids().len();
    assert!((3..=5).contains(&count), "{count} events in 4 s");
}

#[actix_rt::test]
async fn disconnect_cancels_stream() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms: 100,
            events: 40,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let request = stream_request("s1", "/stream/x");
    let call = connection.call(&request);
    let result = actix_rt::time::timeout(Duration::from_millis(500), call).await;
    assert!(result.is_err(), "the stream takes four seconds");
    drop(connection);
    fleet.wait_for_log(0, "outcome=caller_gone").await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let runs = fleet.runs_of_request("s1").await;
    assert_eq!(runs.len(), 1);
    assert!(!runs[0].is_complete);
}

#[actix_rt::test]
async fn shared_prefix_same_server() {
    let fleet = start().await;
    for count in 0..6 {
        let request = stream_request(&format!("s{count}"), "/stream/x").prompt(77, 100 + count);
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
    let counts = [fleet.runs(0).await.len(), fleet.runs(1).await.len()];
    assert!(counts == [6, 0] || counts == [0, 6], "{counts:?}");
}

/// Guards against a stream that is not resumed because it has run for longer than callers wait for a
/// first event.
#[actix_rt::test]
async fn late_stream_breaks() {
    let fleet = start().await;
    let warm_up = fleet.call(0, &stream_request("warm-up", "/stream/x")).await;
    assert_eq!(warm_up.status, 200);
    let first = usize::from(fleet.runs(0).await.is_empty());
    for (server, fault, work_ms) in [
        (first, ServerFault::BreakOff, 800),
        (1 - first, ServerFault::None, 5),
    ] {
        let faults = ServerFaults {
            fault,
            work_ms,
            events: 12,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let response = fleet.call(0, &stream_request("s1", "/stream/x")).await;
    let expected: Vec<u64> = (1..=12).collect();
    assert_eq!(response.event_ids(), expected);
    assert!(response.is_complete);
}
