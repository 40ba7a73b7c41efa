//! Requests that are read or served while the configuration, the registry or the settings change end
//! with their whole response.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, GatewayResponse,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// A configuration without routes, services, client accounts and limits.
const EMPTY_CONFIG: &str = r#"{"version": 8}"#;

/// Number of events of a stream, which takes two seconds.
const EVENTS: u64 = 20;

async fn start() -> GatewayFleet {
    // Attempts are not given up before the servers respond.
    let config = CONFIG
        .replace("target_latency_ms\": 200", "target_latency_ms\": 5000")
        .replace("timeout_ms\": 1000", "timeout_ms\": 8000")
        .replace("timeout_ms\": 2000", "timeout_ms\": 8000");
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(config)).await;
    set_faults(&fleet, ServerFault::None).await;
    fleet
}

async fn set_faults(fleet: &GatewayFleet, fault: ServerFault) {
    for server in 0..2 {
        let faults = ServerFaults {
            fault,
            work_ms: 100,
            events: EVENTS,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
}

type PendingCall = JoinHandle<hyper::Result<GatewayResponse>>;

/// Sends a request on a connection of its own.
async fn send(fleet: &GatewayFleet, path: &str, is_stream: bool) -> PendingCall {
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let mut request = GatewayRequest::new(path, path).deadline_ms(8000);
    if is_stream {
        request = request.prompt(1, 2);
    }
    actix_rt::spawn(async move { connection.call(&request).await })
}

/// Requests to all kinds of routes, in flight at a server.
async fn send_all(fleet: &GatewayFleet) -> Vec<(&'static str, PendingCall)> {
    let mut calls = Vec::new();
    for path in ["/stream/x", "/single/x"] {
        calls.push((path, send(fleet, path, true).await));
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    for (path, work_ms) in [("/read/x", 1500), ("/once/x", 800)] {
        for server in 0..2 {
            let faults = ServerFaults {
                work_ms,
                ..ServerFaults::default()
            };
            fleet.set_server_faults(server, &faults).await;
        }
        calls.push((path, send(fleet, path, false).await));
        while fleet.runs_of_request(path).await.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
    calls
}

/// Waits for all calls and checks that each got its whole response.
async fn assert_whole(calls: Vec<(&'static str, PendingCall)>) {
    for (path, call) in calls {
        let response = call.await.expect("the caller's task").expect("a response");
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{path}"
        );
        if path == "/stream/x" || path == "/single/x" {
            let ids: Vec<u64> = (1..=EVENTS).collect();
            assert_eq!(response.event_ids(), ids, "{path}");
        } else {
            assert_eq!(response.body, format!("answer to {path}"));
        }
    }
}

#[actix_rt::test]
async fn routes_removed_in_flight() {
    let fleet = start().await;
    let calls = send_all(&fleet).await;
    fleet.write_config(EMPTY_CONFIG).await;
    fleet.wait_for_log(0, "config_in_force version=8").await;
    let request = GatewayRequest::new("late", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 404);
    assert_whole(calls).await;
}

#[actix_rt::test]
async fn servers_removed_in_flight() {
    let fleet = start().await;
    let calls = send_all(&fleet).await;
    for server in 0..2 {
        fleet.unregister(server).await;
        let removed = format!("server=server-{server} change=removed");
        fleet.wait_for_log(0, &removed).await;
    }
    let request = GatewayRequest::new("late", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 503);
    assert_whole(calls).await;
}

#[actix_rt::test]
async fn settings_changed_in_flight() {
    let mut fleet = start().await;
    let calls = send_all(&fleet).await;
    for count in 1..4 {
        let length = fleet.read_log(0).len();
        fleet.change_settings(0, |settings| {
            settings.bounds.retry_slack += f64::from(count);
            settings.bounds.config_apply += Duration::from_millis(100);
            settings.memory_mb += 1;
        });
        let reloaded = "name=reloaded cause=signal";
        fleet.wait_for_log_after(0, length, reloaded).await;
    }
    assert_whole(calls).await;
}

/// A stream goes on at another server though its route has left the configuration.
#[actix_rt::test]
async fn broken_stream_of_removed_route() {
    let fleet = start().await;
    set_faults(&fleet, ServerFault::BreakOff).await;
    let call = send(&fleet, "/stream/x", true).await;
    let mut server = 0;
    while fleet.runs(server).await.is_empty() {
        server = 1 - server;
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let faults = ServerFaults {
        work_ms: 20,
        events: EVENTS,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(1 - server, &faults).await;
    fleet.write_config(EMPTY_CONFIG).await;
    fleet.wait_for_log(0, "config_in_force version=8").await;
    assert_whole(vec![("/stream/x", call)]).await;
    assert_eq!(fleet.runs_of_request("/stream/x").await.len(), 2);
}
