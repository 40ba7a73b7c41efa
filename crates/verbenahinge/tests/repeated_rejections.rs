//! Rejections that a faulty server sends once more on a kept connection, in place of the response to a request
//! that it has run.

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn set_fault(fleet: &GatewayFleet, fault: ServerFault, are_rejections_anonymous: bool) {
    let faults = ServerFaults {
        fault,
        are_rejections_anonymous,
        events: 5,
        ..ServerFaults::default()
    };
    for server in 0..2 {
        fleet.set_server_faults(server, &faults).await;
    }
}

/// Guards against a caller that is told that its request has not run although it has, and against a request
/// that runs at a second server.
#[actix_rt::test]
async fn repeated_rejection_is_believed() {
    for is_anonymous in [false, true] {
        let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
        set_fault(&fleet, ServerFault::Reject, is_anonymous).await;
        for count in 0..4 {
            let request = GatewayRequest::new(format!("rejected-{count}"), "/once/x");
            let status = fleet.call(0, &request).await.status;
            assert!(matches!(status, 502 | 503), "{status}");
        }
        set_fault(&fleet, ServerFault::RepeatRejection, is_anonymous).await;
        let id = "run";
        let response = fleet.call(0, &GatewayRequest::new(id, "/once/x")).await;
        let runs = fleet.runs_of_request(id).await.len();
        assert!(runs <= 1, "{runs} runs, anonymous: {is_anonymous}");
        let is_honest = runs == 0 || matches!(response.status, 200 | 502);
        assert!(
            is_honest,
            "{} after {runs} runs, anonymous: {is_anonymous}",
            response.status
        );
    }
}
