//! Requests whose callers have left do not reach a server later.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use verbenahinge_core::gateway::ServerEntry;
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Guards against requests that wait in a socket for a slow link and are sent after the caller has left.
#[actix_rt::test]
async fn unsent_bytes_dropped() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).servers(0)).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(4096)
        .expect("a small receive buffer");
    let address = "127.0.0.1:0".parse().expect("an address");
    socket.bind(address).expect("a free port");
    let listener = socket.listen(16).expect("a listener");
    let address = listener.local_addr().expect("the address");
    let entry = ServerEntry::new("slow", "service", address).availability_zone("a");
    fleet.register(&entry).await;
    fleet
        .wait_for_log(0, "name=server_listed server=slow")
        .await;
    let mut caller = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let body = "x".repeat(30_000);
    let request = GatewayRequest::new("r1", "/once/x").body(&body);
    let call = actix_rt::spawn(async move { caller.call(&request).await });
    let (mut stream, _) = listener.accept().await.expect("a connection of the VM");
    let mut first = [0; 16];
    stream
        .read_exact(&mut first)
        .await
        .expect("the first bytes");
    // The rest waits in the VM's socket for room at the server.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    call.abort();
    fleet.wait_for_log(0, "outcome=caller_gone").await;
    let mut rest = Vec::new();
    let result = stream.read_to_end(&mut rest).await;
    assert!(result.is_err(), "{} more bytes arrived", rest.len());
    assert!(rest.len() < body.len(), "{} more bytes arrived", rest.len());
}
