//! Every caller gets the whole answer to its own request, or the truth about what became of it.

use verbenahinge_emulator::scripted_server::ServerFault;
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayOptions::new(CONFIG)).await
}

/// Makes both servers misbehave.
async fn fault_all(fleet: &GatewayFleet, fault: ServerFault, times: u32) {
    for server in 0..2 {
        fleet.fault(server, fault, times).await;
    }
}

#[actix_rt::test]
async fn passes_requests_unchanged() {
    let fleet = start().await;
    let request = GatewayRequest::new("r1", "/once/a/b?c=d%20e").body("the body");
    let answer = fleet.call(0, &request).await;
    assert_eq!((answer.status, answer.is_signed()), (200, true));
    assert_eq!(answer.body, "answer to r1");
    let runs = fleet.runs_of("r1").await;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "POST /once/a/b?c=d%20e");
    assert_eq!(runs[0].body, "the body");
    assert_eq!(runs[0].account, "one");
    assert_eq!(runs[0].api_key, "");
    assert!(runs[0].deadline_ms <= 1000, "{}", runs[0].deadline_ms);
}

#[actix_rt::test]
async fn lost_answer_is_no_promise() {
    let fleet = start().await;
    fault_all(&fleet, ServerFault::LoseAnswer, 0).await;
    let answer = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(fleet.runs_of("r1").await.len(), 1);
}

#[actix_rt::test]
async fn idempotent_requests_move_on() {
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
        fleet.fault(0, fault, 0).await;
        fleet.fault(1, ServerFault::None, 0).await;
        for count in 0..4 {
            let id = format!("{fault}-{count}");
            let answer = fleet.call(0, &GatewayRequest::new(&id, "/read/x")).await;
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.body, format!("answer to {id}"));
            assert!(answer.is_complete);
        }
    }
}

#[actix_rt::test]
async fn rejected_requests_are_refused_truly() {
    let fleet = start().await;
    fault_all(&fleet, ServerFault::Reject, 0).await;
    let answer = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(answer.status, 503);
    let delay = answer.retry_after_s().expect("when to come back");
    assert!(delay > 0.0 && delay <= 1.0 / 3.0, "{delay}");
    assert!(fleet.runs_of("r1").await.is_empty());
}

#[actix_rt::test]
async fn extra_answers_reach_nobody() {
    let fleet = start().await;
    fault_all(&fleet, ServerFault::ExtraAnswer, 0).await;
    let mut connection = CallerConnection::open(fleet.listen(0)).await.expect("a VM");
    for count in 0..12 {
        let id = format!("r{count}");
        let request = GatewayRequest::new(&id, "/read/x");
        let answer = connection.call(&request).await.expect("an answer");
        assert_eq!(answer.status, 200, "{id}");
        assert_eq!(answer.body, format!("answer to {id}"));
    }
}

#[actix_rt::test]
async fn server_errors_pass_unchanged() {
    let fleet = start().await;
    fault_all(&fleet, ServerFault::Fail, 0).await;
    let answer = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!((answer.status, answer.is_signed()), (500, true));
    assert_eq!(fleet.runs_of("r1").await.len(), 1);
}

#[actix_rt::test]
async fn unanswered_requests_end_in_time() {
    let fleet = start().await;
    fault_all(&fleet, ServerFault::Silence, 0).await;
    let answer = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(answer.status, 504);
    assert_eq!(fleet.runs_of("r1").await.len(), 1);
}

#[actix_rt::test]
async fn dead_servers_are_left_out() {
    let mut fleet = start().await;
    fleet.server_process(0).kill();
    for count in 0..6 {
        let request = GatewayRequest::new(format!("r{count}"), "/once/x");
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
}
