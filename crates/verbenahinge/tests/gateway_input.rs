//! What callers send wrongly gets a clear answer, runs nowhere and harms nobody beside it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenahinge_testkit::{GatewayFleet, GatewayOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayOptions::new(CONFIG).servers(1)).await
}

/// Sends bytes and returns all that comes back within a second.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a VM");
    stream.write_all(bytes).await.expect("bytes are taken");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    drop(actix_rt::time::timeout(Duration::from_secs(1), read).await);
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(id: &str, lines: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: gateway.example\r\nX-Request-Id: {id}\r\n\
         X-Credential: key-one\r\nX-Deadline-Ms: 900\r\n{lines}\r\n"
    )
}

#[actix_rt::test]
async fn smuggled_requests_run_nowhere() {
    let fleet = start().await;
    let inner = head("inner", "Content-Length: 0\r\n");
    let lines = format!(
        "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
        inner.len() + 5
    );
    let bytes = format!("{}0\r\n\r\n{inner}", head("outer", &lines));
    exchange(fleet.listen(0), bytes.as_bytes()).await;
    assert!(fleet.runs_of("inner").await.is_empty());
    let twice = head("twice", "Content-Length: 1\r\nContent-Length: 2\r\n");
    let answer = exchange(fleet.listen(0), format!("{twice}ab").as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(fleet.runs_of("twice").await.is_empty());
}

#[actix_rt::test]
async fn pipelined_requests_keep_their_order() {
    let fleet = start().await;
    let first = head("first", "Content-Length: 0\r\n");
    let second = head("second", "Content-Length: 0\r\n");
    let answer = exchange(fleet.listen(0), format!("{first}{second}").as_bytes()).await;
    let of_first = answer.find("answer to first").expect("the first answer");
    let of_second = answer.find("answer to second").expect("the second answer");
    assert!(of_first < of_second);
}

#[actix_rt::test]
async fn malformed_heads_are_refused() {
    let fleet = start().await;
    for (id, lines) in [
        ("nul", "X-Odd: a\0b\r\n"),
        ("bare", "X-Odd: a\rb\r\n"),
        ("space", "X-Odd : a\r\n"),
    ] {
        let answer = exchange(fleet.listen(0), head(id, lines).as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{id}: {answer}");
        assert!(fleet.runs_of(id).await.is_empty());
    }
}

#[actix_rt::test]
async fn oversized_requests_are_refused() {
    let fleet = start().await;
    let long = format!("X-Long: {}\r\n", "a".repeat(20_000));
    let answer = exchange(fleet.listen(0), head("long", &long).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let large = GatewayRequest::new("large", "/once/x").body(&"a".repeat(70_000));
    assert_eq!(fleet.call(0, &large).await.status, 413);
    assert!(fleet.runs(0).await.is_empty());
}

#[actix_rt::test]
async fn chunked_bodies_arrive_whole() {
    let fleet = start().await;
    let head = head(
        "chunks",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
    );
    let bytes = format!("{head}3\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n");
    let answer = exchange(fleet.listen(0), bytes.as_bytes()).await;
    assert!(answer.contains("answer to chunks"), "{answer}");
    assert_eq!(fleet.runs_of("chunks").await[0].body, "abcdefg");
}

#[actix_rt::test]
async fn half_sent_requests_run_nowhere() {
    let fleet = start().await;
    let half = format!("{}ab", head("half", "Content-Length: 4\r\n"));
    exchange(fleet.listen(0), half.as_bytes()).await;
    assert!(fleet.runs_of("half").await.is_empty());
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r1", "/once/x"))
            .await
            .status,
        200
    );
}
