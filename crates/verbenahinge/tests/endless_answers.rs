//! Bytes that are no answer and do not end, in a head, a body or an event: they cost a VM little memory,
//! callers get a failure in time, and the connection is closed.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Memory of the smallest VM of the deployments.
const SMALLEST_VM_BYTES: u64 = 88 << 20;

const CONCURRENT_REQUESTS: usize = 12;

/// Timeout for a server to see its connection closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that a VM may take of an endless response, with those that the sockets hold: the size limit of a
/// body, and as much again.
const MAX_TAKEN_BYTES: usize = 32 << 20;

async fn check(path: &str, fault: ServerFault, is_stream: bool) {
    let mut fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let faults = ServerFaults {
        fault,
        ..ServerFaults::default()
    };
    for server in 0..2 {
        fleet.set_server_faults(server, &faults).await;
    }
    let calls = (0..CONCURRENT_REQUESTS).map(|index| {
        let request = GatewayRequest::new(format!("r{index}"), path);
        let request = if is_stream {
            request.prompt(0xa1, 0xb2)
        } else {
            request
        };
        let fleet = &fleet;
        async move { fleet.call(0, &request).await.status }
    });
    let statuses = join_all(calls).await;
    assert!(
        statuses.iter().all(|status| [502, 504].contains(status)),
        "{statuses:?}"
    );
    let started = Instant::now();
    for server in 0..2 {
        while fleet.runs(server).await.iter().any(|run| !run.was_closed) {
            assert!(started.elapsed() < CLOSE_TIMEOUT, "connections stay open");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for server in 0..2 {
        for run in fleet.runs(server).await {
            let taken = run.endless_bytes;
            assert!(taken < MAX_TAKEN_BYTES, "{} MB were read", taken >> 20);
        }
    }
    let peak = fleet.vm_process(0).peak_memory_bytes();
    assert!(peak < SMALLEST_VM_BYTES, "{} MB", peak >> 20);
}

#[actix_rt::test]
async fn endless_head() {
    check("/read/x", ServerFault::EndlessHead, false).await;
}

#[actix_rt::test]
async fn endless_body_fills_memory() {
    check("/read/x", ServerFault::EndlessBody, false).await;
}

#[actix_rt::test]
async fn endless_event() {
    check("/stream/x", ServerFault::EndlessEvent, true).await;
}

/// Guards against a VM whose one thread reads interim responses for as long as the caller waits.
#[actix_rt::test]
async fn endless_interim_responses() {
    check("/read/x", ServerFault::EndlessInterim, false).await;
}

/// Guards against a VM whose one thread reads the size of one chunk for as long as the caller waits.
#[actix_rt::test]
async fn endless_chunk_size() {
    check("/read/x", ServerFault::EndlessChunkSize, false).await;
}
