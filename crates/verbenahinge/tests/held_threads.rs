//! A VM whose thread was held (here by a signal) loses no answer that arrived meanwhile.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, GatewayResponse,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start(work_ms: u64, events: u64) -> GatewayFleet {
    start_with(CONFIG, work_ms, events).await
}

async fn start_with(config: &str, work_ms: u64, events: u64) -> GatewayFleet {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(config)).await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms,
            events,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    fleet
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Stops the process of the VM for a while.
async fn hold(fleet: &mut GatewayFleet, hold_ms: u64) {
    fleet.vm_process(0).suspend();
    sleep_ms(hold_ms).await;
    fleet.vm_process(0).resume();
}

/// Sends the request on a new connection and stops the VM while the server works on it.
async fn call_held(
    fleet: &mut GatewayFleet,
    request: &GatewayRequest,
    hold_ms: u64,
) -> GatewayResponse {
    let address = fleet.listen_address(0);
    let request = request.clone();
    let call = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(address)
            .await
            .expect("a connection to the VM");
        connection.call(&request).await
    });
    sleep_ms(50).await;
    hold(fleet, hold_ms).await;
    call.await
        .expect("the call does not panic")
        .expect("a response of the VM")
}

#[actix_rt::test]
async fn holds_logged() {
    let mut fleet = start(5, 5).await;
    hold(&mut fleet, 600).await;
    fleet.wait_for_log(0, "name=thread_held held_ms=").await;
    let text = fleet.fetch_control(0, "/metrics").await;
    let line = "verbenahinge_gateway_timer_delay_seconds_bucket{le=\"0.3\"} ";
    assert!(text.contains(line), "{line} not in {text}");
}

/// Guards against timers that end an attempt though its answer waits in the socket.
#[actix_rt::test]
async fn answers_arrive_while_held() {
    let mut fleet = start(200, 8).await;
    for (path, hold_ms) in [("/stream/x", 1700), ("/read/x", 1000), ("/once/x", 1200)] {
        let mut request = GatewayRequest::new(path, path).deadline_ms(7000);
        if path == "/stream/x" {
            request = request.prompt(1, 2);
        }
        let response = call_held(&mut fleet, &request, hold_ms).await;
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{path}"
        );
        assert_eq!(fleet.runs_of_request(path).await.len(), 1, "{path}");
    }
}

/// Guards against an idle timeout that closes a connection whose next request waits in the socket.
#[actix_rt::test]
async fn requests_arrive_while_held() {
    let config = CONFIG
        .replace("\"idle_timeout_ms\": 15000", "\"idle_timeout_ms\": 900")
        .replace("\"header_timeout_ms\": 3000", "\"header_timeout_ms\": 900");
    let mut fleet = start_with(&config, 5, 5).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let first = connection.call(&GatewayRequest::new("r1", "/read/x")).await;
    assert_eq!(first.expect("a response").status, 200);
    fleet.vm_process(0).suspend();
    let second = actix_rt::spawn(async move {
        let request = GatewayRequest::new("r2", "/read/x").deadline_ms(7000);
        connection.call(&request).await
    });
    sleep_ms(1500).await;
    fleet.vm_process(0).resume();
    let second = second.await.expect("the call does not panic");
    assert_eq!(second.expect("a response").status, 200);
}

/// Guards against requests that are sent on though their callers left, or stopped waiting, during a
/// hold.
#[actix_rt::test]
async fn late_requests_not_sent() {
    let mut fleet = start(100, 3).await;
    let address = fleet.listen_address(0);
    for path in ["/read/x", "/once/x", "/single/x"] {
        let request = |name: &str| {
            let request = GatewayRequest::new(format!("{name}{path}"), path);
            match path {
                "/single/x" => request.prompt(1, 2),
                _ => request,
            }
        };
        let open = async || CallerConnection::open(address).await.expect("a connection");
        let mut kept = open().await;
        let warm = kept.call(&request("warm")).await.expect("a response");
        assert_eq!(warm.status, 200);
        fleet.vm_process(0).suspend();
        let mut left = open().await;
        let mut waiting = open().await;
        let limit = Duration::from_millis(300);
        for (connection, name) in [(&mut kept, "kept"), (&mut left, "left")] {
            let request = request(name);
            let call = actix_rt::time::timeout(limit, connection.call(&request));
            assert!(call.await.is_err(), "the VM is stopped");
        }
        drop((kept, left));
        let expired = request("expired").deadline_ms(400);
        let call = actix_rt::spawn(async move { waiting.call(&expired).await });
        sleep_ms(900).await;
        fleet.vm_process(0).resume();
        let response = call.await.expect("the call does not panic");
        assert_eq!(response.expect("a response").status, 503, "{path}");
        // What the VM reads in the first passes after a hold may have arrived during it.
        sleep_ms(50).await;
        let response = fleet.call(0, &request("later")).await;
        assert_eq!(response.status, 200, "{path}");
        for name in ["kept", "left", "expired"] {
            let runs = fleet.runs_of_request(&format!("{name}{path}")).await;
            assert_eq!(runs.len(), 0, "{name}{path}");
        }
    }
}
