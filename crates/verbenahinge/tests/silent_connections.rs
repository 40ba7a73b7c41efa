//! Open connections that go silent for good, without a reset, while new ones work: between VMs, and to the store.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use prost::Message;
use tokio::net::UdpSocket;
use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_platform::store::{OPERATOR_TABLE, SERVER_TABLE};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, Proxy,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Requests that a VM hands over to another one at the same time, before their connections go silent.
const KEPT: usize = 4;

/// Interval between two messages of the VM that the test plays.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Requests that may be lost with the connections: the one that finds out.
const MAX_LOST: usize = 1;

/// Deadline of requests that are sent one after the other.
const DEADLINE_MS: u64 = 500;

/// Time in which a VM has to end after SIGTERM with nothing in flight (`grace_s` of the default settings).
const GRACE: Duration = Duration::from_secs(8);

/// VM of the store's proxy; there is no other VM to tell it of changes.
const VM: usize = 1;

/// Fields of a message between VMs that say that its sender is alive.
#[derive(Clone, PartialEq, Message)]
struct Digest {
    #[prost(fixed64, tag = "1")]
    vm: u64,
    #[prost(uint32, tag = "13")]
    known_vms: u32,
}

/// Has the VM of a fleet take an address for another VM; the task ends with the flag.
async fn play_vm(fleet: &GatewayFleet, ip: Ipv4Addr, is_over: Rc<Cell<bool>>) {
    let vm = fleet.peer_address(0);
    let socket = UdpSocket::bind((ip, vm.port())).await.expect("a socket");
    let digest = Digest {
        vm: 7007,
        known_vms: 1,
    };
    let datagram = digest.encode_to_vec();
    actix_rt::spawn(async move {
        while !is_over.get() {
            socket
                .send_to(&datagram, vm)
                .await
                .expect("a datagram is sent");
            actix_rt::time::sleep(DIGEST_INTERVAL).await;
        }
    });
}

/// Guards against requests that are lost one after the other, each with a connection to another VM that has gone
/// silent, though new connections work.
#[actix_rt::test]
async fn silent_relays_lost() {
    let options = || GatewayFleetOptions::new(CONFIG).vms(1).servers(1);
    let fleet = GatewayFleet::start(BIN, options()).await;
    let other = GatewayFleet::start(BIN, options()).await;
    let ip = Ipv4Addr::new(127, 0, 1, 210);
    let listen = SocketAddr::from((ip, fleet.peer_address(0).port()));
    let proxy = Proxy::start_at(listen, other.peer_address(0)).await;
    let is_over = Rc::new(Cell::new(false));
    play_vm(&fleet, ip, Rc::clone(&is_over)).await;
    let cut_off = ServerFaults {
        cut_off: Some(fleet.listen_address(0).ip()),
        cuts_open_connections: true,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(0, &cut_off).await;
    let slow = ServerFaults {
        work_ms: 50,
        events: 5,
        ..ServerFaults::default()
    };
    other.set_server_faults(0, &slow).await;
    let first = GatewayRequest::new("first", "/once/x");
    fleet.wait_for_status(0, &first, 200).await;
    let together: Vec<_> = (0..KEPT)
        .map(|index| GatewayRequest::new(format!("together-{index}"), "/stream/x").prompt(1, 9))
        .collect();
    let responses = join_all(together.iter().map(|request| fleet.call(0, request))).await;
    assert!(responses.iter().all(|response| response.status == 200));

    proxy.stall_open_connections();
    let mut lost = 0;
    for index in 0..2 * KEPT {
        let request = GatewayRequest::new(format!("after-{index}"), "/once/x");
        let response = fleet.call(0, &request.deadline_ms(DEADLINE_MS)).await;
        lost += usize::from(response.status != 200);
    }
    assert!(lost <= MAX_LOST, "{lost} requests were lost");
    is_over.set(true);
}

/// Starts a VM that reaches the store through a proxy, without another VM, and waits until it watches the store.
async fn start_behind_proxy() -> (GatewayFleet, Proxy) {
    let options = GatewayFleetOptions::new(CONFIG).vms(1).servers(2);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(VM).await;
    fleet.vm_process(0).terminate();
    while !fleet.vm_process(0).has_exited() {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    for table in [OPERATOR_TABLE, SERVER_TABLE] {
        fleet.wait_for_watches(table, 1).await;
    }
    (fleet, proxy)
}

/// Guards against a VM that learns only by the timeout of a silent watch that a server leaves, and sends requests to
/// it meanwhile.
#[actix_rt::test]
async fn silent_watch_hides_drain() {
    let (fleet, proxy) = start_behind_proxy().await;
    proxy.stall_open_connections();
    let entry = ServerEntry {
        state: ServerState::Draining,
        ..fleet.server_entry(0)
    };
    fleet.register(&entry).await;
    let draining = format!("server={} change=draining", entry.id);
    fleet.wait_for_log(VM, &draining).await;
    let log = fleet.read_log(VM);
    let has_timed_out = log.contains("name=platform_unavailable table=servers");
    assert!(!has_timed_out, "the watch had to time out first");
    let served: BTreeSet<_> = {
        let ids = ["r1", "r2", "r3"];
        for id in ids {
            let response = fleet.call(VM, &GatewayRequest::new(id, "/read/x")).await;
            assert_eq!(response.status, 200);
        }
        fleet
            .runs(0)
            .await
            .into_iter()
            .map(|run| run.request_id)
            .collect()
    };
    assert!(
        served.is_empty(),
        "{served:?} ran at the server that leaves"
    );
}

/// Guards against a planned stop that waits for the store on a silent connection, or ends requests for it.
#[actix_rt::test]
async fn silent_store_holds_stop() {
    let (mut fleet, proxy) = start_behind_proxy().await;
    let slow = ServerFaults {
        work_ms: 600,
        ..ServerFaults::default()
    };
    for server in 0..2 {
        fleet.set_server_faults(server, &slow).await;
    }
    let address = fleet.listen_address(VM);
    let request = GatewayRequest::new("in-flight", "/once/x");
    let call = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(address).await.expect("a connection");
        connection.call(&request).await.expect("a response")
    });
    while fleet.runs_of_request("in-flight").await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    proxy.stall_open_connections();
    fleet
        .write_config(&CONFIG.replace("\"version\": 7", "\"version\": 8"))
        .await;
    fleet.vm_process(VM).terminate();
    let stopped = Instant::now();
    let response = call.await.expect("the task ended");
    assert_eq!((response.status, response.is_complete), (200, true));
    while !fleet.vm_process(VM).has_exited() {
        assert!(stopped.elapsed() < GRACE, "the VM does not end");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
