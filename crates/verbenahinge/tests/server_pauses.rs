//! A backend server rejects a request and names a time in which it wants nothing from the VM.

#[path = "support/late_requests.rs"]
mod late_requests;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

use self::late_requests::{WORK_TIME, send_late};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Requests that are sent to a VM at the same time.
const REQUESTS: usize = 20;

/// Time that a rejection names.
const RETRY_AFTER_S: f64 = 1.5;

/// Number of VMs from which they rank engines before they query the load.
const LARGE_FLEET: u8 = 18;

/// Timeout for a server to get requests again.
const REUSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests that reach a VM while it is suspended; a single poll of its sockets has to find them all and
/// the answer behind them.
const LATE_REQUESTS: usize = 4;

/// Trials with requests that reach a VM while it is suspended: which socket it reads first is a race.
const TRIALS: usize = 4;

async fn start(vms: u8, servers: usize) -> GatewayFleet {
    let options = GatewayFleetOptions::new(CONFIG).vms(vms).servers(servers);
    GatewayFleet::start(BIN, options).await
}

fn rejecting(retry_after_s: f64) -> ServerFaults {
    ServerFaults {
        fault: ServerFault::Reject,
        work_ms: 5,
        events: 5,
        retry_after_s,
        ..ServerFaults::default()
    }
}

/// Sends requests to a VM, one after the other, until one of them has reached a server.
async fn call_until_rejected(fleet: &GatewayFleet, vm: usize, server: usize) {
    let before = fleet.arrivals(server).await.len();
    for count in 0.. {
        let request = GatewayRequest::new(format!("first-{vm}-{count}"), "/read/x");
        assert_eq!(fleet.call(vm, &request).await.status, 200);
        if fleet.arrivals(server).await.len() > before {
            return;
        }
    }
}

/// Sends some requests to a VM at the same time, so that all servers that it may use get some.
async fn call_together(fleet: &GatewayFleet, vm: usize, prefix: &str) {
    let calls = (0..REQUESTS).map(|count| async move {
        let request = GatewayRequest::new(format!("{prefix}-{vm}-{count}"), "/read/x");
        assert_eq!(fleet.call(vm, &request).await.status, 200);
    });
    join_all(calls).await;
}

/// Sends requests to a VM until a server has got more than a number; returns the times of their arrival
/// on the server's clock.
async fn call_until_used(fleet: &GatewayFleet, vm: usize, server: usize, count: usize) -> Vec<u64> {
    let started = Instant::now();
    for round in 0.. {
        call_together(fleet, vm, &format!("round-{round}")).await;
        let arrivals = fleet.arrivals(server).await;
        if arrivals.len() > count {
            return arrivals.iter().map(|arrival| arrival.arrived_ms).collect();
        }
        assert!(started.elapsed() < REUSE_TIMEOUT, "no request arrived");
    }
    Vec::new()
}

/// Guards against a server that gets requests in the time in which it wants none.
#[actix_rt::test]
async fn retry_after_ignored() {
    let fleet = start(1, 2).await;
    fleet.set_server_faults(0, &rejecting(RETRY_AFTER_S)).await;
    call_until_rejected(&fleet, 0, 0).await;
    fleet.set_server_fault(0, ServerFault::None, 0).await;
    let arrivals = call_until_used(&fleet, 0, 0, 1).await;
    let pause_ms = arrivals[1] - arrivals[0];
    assert!(
        pause_ms >= 1500,
        "the next request came after {pause_ms} ms"
    );
}

/// Guards against a VM that tells others of a pause that concerns it alone.
#[actix_rt::test]
async fn other_vms_pause() {
    let fleet = start(2, 2).await;
    fleet.set_server_faults(0, &rejecting(600.0)).await;
    call_until_rejected(&fleet, 0, 0).await;
    call_until_rejected(&fleet, 1, 0).await;
    for vm in 0..2 {
        call_together(&fleet, vm, "paused").await;
    }
    assert_eq!(fleet.arrivals(0).await.len(), 2);
}

/// Guards against a pause that outlasts the start of the server that named it.
#[actix_rt::test]
async fn restarted_server_waits() {
    let fleet = start(1, 2).await;
    fleet.set_server_faults(0, &rejecting(600.0)).await;
    call_until_rejected(&fleet, 0, 0).await;
    fleet.set_server_fault(0, ServerFault::None, 0).await;
    call_together(&fleet, 0, "paused").await;
    assert_eq!(fleet.arrivals(0).await.len(), 1);
    let mut entry = fleet.server_entry(0);
    entry.started_unix_ms = Some(2);
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "change=restarted").await;
    call_until_used(&fleet, 0, 0, 1).await;
}

/// Guards against callers that are asked to return long before any server takes requests.
#[actix_rt::test]
async fn all_servers_pause() {
    let fleet = start(1, 2).await;
    for server in 0..2 {
        fleet.set_server_faults(server, &rejecting(600.0)).await;
    }
    let request = |id: &str| {
        GatewayRequest::new(id, "/stream/x")
            .deadline_ms(8000)
            .prompt(1, 2)
    };
    for id in ["first", "second"] {
        let response = fleet.call(0, &request(id)).await;
        assert_eq!(response.status, 503);
        // Callers wait for a third of their time at most.
        let retry_after_s = response.retry_after_s().expect("a delay");
        assert!(
            (2.0..2.7).contains(&retry_after_s),
            "{id}: {retry_after_s} s"
        );
    }
    let arrivals = fleet.arrivals(0).await.len() + fleet.arrivals(1).await.len();
    assert_eq!(arrivals, 2);
}

/// Guards against a large fleet, which ranks engines before it looks at their load, that sends to those
/// which pause or asks callers to return long before they take requests.
#[actix_rt::test]
async fn large_fleet_ignores_pauses() {
    let fleet = start(LARGE_FLEET, 2).await;
    for other in 1..LARGE_FLEET {
        let linked = format!("name=peer_linked address=127.0.1.{}", other + 1);
        fleet.wait_for_log(0, &linked).await;
    }
    for server in 0..2 {
        fleet.set_server_faults(server, &rejecting(600.0)).await;
    }
    for count in 0..5 {
        let request = GatewayRequest::new(format!("prompt-{count}"), "/stream/x");
        let request = request.deadline_ms(8000).prompt(count, 100 + count);
        let response = fleet.call(0, &request).await;
        assert_eq!(response.status, 503);
        let retry_after_s = response.retry_after_s().expect("a delay");
        assert!((2.0..2.7).contains(&retry_after_s), "{retry_after_s} s");
    }
    for server in 0..2 {
        assert_eq!(fleet.arrivals(server).await.len(), 1);
    }
}

/// Guards against a request that chose a server before it named a time, and is sent in it.
#[actix_rt::test]
async fn request_sent_late() {
    for _ in 0..TRIALS {
        let mut fleet = start(1, 1).await;
        let faults = ServerFaults {
            reject_delay_ms: u64::try_from(WORK_TIME.as_millis()).expect("a short time"),
            ..rejecting(600.0)
        };
        fleet.set_server_faults(0, &faults).await;
        let (first, late) = send_late(&mut fleet, LATE_REQUESTS, "/read/x").await;
        assert_eq!((first, late), (503, vec![503; LATE_REQUESTS]));
        assert_eq!(fleet.arrivals(0).await.len(), 1);
    }
}
