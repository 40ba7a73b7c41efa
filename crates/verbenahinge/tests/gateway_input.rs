//! Malformed or oversized requests get a 4xx status. Neither they nor smuggled or incomplete ones run
//! on a backend server, and the VM still serves others after an incomplete one. Unusual but valid
//! requests are forwarded.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).servers(1)).await
}

/// Sends bytes over a new connection and returns everything received within a second.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("a connection to the VM");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    drop(actix_rt::time::timeout(Duration::from_secs(1), read).await);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the head of a request with additional header lines.
fn request_head(id: &str, lines: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: gateway.example\r\nX-Request-Id: {id}\r\n\
         X-Credential: key-one\r\nX-Deadline-Ms: 900\r\n{lines}\r\n"
    )
}

#[actix_rt::test]
async fn smuggled_requests_never_run() {
    let fleet = start().await;
    let inner = request_head("inner", "Content-Length: 0\r\n");
    let lines = format!(
        "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
        inner.len() + 5
    );
    let bytes = format!("{}0\r\n\r\n{inner}", request_head("outer", &lines));
    exchange(fleet.listen_address(0), bytes.as_bytes()).await;
    assert!(fleet.runs_of_request("inner").await.is_empty());
    let twice = request_head("twice", "Content-Length: 1\r\nContent-Length: 2\r\n");
    let response = exchange(fleet.listen_address(0), format!("{twice}ab").as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(fleet.runs_of_request("twice").await.is_empty());
}

#[actix_rt::test]
async fn pipelined_responses_keep_order() {
    let fleet = start().await;
    let first = request_head("first", "Content-Length: 0\r\n");
    let second = request_head("second", "Content-Length: 0\r\n");
    let response = exchange(
        fleet.listen_address(0),
        format!("{first}{second}").as_bytes(),
    )
    .await;
    let first_position = response
        .find("answer to first")
        .expect("the first response");
    let second_position = response
        .find("answer to second")
        .expect("the second response");
    assert!(first_position < second_position);
}

#[actix_rt::test]
async fn malformed_heads_return_400() {
    let fleet = start().await;
    for (id, lines) in [
        ("nul", "X-Odd: a\0b\r\n"),
        ("bare", "X-Odd: a\rb\r\n"),
        ("space", "X-Odd : a\r\n"),
    ] {
        let response = exchange(fleet.listen_address(0), request_head(id, lines).as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{id}: {response}");
        assert!(fleet.runs_of_request(id).await.is_empty());
    }
}

#[actix_rt::test]
async fn oversized_requests_are_rejected() {
    let fleet = start().await;
    let long = format!("X-Long: {}\r\n", "a".repeat(20_000));
    let response = exchange(
        fleet.listen_address(0),
        request_head("long", &long).as_bytes(),
    )
    .await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    let large = GatewayRequest::new("large", "/once/x").body(&"a".repeat(70_000));
    assert_eq!(fleet.call(0, &large).await.status, 413);
    assert!(fleet.runs(0).await.is_empty());
}

#[actix_rt::test]
async fn chunked_bodies_are_forwarded() {
    let fleet = start().await;
    let head = request_head(
        "chunks",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
    );
    let bytes = format!("{head}3\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n");
    let response = exchange(fleet.listen_address(0), bytes.as_bytes()).await;
    assert!(response.contains("answer to chunks"), "{response}");
    assert_eq!(fleet.runs_of_request("chunks").await[0].body, "abcdefg");
}

#[actix_rt::test]
async fn incomplete_requests_never_run() {
    let fleet = start().await;
    let incomplete = format!("{}ab", request_head("half", "Content-Length: 4\r\n"));
    exchange(fleet.listen_address(0), incomplete.as_bytes()).await;
    assert!(fleet.runs_of_request("half").await.is_empty());
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r1", "/once/x"))
            .await
            .status,
        200
    );
}
