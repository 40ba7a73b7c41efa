//! Requests that are refused for crashes and cleared by a success, and records of older builds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prost::Message as _;
use tokio::net::UdpSocket;
use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, GatewayResponse,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Timeout for the rows of the store to change.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the slow server works on a request.
const SLOW_MS: &str = "8000";

/// Message between VMs as builds before the crash records of parts sent it.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderMessage {
    #[prost(fixed64, tag = "1")]
    vm: u64,
    #[prost(message, repeated, tag = "5")]
    crashes: Vec<OlderCrash>,
}

/// Crash record as those builds sent it.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderCrash {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, repeated, tag = "2")]
    crashes: Vec<u64>,
    #[prost(uint32, tag = "3")]
    age_ms: u32,
}

/// Sound request of which all are equal.
fn ping(id: &str) -> GatewayRequest {
    GatewayRequest::new(id, "/once/ping").deadline_ms(20_000)
}

async fn call(address: SocketAddr, request: &GatewayRequest) -> Option<GatewayResponse> {
    let mut connection = CallerConnection::open(address).await.ok()?;
    connection.call(request).await.ok()
}

async fn wait_for_rows(fleet: &GatewayFleet, count: usize) {
    let started = Instant::now();
    while fleet.store_keys("quarantine").await.len() != count {
        assert!(started.elapsed() < STORE_TIMEOUT, "not {count} rows");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Crashes two servers with a request that a slow server runs well at the same time.
async fn crash_beside(fleet: &mut GatewayFleet) {
    let entry = ServerEntry {
        state: ServerState::Draining,
        ..fleet.server_entry(0)
    };
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "server=slow change=draining").await;
    for id in ["crash-1", "crash-2"] {
        fleet
            .add_server_with(id, "service", &["--fault", "crash"])
            .await;
        let added = format!("server={id} change=added");
        fleet.wait_for_log(0, &added).await;
    }
    for count in 0.. {
        if (1..3).all(|server| fleet.server_process(server).has_exited()) {
            return;
        }
        // A VM may choose the server that has just crashed.
        let response = fleet.call(0, &ping(&format!("crash-{count}"))).await;
        assert!(matches!(response.status, 502 | 503), "{}", response.body);
    }
}

/// Guards against equal sound requests that happened to run at two crashes and stay refused though one
/// of them succeeds, also at VMs that start later.
#[actix_rt::test]
async fn cleared_request_refused() {
    let config = CONFIG.replace("\"timeout_ms\": 1000", "\"timeout_ms\": 20000");
    let options = GatewayFleetOptions::new(config).vms(2).servers(0);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    fleet
        .add_server_with("slow", "service", &["--work-ms", SLOW_MS])
        .await;
    fleet.wait_for_log(1, "server=slow change=added").await;
    let address = fleet.listen_address(1);
    let long = actix_rt::spawn(async move { call(address, &ping("long")).await });
    while fleet.runs(0).await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    crash_beside(&mut fleet).await;
    for vm in 0..2 {
        fleet.wait_for_log(vm, "quarantined=true").await;
    }
    wait_for_rows(&fleet, 1).await;
    fleet.add_server("sound", "service").await;
    for vm in 0..2 {
        let added = "server=sound change=added";
        fleet.wait_for_log(vm, added).await;
        let refused = fleet.call(vm, &ping(&format!("refused-{vm}"))).await;
        assert_eq!(refused.status, 503, "{}", refused.body);
    }
    let response = long.await.expect("the task ended").expect("a response");
    assert_eq!(response.status, 200, "{}", response.body);
    wait_for_rows(&fleet, 0).await;
    for vm in 0..2 {
        let request = ping(&format!("free-{vm}"));
        fleet.wait_for_status(vm, &request, 200).await;
    }
    fleet.vm_process(0).kill();
    fleet.vm_process(0).restart();
    fleet.wait_until_ready(0).await;
    let response = fleet.call(0, &ping("after")).await;
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Guards against records of older builds, which have no scope, that are not understood.
#[actix_rt::test]
async fn older_records_lost() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let message = OlderMessage {
        vm: 99,
        crashes: vec![OlderCrash {
            fingerprint: 0x2a,
            crashes: vec![1, 2],
            age_ms: 500,
        }],
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    socket
        .send_to(&message.encode_to_vec(), fleet.peer_address(0))
        .await
        .expect("the datagram is sent");
    let learned = "name=crash_record_learned fingerprint=000000000000002a";
    let line = fleet.wait_for_log_after(0, 0, learned).await;
    assert!(line.contains("quarantined=true"), "{line}");
    wait_for_rows(&fleet, 1).await;
}
