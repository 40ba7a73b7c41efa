//! Streams arrive event by event, go on elsewhere where they may, and never look whole when they
//! are not.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayOptions::new(CONFIG)).await
}

fn stream(id: &str, path: &str) -> GatewayRequest {
    GatewayRequest::new(id, path).deadline_ms(8000).prompt(1, 2)
}

#[actix_rt::test]
async fn streams_arrive_whole() {
    let fleet = start().await;
    let answer = fleet.call(0, &stream("s1", "/stream/x")).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5]);
    assert!(answer.is_signed());
}

#[actix_rt::test]
async fn broken_streams_go_on_elsewhere() {
    let fleet = start().await;
    for fault in [ServerFault::BreakOff, ServerFault::Stall] {
        for server in 0..2 {
            fleet.fault(server, fault, 1).await;
        }
        // Whichever server comes first breaks off; the other one has its turn after that.
        let id = fault.to_string();
        fleet.fault(1, ServerFault::None, 0).await;
        for count in 0..2 {
            let request = stream(&format!("{id}-{count}"), "/stream/x").prompt(count, 9);
            let answer = fleet.call(0, &request).await;
            assert!(answer.is_complete, "{id}");
            assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5], "{id}");
        }
    }
}

#[actix_rt::test]
async fn other_streams_break_off_visibly() {
    let fleet = start().await;
    for server in 0..2 {
        fleet.fault(server, ServerFault::BreakOff, 0).await;
    }
    let answer = fleet.call(0, &stream("s1", "/single/x")).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.event_ids(), [1, 2]);
    assert_eq!(fleet.runs_of("s1").await.len(), 1);
}

#[actix_rt::test]
async fn callers_resume_their_streams() {
    let fleet = start().await;
    let answer = fleet
        .call(0, &stream("s1", "/stream/x").last_event(3))
        .await;
    assert_eq!(answer.event_ids(), [4, 5]);
    assert_eq!(fleet.runs_of("s1").await[0].last_event, 3);
}

#[actix_rt::test]
async fn streams_end_at_the_timeout() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms: 700,
            events: 100,
            ..ServerFaults::default()
        };
        fleet.server_faults(server, &faults).await;
    }
    let answer = fleet.call(0, &stream("s1", "/single/x")).await;
    assert!(!answer.is_complete);
    let count = answer.event_ids().len();
    assert!((3..=5).contains(&count), "{count} events in 4 s");
}

#[actix_rt::test]
async fn servers_stop_when_callers_leave() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms: 100,
            events: 40,
            ..ServerFaults::default()
        };
        fleet.server_faults(server, &faults).await;
    }
    let mut connection = CallerConnection::open(fleet.listen(0)).await.expect("a VM");
    let request = stream("s1", "/stream/x");
    let call = connection.call(&request);
    let left = actix_rt::time::timeout(Duration::from_millis(500), call).await;
    assert!(left.is_err(), "the stream takes four seconds");
    drop(connection);
    fleet.wait_logged(0, "outcome=caller_gone").await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let runs = fleet.runs_of("s1").await;
    assert_eq!(runs.len(), 1);
    assert!(!runs[0].is_complete);
}

#[actix_rt::test]
async fn equal_prompts_meet_again() {
    let fleet = start().await;
    for count in 0..6 {
        let request = stream(&format!("s{count}"), "/stream/x").prompt(77, 100 + count);
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
    let counts = [fleet.runs(0).await.len(), fleet.runs(1).await.len()];
    assert!(counts == [6, 0] || counts == [0, 6], "{counts:?}");
}
