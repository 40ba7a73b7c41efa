//! Races of attempts at silent servers: what is closed, counted and reported.

use std::time::Duration;

use futures_util::future::{join, join_all};
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start(servers: usize) -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).servers(servers)).await
}

async fn set_fault(fleet: &GatewayFleet, server: usize, fault: ServerFault, pause_ms: u64) {
    let faults = ServerFaults {
        fault,
        pause_ms,
        work_ms: 5,
        events: 5,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(server, &faults).await;
}

fn stream_request(id: &str) -> GatewayRequest {
    GatewayRequest::new(id, "/stream/x")
        .deadline_ms(8000)
        .prompt(1, 9)
}

/// Returns the server that streams go to first.
async fn first_server(fleet: &GatewayFleet, servers: usize) -> usize {
    let response = fleet.call(0, &stream_request("warm-up")).await;
    assert_eq!(response.status, 200);
    for server in 0..servers {
        if !fleet.runs(server).await.is_empty() {
            return server;
        }
    }
    panic!("no server ran the warm-up");
}

/// Sets a fault of the server that has not run a request, once the other one has.
async fn set_other_fault(fleet: &GatewayFleet, id: &str, fault: ServerFault) {
    while fleet.runs_of_request(id).await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let second = usize::from(!fleet.runs(0).await.is_empty());
    set_fault(fleet, second, fault, 0).await;
}

/// Guards against a server that goes on with a plain request that another one has answered.
#[actix_rt::test]
async fn answered_request_runs_on() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 1500).await;
    }
    let request = GatewayRequest::new("r1", "/read/x");
    let call = fleet.call(0, &request);
    let set = set_other_fault(&fleet, "r1", ServerFault::None);
    let (response, ()) = join(call, set).await;
    assert_eq!(response.status, 200);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let runs = fleet.runs_of_request("r1").await;
    assert_eq!(runs.len(), 2);
    assert_eq!(runs.iter().filter(|run| run.is_complete).count(), 1);
}

/// Guards against a plain request that waits for a server that never answers.
#[actix_rt::test]
async fn silent_server_keeps_request() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::Silence, 0).await;
    }
    let request = GatewayRequest::new("r1", "/read/x");
    let call = fleet.call(0, &request);
    let set = set_other_fault(&fleet, "r1", ServerFault::None);
    let (response, ()) = join(call, set).await;
    assert_eq!(response.status, 200);
}

/// Guards against servers that go on after the caller has left.
#[actix_rt::test]
async fn caller_leaves_both_run() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 3500).await;
    }
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let request = stream_request("s1");
    let call = connection.call(&request);
    let result = actix_rt::time::timeout(Duration::from_secs(2), call).await;
    assert!(result.is_err());
    assert_eq!(fleet.runs_of_request("s1").await.len(), 2);
    drop(connection);
    fleet.wait_for_log(0, "outcome=caller_gone").await;
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    for run in fleet.runs_of_request("s1").await {
        assert!(!run.is_complete);
    }
}

/// Guards against a server that gets no requests although it has gone on.
#[actix_rt::test]
async fn ejection_outlasts_pause() {
    let fleet = start(2).await;
    let first = first_server(&fleet, 2).await;
    // The streams go on for more than a second after the pause, so that none of them is complete.
    let faults = ServerFaults {
        fault: ServerFault::Pause,
        pause_ms: 1600,
        work_ms: 100,
        events: 25,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(first, &faults).await;
    set_fault(&fleet, 1 - first, ServerFault::PauseAtStart, 4000).await;
    let ids: Vec<String> = (0..6).map(|count| format!("s{count}")).collect();
    let requests: Vec<_> = ids.iter().map(|id| stream_request(id)).collect();
    let calls = join_all(requests.iter().map(|request| fleet.call(0, request)));
    let during = async {
        fleet.wait_for_log(0, "name=attempt_continued").await;
        assert!(fleet.read_log(0).contains("name=server_ejected"));
        for server in 0..2 {
            set_fault(&fleet, server, ServerFault::None, 0).await;
        }
        let count_before = fleet.runs(first).await.len();
        for prefix in 10..22 {
            let request = stream_request(&format!("after-{prefix}")).prompt(prefix, 9);
            assert_eq!(fleet.call(0, &request).await.status, 200);
        }
        assert!(fleet.runs(first).await.len() > count_before);
    };
    let (responses, ()) = join(calls, during).await;
    for response in responses {
        assert_eq!(response.event_ids().len(), 25);
    }
}

/// Guards against an attempt whose silence is counted again and again.
#[actix_rt::test]
async fn silence_counted_twice() {
    let fleet = start(1).await;
    set_fault(&fleet, 0, ServerFault::PauseAtStart, 4000).await;
    let response = fleet.call(0, &stream_request("s1")).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    fleet
        .wait_for_log(0, "name=request_ended request_id=s1")
        .await;
    let log = fleet.read_log(0);
    assert_eq!(log.matches("name=attempt_silent request_id=s1").count(), 1);
}

/// Guards against a third attempt beside the second one when the silent one fails.
#[actix_rt::test]
async fn failed_silent_attempt_adds_one() {
    let config = CONFIG.replace("\"max_attempts\": 2", "\"max_attempts\": 3");
    let options = GatewayFleetOptions::new(config).servers(3);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let first = first_server(&fleet, 3).await;
    for server in 0..3 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 900).await;
    }
    set_fault(&fleet, first, ServerFault::Stall, 0).await;
    let address = fleet.listen_address(0);
    let call = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(address)
            .await
            .expect("a connection to the VM");
        let response = connection.call(&stream_request("s1")).await;
        response.expect("no response from the VM")
    });
    fleet
        .wait_for_log(0, "name=attempt_silent request_id=s1")
        .await;
    fleet.server_process(first).restart();
    let response = call.await.expect("the call");
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    let others = fleet.runs_of_request("s1").await;
    assert_eq!(others.len(), 1, "the restarted server has no record");
}

/// Guards against more attempts than the route allows.
#[actix_rt::test]
async fn silences_exceed_attempts() {
    let fleet = start(4).await;
    for server in 0..4 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 4500).await;
    }
    let response = fleet.call(0, &stream_request("s1")).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert_eq!(fleet.runs_of_request("s1").await.len(), 2);
}

/// Guards against second attempts beyond the retry budget.
#[actix_rt::test]
async fn silences_exceed_budget() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 1500).await;
    }
    let ids: Vec<String> = (0..60).map(|count| format!("r{count}")).collect();
    let requests: Vec<_> = ids
        .iter()
        .map(|id| GatewayRequest::new(id, "/read/x"))
        .collect();
    let calls = requests.iter().map(|request| fleet.call(0, request));
    for response in join_all(calls).await {
        assert_eq!(response.status, 200);
    }
    let runs = fleet.runs(0).await.len() + fleet.runs(1).await.len();
    // Seven tenths of a fifth of 60 requests and of the slack of 60.
    assert!(runs <= 60 + 50, "{runs} runs");
}

/// Guards against a second silent server that no third one is tried beside.
#[actix_rt::test]
async fn second_silence_unnoticed() {
    let config = CONFIG.replace("\"max_attempts\": 2", "\"max_attempts\": 3");
    let options = GatewayFleetOptions::new(config).servers(3);
    let fleet = GatewayFleet::start(BIN, options).await;
    for server in 0..3 {
        set_fault(&fleet, server, ServerFault::Silence, 0).await;
    }
    let request = stream_request("s1");
    let call = fleet.call(0, &request);
    let set = async {
        while fleet.runs_of_request("s1").await.len() < 2 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        for server in 0..3 {
            if fleet.runs(server).await.is_empty() {
                set_fault(&fleet, server, ServerFault::None, 0).await;
            }
        }
    };
    let (response, ()) = join(call, set).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert_eq!(fleet.runs_of_request("s1").await.len(), 3);
}

/// Guards against requests that must not run twice and still count as silent.
#[actix_rt::test]
async fn unrepeatable_request_is_silent() {
    let fleet = start(2).await;
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::PauseAtStart, 800).await;
    }
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(response.status, 200);
    for server in 0..2 {
        set_fault(&fleet, server, ServerFault::Pause, 1600).await;
    }
    let request = GatewayRequest::new("s1", "/single/x")
        .deadline_ms(4000)
        .prompt(1, 9);
    let response = fleet.call(0, &request).await;
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    for id in ["r1", "s1"] {
        assert_eq!(fleet.runs_of_request(id).await.len(), 1, "{id}");
    }
    fleet
        .wait_for_log(0, "name=request_ended request_id=s1")
        .await;
    assert!(!fleet.read_log(0).contains("name=attempt_silent"));
}

/// Guards against a server that counts as silent while it sends data of other requests.
#[actix_rt::test]
async fn busy_server_is_silent() {
    let fleet = start(2).await;
    let first = first_server(&fleet, 2).await;
    let faults = ServerFaults {
        fault: ServerFault::Stall,
        times: 1,
        work_ms: 100,
        events: 40,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(first, &faults).await;
    let stalled_request = stream_request("s1");
    let stalled = fleet.call(0, &stalled_request);
    let other = async {
        while fleet.runs_of_request("s1").await.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        // The stream to the same server ends two seconds after the first one has stalled.
        let response = fleet.call(0, &stream_request("s2")).await;
        assert_eq!(response.event_ids().len(), 40);
        assert_eq!(fleet.runs(first).await.len(), 3);
        assert!(!fleet.read_log(0).contains("name=attempt_silent"));
    };
    let (response, ()) = join(stalled, other).await;
    assert!(response.event_ids().len() >= 19);
}

/// Guards against a stalled server that works on a stream for as long as the next one takes from the head of its
/// response to its first event.
#[actix_rt::test]
async fn stalled_server_works_on() {
    let fleet = start(2).await;
    let first = first_server(&fleet, 2).await;
    set_fault(&fleet, first, ServerFault::Stall, 0).await;
    let slow = ServerFaults {
        first_event_ms: 60_000,
        work_ms: 5,
        events: 5,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(1 - first, &slow).await;
    let address = fleet.listen_address(0);
    let call = actix_rt::spawn(async move {
        let connection = CallerConnection::open(address).await;
        let request = stream_request("stalled");
        connection.expect("a connection").call(&request).await
    });
    let was_closed = async || {
        let runs = fleet.runs(first).await;
        runs.iter()
            .any(|run| run.request_id == "stalled" && run.was_closed)
    };
    while !was_closed().await {
        assert!(
            !call.is_finished(),
            "the stalled server worked until the end of the call"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(
        !call.is_finished(),
        "the stalled server worked until the end of the call"
    );
    call.abort();
}
