//! Servers that are up but lose their connections, or that leave, are not taken for crashed ones.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Whether a reset is seen when a connection is opened or only after that is a race.
const ROUNDS: usize = 8;

/// Time after which a check of a server for a crash has ended.
const CHECKED: Duration = Duration::from_secs(1);

/// Time in which a loopback listener accepts a connection unless its queue is full.
const ACCEPT_TIME: Duration = Duration::from_millis(100);

/// Guards against a request that is refused because connections to its servers were reset, and new ones
/// too once they were open.
#[actix_rt::test]
async fn resets_quarantine_request() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let mut proxies = Vec::new();
    for server in 0..2 {
        let mut entry = fleet.server_entry(server);
        let proxy = Proxy::start(entry.address).await;
        entry.address = proxy.address();
        fleet.register(&entry).await;
        let updated = format!("server={} change=updated", entry.id);
        fleet.wait_for_log(0, &updated).await;
        proxies.push(proxy);
    }
    for round in 0..ROUNDS {
        break_connections(&fleet, &proxies, round).await;
    }
}

/// Resets the connections of two requests, and all connections while their servers are checked for a
/// crash.
async fn break_connections(fleet: &GatewayFleet, proxies: &[Proxy], round: usize) {
    let path = format!("/once/{round}");
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::Silence, 0)
            .await;
    }
    let ids = [0, 1].map(|index| format!("r{round}-{index}"));
    let reset_links = async {
        for id in &ids {
            while fleet.runs_of_request(id).await.is_empty() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
        for proxy in proxies {
            proxy.set_fault(LinkFault::Reset);
        }
    };
    let requests = [&ids[0], &ids[1]].map(|id| GatewayRequest::new(id, &path));
    let calls = join_all(requests.iter().map(|request| fleet.call(0, request)));
    let (responses, ()) = tokio::join!(calls, reset_links);
    for response in responses {
        assert_eq!(response.status, 502);
    }
    // The servers are checked for a crash meanwhile.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    for (server, proxy) in proxies.iter().enumerate() {
        proxy.set_fault(LinkFault::None);
        fleet.set_server_fault(server, ServerFault::None, 0).await;
    }
    let request = GatewayRequest::new(format!("r{round}-after"), &path);
    fleet.wait_for_status(0, &request, 200).await;
}

/// Guards against a server that is cut off being taken for a crashed one: its connections break, and new
/// ones time out.
#[actix_rt::test]
async fn cut_off_server_crashed() {
    let options = GatewayFleetOptions::new(CONFIG).vms(1).servers(1);
    let fleet = GatewayFleet::start(BIN, options).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let entry = ServerEntry {
        address: listener.local_addr().expect("the local address"),
        ..fleet.server_entry(0)
    };
    fleet.register(&entry).await;
    let updated = format!("server={} change=updated", entry.id);
    fleet.wait_for_log(0, &updated).await;
    let request = GatewayRequest::new("r1", "/once/x");
    let (response, _queue) = tokio::join!(fleet.call(0, &request), cut_off(&listener));
    assert_eq!(response.status, 502);
    actix_rt::time::sleep(CHECKED).await;
    let log = fleet.read_log(0);
    assert!(!log.contains("name=server_crashed"), "{log}");
}

/// Resets the connection of a request while the queue for new connections is full; returns what fills
/// the queue.
async fn cut_off(listener: &TcpListener) -> Vec<TcpStream> {
    let mut others = Vec::new();
    let connection = loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 64];
        let read = actix_rt::time::timeout(ACCEPT_TIME, stream.read(&mut head)).await;
        if read.is_ok() && head.starts_with(b"POST /once/x") {
            break stream;
        }
        others.push(stream);
    };
    let address = listener.local_addr().expect("the local address");
    while let Ok(Ok(stream)) =
        actix_rt::time::timeout(ACCEPT_TIME, TcpStream::connect(address)).await
    {
        others.push(stream);
    }
    connection.set_zero_linger().expect("an open connection");
    others
}

/// How a server tells that it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notice {
    /// By its registry entry.
    Entry,
    /// In its answer to another request.
    Answer,
}

/// Guards against a server that has left as planned being taken for a crashed one.
#[actix_rt::test]
async fn leaving_server_crashed() {
    for notice in [Notice::Entry, Notice::Answer] {
        let options = GatewayFleetOptions::new(CONFIG).vms(1).servers(1);
        let mut fleet = GatewayFleet::start(BIN, options).await;
        fleet.set_server_fault(0, ServerFault::Silence, 0).await;
        let request = GatewayRequest::new("r1", "/once/x").deadline_ms(5000);
        let address = fleet.listen_address(0);
        let call = actix_rt::spawn(async move {
            let mut caller = CallerConnection::open(address).await.expect("a connection");
            caller.call(&request).await.expect("a response").status
        });
        while fleet.runs_of_request("r1").await.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        give_notice(&fleet, notice).await;
        fleet.server_process(0).kill();
        assert_eq!(call.await.expect("the task ended"), 502);
        actix_rt::time::sleep(CHECKED).await;
        let log = fleet.read_log(0);
        assert!(!log.contains("name=server_crashed"), "{notice:?} {log}");
    }
}

/// Has server 0 say that it leaves, and waits until the VM knows.
async fn give_notice(fleet: &GatewayFleet, notice: Notice) {
    let entry = fleet.server_entry(0);
    match notice {
        Notice::Entry => {
            let entry = ServerEntry {
                state: ServerState::Draining,
                ..entry
            };
            fleet.register(&entry).await;
            let draining = format!("server={} change=draining", entry.id);
            fleet.wait_for_log(0, &draining).await;
        }
        Notice::Answer => {
            let faults = ServerFaults {
                is_leaving: true,
                ..ServerFaults::default()
            };
            fleet.set_server_faults(0, &faults).await;
            let response = fleet.call(0, &GatewayRequest::new("r2", "/read/x")).await;
            assert_eq!(response.status, 200);
            let leaving = format!("name=server_leaving server={}", entry.id);
            fleet.wait_for_log(0, &leaving).await;
        }
    }
}
