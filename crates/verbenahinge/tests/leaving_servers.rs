//! A backend server says in its answers that it leaves, while its registry entry says that it is ready.

#[path = "support/late_requests.rs"]
mod late_requests;

use std::time::Duration;

use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

use self::late_requests::{WORK_TIME, send_late};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Requests that are sent to each VM after it has noticed that a server leaves.
const REQUESTS: usize = 20;

/// Requests that reach a VM while it is suspended; a single poll of its sockets has to find them all and
/// the answer behind them.
const LATE_REQUESTS: usize = 4;

/// Trials with requests that reach a VM while it is suspended: which socket it reads first is a race.
const TRIALS: usize = 4;

async fn start(vms: u8, servers: usize) -> GatewayFleet {
    let options = GatewayFleetOptions::new(CONFIG).vms(vms).servers(servers);
    GatewayFleet::start(BIN, options).await
}

fn leaving(fault: ServerFault) -> ServerFaults {
    ServerFaults {
        fault,
        work_ms: 5,
        events: 5,
        is_leaving: true,
        ..ServerFaults::default()
    }
}

/// Sends requests of one kind to a VM until one of them has reached a server.
async fn call_until_reached(fleet: &GatewayFleet, vm: usize, server: usize, path: &str) {
    let before = fleet.arrivals(server).await.len();
    for count in 0.. {
        let request = GatewayRequest::new(format!("first-{vm}-{count}"), path);
        fleet.call(vm, &with_prompt(request, path, count)).await;
        if fleet.arrivals(server).await.len() > before {
            return;
        }
    }
}

fn with_prompt(request: GatewayRequest, path: &str, count: u64) -> GatewayRequest {
    if path == "/stream/x" {
        request.prompt(count, 1000 + count)
    } else {
        request
    }
}

/// Sends requests to a VM; returns their statuses.
async fn call_many(fleet: &GatewayFleet, vm: usize, prefix: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for count in 0..REQUESTS {
        let request = GatewayRequest::new(format!("{prefix}-{vm}-{count}"), "/read/x");
        statuses.push(fleet.call(vm, &request).await.status);
    }
    statuses
}

/// Guards against a server that gets requests after it has said that it leaves, though the store is
/// away and can't tell.
#[actix_rt::test]
async fn leaving_server_used() {
    let answers = [
        (ServerFault::None, "/read/x"),
        (ServerFault::Reject, "/read/x"),
        (ServerFault::Fail, "/read/x"),
        (ServerFault::None, "/stream/x"),
    ];
    for (fault, path) in answers {
        let fleet = start(1, 2).await;
        fleet.set_store_faults(&StoreFaults::outage()).await;
        fleet.set_server_faults(0, &leaving(fault)).await;
        call_until_reached(&fleet, 0, 0, path).await;
        let noticed = fleet.arrivals(0).await.len();
        let statuses = call_many(&fleet, 0, "later").await;
        let arrived = fleet.arrivals(0).await.len() - noticed;
        assert_eq!(arrived, 0, "requests after {fault} on {path}");
        assert_eq!(statuses, [200; REQUESTS]);
    }
}

/// Faults of a server whose answer to the first request says that it leaves.
fn leaving_late() -> ServerFaults {
    ServerFaults {
        work_ms: u64::try_from(WORK_TIME.as_millis()).expect("a short time"),
        events: 1,
        ..leaving(ServerFault::None)
    }
}

/// Guards against a request that chose a server before it said that it leaves, and is sent after.
#[actix_rt::test]
async fn request_sent_late() {
    for _ in 0..TRIALS {
        let mut fleet = start(1, 1).await;
        fleet.set_server_faults(0, &leaving_late()).await;
        let (first, late) = send_late(&mut fleet, LATE_REQUESTS, "/once/x").await;
        assert_eq!((first, late), (200, vec![503; LATE_REQUESTS]));
        assert_eq!(fleet.arrivals(0).await.len(), 1);
    }
}

/// Guards against a request that is refused, or loses an attempt, because it was not sent to a server
/// that leaves.
#[actix_rt::test]
async fn unsent_request_given_up() {
    /// Trials until a request has chosen the server before the answer is read.
    const MAX_TRIALS: usize = 40;
    for _ in 0..MAX_TRIALS {
        let mut fleet = start(1, 2).await;
        fleet.set_server_faults(0, &leaving_late()).await;
        // The other server is chosen second: it is far away and has just started.
        let mut entry = fleet.server_entry(1);
        entry.availability_zone = "b".into();
        entry.warm_up = Duration::from_mins(1);
        fleet.register(&entry).await;
        fleet
            .wait_for_log(0, "server=server-1 change=updated")
            .await;
        assert_eq!(send_late(&mut fleet, 1, "/once/x").await, (200, vec![200]));
        let ended = "name=request_ended request_id=late-0";
        let line = fleet.wait_for_log_after(0, 0, ended).await;
        assert!(line.contains("attempts=1 "), "{line}");
        let not_sent = "request_id=late-0 server=server-0 failure=not_sent";
        if fleet.read_log(0).contains(not_sent) {
            assert!(line.contains("server=server-1 "), "{line}");
            return;
        }
    }
    panic!("no request was chosen before and sent after");
}

/// Guards against VMs that each send a request to a leaving server before they know.
#[actix_rt::test]
async fn other_vms_uninformed() {
    let fleet = start(3, 2).await;
    for vm in 0..3 {
        for other in (0..3).filter(|&other| other != vm) {
            let linked = format!("name=peer_linked address=127.0.1.{}", other + 1);
            fleet.wait_for_log(vm, &linked).await;
        }
    }
    fleet.set_store_faults(&StoreFaults::outage()).await;
    fleet
        .set_server_faults(0, &leaving(ServerFault::None))
        .await;
    call_until_reached(&fleet, 0, 0, "/read/x").await;
    for vm in 1..3 {
        fleet
            .wait_for_log(vm, "name=server_leaving server=server-0 source=peer")
            .await;
    }
    let noticed = fleet.arrivals(0).await.len();
    for vm in 0..3 {
        assert_eq!(call_many(&fleet, vm, "told").await, [200; REQUESTS]);
    }
    assert_eq!(fleet.arrivals(0).await.len(), noticed);
}

/// Guards against a server that stays unused after it has started again under its name.
#[actix_rt::test]
async fn restarted_server_unused() {
    let fleet = start(1, 1).await;
    fleet
        .set_server_faults(0, &leaving(ServerFault::None))
        .await;
    let request = GatewayRequest::new("first", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 200);
    let request = GatewayRequest::new("second", "/read/x");
    let response = fleet.call(0, &request).await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after_s().is_some());
    fleet.set_server_fault(0, ServerFault::None, 0).await;
    // The entry of the same start, written again, doesn't say that the server stays.
    let mut entry = fleet.server_entry(0);
    entry.slots += 1;
    fleet.register(&entry).await;
    fleet
        .wait_for_log(0, "server=server-0 change=updated")
        .await;
    let request = GatewayRequest::new("third", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 503);
    entry.started_unix_ms = entry.started_unix_ms.map(|started| started + 1);
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "change=restarted").await;
    let request = GatewayRequest::new("fourth", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 200);
}

/// Guards against a server that is taken for leaving because an answer of the start before arrives late.
#[actix_rt::test]
async fn late_answer_of_earlier_start() {
    let fleet = start(1, 1).await;
    let faults = ServerFaults {
        work_ms: 800,
        ..leaving(ServerFault::None)
    };
    fleet.set_server_faults(0, &faults).await;
    let late = async {
        let request = GatewayRequest::new("late", "/single/x").prompt(1, 2);
        fleet.call(0, &request).await
    };
    let restart = async {
        while fleet.arrivals(0).await.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let mut entry = fleet.server_entry(0);
        entry.started_unix_ms = Some(2);
        fleet.register(&entry).await;
        fleet.wait_for_log(0, "change=restarted").await;
    };
    let (response, ()) = tokio::join!(late, restart);
    assert!(response.headers.contains_key("server-leaving"));
    fleet.set_server_fault(0, ServerFault::None, 0).await;
    let request = GatewayRequest::new("next", "/read/x");
    assert_eq!(fleet.call(0, &request).await.status, 200);
}
