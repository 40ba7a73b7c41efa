//! Large tables reach VMs whose links are slow, and requests are served beside them.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Configuration with additional routes `/extra0/`, `/extra1/` and so on.
fn config_with_routes(version: u64, routes: usize) -> String {
    let mut text = String::new();
    for index in 0..routes {
        write!(
            text,
            "{{\"name\": \"extra-{index}\", \"hostname\": \"gateway.example\", \
             \"prefix\": \"/extra{index}/\", \"route_type\": \"safe\", \"timeout_ms\": 2000, \
             \"target_latency_ms\": 200, \"priority\": 2, \"service\": \"service\"}}, "
        )
        .expect("writing to a string succeeds");
    }
    CONFIG
        .replace("\"version\": 7", &format!("\"version\": {version}"))
        .replace("\"routes\": [", &format!("\"routes\": [{text}"))
}

/// Guards against a response of the store that is given up though it is still arriving.
#[actix_rt::test]
async fn slow_store_responses_read() {
    let options = GatewayFleetOptions::new(config_with_routes(7, 1_000)).vms(0);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    proxy.set_fault(LinkFault::Delay(Duration::from_millis(150)));
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(0).await;
    let response = fleet
        .call(0, &GatewayRequest::new("r1", "/extra999/x"))
        .await;
    assert_eq!(response.status, 200);
    assert!(!fleet.read_log(0).contains("name=platform_unavailable"));
}

/// Requests the whole table of the configuration on a connection that takes in a few kilobytes at most;
/// returns the connection and the status of the response.
async fn request_table(address: SocketAddr) -> (TcpStream, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(4096)
        .expect("a small receive buffer");
    let mut stream = socket.connect(address).await.expect("a connection");
    let request = b"GET /gateway/feeds/1/0 HTTP/1.1\r\nhost: vm\r\n\r\n";
    stream.write_all(request).await.expect("a request");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a status");
    (stream, String::from_utf8_lossy(&status).into_owned())
}

/// Guards against a link that is filled by tables for other VMs, so that answers wait behind them.
#[actix_rt::test]
async fn table_transfers_limited() {
    let options = GatewayFleetOptions::new(config_with_routes(7, 16_000));
    let fleet = GatewayFleet::start(BIN, options).await;
    let address = fleet.control_address(0);
    let mut connections = Vec::new();
    let mut statuses = Vec::new();
    for _ in 0..5 {
        let (connection, status) = request_table(address).await;
        connections.push(connection);
        statuses.push(status);
    }
    let expected = ["200", "200", "503", "503", "503"].map(|code| format!("HTTP/1.1 {code}"));
    assert_eq!(statuses, expected);
    drop(connections);
    let started = Instant::now();
    while request_table(address).await.1 != expected[0] {
        assert!(started.elapsed() < Duration::from_secs(20));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that are answered 404 for a route of a version in force, or sent on after their
/// deadline, beside a large configuration.
#[actix_rt::test]
async fn requests_beside_large_configs() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let address = fleet.listen_address(0);
    let is_stopped = Rc::new(Cell::new(false));
    let stop = Rc::clone(&is_stopped);
    let caller = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(address)
            .await
            .expect("a connection to the VM");
        let mut statuses = BTreeSet::new();
        let mut count = 0;
        while !stop.get() {
            let request = GatewayRequest::new(format!("r{count}"), "/read/x").deadline_ms(1500);
            let response = connection.call(&request).await.expect("a response");
            statuses.insert(response.status);
            count += 1;
        }
        statuses
    });
    for (version, routes) in [(8, 4_000), (9, 8_000), (10, 500)] {
        fleet
            .write_config(&config_with_routes(version, routes))
            .await;
        fleet
            .wait_for_log(0, &format!("config_in_force version={version} "))
            .await;
        let path = format!("/extra{}/x", routes - 1);
        let response = fleet
            .call(0, &GatewayRequest::new(path.clone(), &path))
            .await;
        assert_eq!(response.status, 200, "{path}");
    }
    // The routes that the last version lacks are gone.
    let response = fleet
        .call(0, &GatewayRequest::new("gone", "/extra501/x"))
        .await;
    assert_eq!(response.status, 404);
    is_stopped.set(true);
    let statuses = caller.await.expect("the caller does not panic");
    assert_eq!(statuses, BTreeSet::from([200]));
}
