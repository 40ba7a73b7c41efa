//! Limits on callers that a changed configuration sets hold on connections that were opened before
//! it, and no limit cuts off a request that is being served.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Timeout for a connection to close or a response to arrive.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// More than the timeouts of [`SHORT`] and the time that a configuration takes to spread.
const LONGER_THAN_SHORT: Duration = Duration::from_secs(6);

/// Limits of a configuration.
struct Limits {
    head_bytes: usize,
    body_bytes: usize,
    head_timeout_ms: u64,
    idle_timeout_ms: u64,
}

const LONG: Limits = Limits {
    head_bytes: 40_000,
    body_bytes: 200_000,
    head_timeout_ms: 600_000,
    idle_timeout_ms: 600_000,
};

const SHORT: Limits = Limits {
    head_bytes: 10_000,
    body_bytes: 50_000,
    head_timeout_ms: 3000,
    idle_timeout_ms: 3000,
};

fn config(version: u64, limits: &Limits) -> String {
    CONFIG
        .replace("\"version\": 7", &format!("\"version\": {version}"))
        .replace("16384", &limits.head_bytes.to_string())
        .replace("65536", &limits.body_bytes.to_string())
        .replace("_ms\": 3000", &format!("_ms\": {}", limits.head_timeout_ms))
        .replace(
            "_ms\": 15000",
            &format!("_ms\": {}", limits.idle_timeout_ms),
        )
}

async fn start(limits: &Limits) -> GatewayFleet {
    let options = GatewayFleetOptions::new(config(7, limits)).servers(1);
    GatewayFleet::start(BIN, options).await
}

/// Brings other limits into force.
async fn change_limits(fleet: &GatewayFleet, limits: &Limits) {
    fleet.write_config(&config(8, limits)).await;
    fleet.wait_for_log(0, "config_in_force version=8").await;
}

async fn open(fleet: &GatewayFleet) -> TcpStream {
    TcpStream::connect(fleet.listen_address(0))
        .await
        .expect("a connection to the VM")
}

fn head(id: &str, body_length: usize, padding: usize) -> String {
    format!(
        "POST /read/x HTTP/1.1\r\nHost: gateway.example\r\nX-Request-Id: {id}\r\n\
         X-Credential: key-one\r\nX-Padding: {}\r\nContent-Length: {body_length}\r\n\r\n",
        "a".repeat(padding)
    )
}

fn stream_head(id: &str, body_length: usize) -> String {
    head(id, body_length, 0)
        .replace("/read/x", "/stream/x")
        .replace("X-Padding", "X-Token-Usage: 100,10\r\nX-Padding")
}

/// Reads until the response to a request is there.
async fn read_answer(stream: &mut TcpStream, id: &str) {
    read_until(stream, &format!("answer to {id}")).await;
}

/// Reads until a text is there.
async fn read_until(stream: &mut TcpStream, text: &str) {
    let mut received = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&received).contains(text) {
            let length = stream.read_buf(&mut received).await.expect("a response");
            assert!(length > 0, "the connection closed before {text:?}");
        }
    };
    actix_rt::time::timeout(SETTLE_TIMEOUT, read)
        .await
        .expect("a response in time");
}

/// Waits until the VM closes a connection, and returns what it sent before.
async fn read_until_close(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let result = actix_rt::time::timeout(SETTLE_TIMEOUT, read).await;
    // A reset closes the connection too.
    drop(result.expect("the connection stays open"));
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against connections that keep the idle timeout under which they were opened.
#[actix_rt::test]
async fn raised_idle_timeout() {
    let fleet = start(&SHORT).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let mut unused = open(&fleet).await;
    for id in ["r1", "r2"] {
        let request = GatewayRequest::new(id, "/read/x");
        let response = connection.call(&request).await.expect("a response");
        assert_eq!(response.status, 200);
        if id == "r1" {
            change_limits(&fleet, &LONG).await;
            actix_rt::time::sleep(LONGER_THAN_SHORT).await;
        }
    }
    let request = head("r3", 0, 0);
    unused.write_all(request.as_bytes()).await.expect("sent");
    read_answer(&mut unused, "r3").await;
}

/// Guards against idle connections that stay open for longer than a lowered timeout.
#[actix_rt::test]
async fn lowered_idle_timeout() {
    let fleet = start(&LONG).await;
    let mut used = open(&fleet).await;
    let mut unused = open(&fleet).await;
    let request = head("r1", 0, 0);
    used.write_all(request.as_bytes()).await.expect("sent");
    read_answer(&mut used, "r1").await;
    change_limits(&fleet, &SHORT).await;
    assert_eq!(read_until_close(&mut used).await, "");
    assert_eq!(read_until_close(&mut unused).await, "");
}

/// Guards against a head that is given up by the timeout under which its connection was opened.
#[actix_rt::test]
async fn raised_head_timeout() {
    let fleet = start(&SHORT).await;
    let mut stream = open(&fleet).await;
    let request = head("r1", 0, 0);
    let (first, second) = request.split_at(40);
    stream.write_all(first.as_bytes()).await.expect("sent");
    change_limits(&fleet, &LONG).await;
    actix_rt::time::sleep(LONGER_THAN_SHORT).await;
    stream.write_all(second.as_bytes()).await.expect("sent");
    read_answer(&mut stream, "r1").await;
}

#[actix_rt::test]
async fn lowered_head_timeout() {
    let fleet = start(&LONG).await;
    let mut stream = open(&fleet).await;
    stream.write_all(b"POST /read/").await.expect("sent");
    change_limits(&fleet, &SHORT).await;
    read_until_close(&mut stream).await;
}

#[actix_rt::test]
async fn slow_callers_are_closed() {
    let fleet = start(&SHORT).await;
    let mut silent = open(&fleet).await;
    let mut slow = open(&fleet).await;
    let (mut reader, mut writer) = slow.split();
    let trickle = async {
        let request = head("r1", 0, 10_000);
        for byte in request.as_bytes().chunks(1) {
            if writer.write_all(byte).await.is_err() {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let mut received = Vec::new();
    tokio::select! {
        () = trickle => {}
        _ = reader.read_to_end(&mut received) => {}
        () = actix_rt::time::sleep(SETTLE_TIMEOUT) => panic!("the connection stays open"),
    }
    assert_eq!(read_until_close(&mut silent).await, "");
    assert!(fleet.runs(0).await.is_empty());
}

/// Guards against a connection that a caller holds for good with half a body.
#[actix_rt::test]
async fn half_a_body() {
    let fleet = start(&SHORT).await;
    let mut stream = open(&fleet).await;
    let request = head("r1", 4, 0);
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream.write_all(b"bo").await.expect("sent");
    let received = read_until_close(&mut stream).await;
    assert!(received.starts_with("HTTP/1.1 408"), "{received}");
    assert!(fleet.runs(0).await.is_empty());
}

/// Guards against connections that keep the maximum sizes under which they were opened.
#[actix_rt::test]
async fn changed_sizes() {
    let fleet = start(&SHORT).await;
    let mut stream = open(&fleet).await;
    let request = head("r1", 0, 0);
    stream.write_all(request.as_bytes()).await.expect("sent");
    read_answer(&mut stream, "r1").await;
    change_limits(&fleet, &LONG).await;
    let request = head("r2", 150_000, 30_000);
    stream.write_all(request.as_bytes()).await.expect("sent");
    let body = vec![b'a'; 150_000];
    stream.write_all(&body).await.expect("sent");
    read_answer(&mut stream, "r2").await;
    fleet.write_config(&config(9, &SHORT)).await;
    fleet.wait_for_log(0, "config_in_force version=9").await;
    for (id, body_length, padding, status) in [("r3", 60_000, 0, "413"), ("r4", 0, 12_000, "431")] {
        let mut request = head(id, body_length, padding).into_bytes();
        request.extend_from_slice(&vec![b'a'; body_length]);
        stream.write_all(&request).await.expect("sent");
        let mut received = vec![0; 12];
        let read = stream.read_exact(&mut received);
        actix_rt::time::timeout(SETTLE_TIMEOUT, read)
            .await
            .expect("a response in time")
            .expect("a response");
        let text = String::from_utf8_lossy(&received);
        assert_eq!(text, format!("HTTP/1.1 {status}"), "{id}");
        stream = open(&fleet).await;
    }
    assert_eq!(fleet.runs(0).await.len(), 2);
}

/// A head that is larger than the buffer of an open connection needs a new one, so the caller is told
/// that the open one closes.
#[actix_rt::test]
async fn large_heads_need_connections() {
    let fleet = start(&SHORT).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let large = Limits {
        head_bytes: 100_000,
        ..LONG
    };
    for (id, closes) in [("r1", false), ("r2", true)] {
        let request = GatewayRequest::new(id, "/read/x");
        let response = connection.call(&request).await.expect("a response");
        let seen = (response.status, response.closes_connection());
        assert_eq!(seen, (200, closes));
        change_limits(&fleet, &large).await;
    }
    let mut stream = open(&fleet).await;
    let request = head("r3", 0, 90_000);
    stream.write_all(request.as_bytes()).await.expect("sent");
    read_answer(&mut stream, "r3").await;
}

/// Guards against idle timeouts that fire, after a suspension of the VM, before a request is read that
/// has arrived meanwhile.
#[actix_rt::test]
async fn suspension_spares_requests() {
    let mut fleet = start(&SHORT).await;
    let mut stream = open(&fleet).await;
    let request = head("r1", 0, 0);
    stream.write_all(request.as_bytes()).await.expect("sent");
    read_answer(&mut stream, "r1").await;
    fleet.vm_process(0).suspend();
    let request = head("r2", 0, 0);
    stream.write_all(request.as_bytes()).await.expect("sent");
    actix_rt::time::sleep(LONGER_THAN_SHORT).await;
    fleet.vm_process(0).resume();
    // Its time was up before it could be read.
    read_until(
        &mut stream,
        "HTTP/1.1 503 Service Unavailable\r\nx-request-id: r2",
    )
    .await;
}

/// Guards against a low timeout that ends a request which is being read or served.
#[actix_rt::test]
async fn low_timeouts_spare_requests() {
    let fleet = start(&LONG).await;
    let faults = ServerFaults {
        work_ms: 100,
        events: 30,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(0, &faults).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let reader = actix_rt::spawn(async move {
        let request = GatewayRequest::new("s1", "/stream/x")
            .deadline_ms(8000)
            .prompt(1, 2);
        connection.call(&request).await
    });
    let mut stream = open(&fleet).await;
    let request = stream_head("s2", 4);
    stream.write_all(request.as_bytes()).await.expect("sent");
    let lowest = Limits {
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
        ..SHORT
    };
    change_limits(&fleet, &lowest).await;
    actix_rt::time::sleep(Duration::from_millis(2500)).await;
    stream.write_all(b"body").await.expect("sent");
    read_until(&mut stream, "id: 30\n").await;
    let response = reader
        .await
        .expect("the caller's task")
        .expect("a response");
    assert!(response.is_complete);
    assert_eq!(response.event_ids().len(), 30);
}
