//! Servers that say that they leave, and start again later.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_platform::http_headers;
use verbenahinge_testkit::GatewayRequest;

use crate::callers::STREAM_EVENTS;
use crate::fleet::{SERVER_COUNT, SoakFleet};
use crate::rng::SeededRng;

/// Distinguishes the random numbers of this file's faults.
pub(crate) const DEPARTURES: u64 = 0x6465_7061;

/// Most servers that leave at a time; the others have to serve.
const MAX_LEAVING: usize = 2;

/// Time for which requests are sent after a server has said that it leaves.
const LEAVING_TIME: Duration = Duration::from_millis(1500);

/// Timeout for a server that has started again to get requests from a VM.
const REUSE_TIMEOUT: Duration = Duration::from_secs(12);

/// Requests that are sent at the same time to see whether a server is used.
const CALLS_PER_ROUND: usize = 40;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Lets a random server say that it leaves, now and then; returns a description.
pub(crate) async fn inject_departure(soak: &mut SoakFleet, rng: &SeededRng) -> Option<String> {
    let server = rng.index(SERVER_COUNT);
    if rng.below(4) > 0 || soak.leaving.len() >= MAX_LEAVING {
        return None;
    }
    announce(soak, server).await;
    Some(format!("server {server} says that it leaves"))
}

async fn announce(soak: &mut SoakFleet, server: usize) {
    let faults = ServerFaults {
        work_ms: 5,
        events: STREAM_EVENTS,
        is_leaving: true,
        ..ServerFaults::default()
    };
    soak.fleet.set_server_faults(server, &faults).await;
    soak.leaving.insert(server);
}

/// Starts servers that leave again, unless the store is faulty, since they have to register.
pub(crate) async fn finish_departures(soak: &mut SoakFleet) {
    if soak.is_store_faulty {
        return;
    }
    for server in std::mem::take(&mut soak.leaving) {
        soak.fleet
            .set_server_fault(server, ServerFault::None, 0)
            .await;
        soak.register_next_start(server).await;
    }
}

/// Lets a server say that it leaves, while the store may be away; returns a violation for each VM that
/// sends it a request after it has passed on such an answer, or does not use its next start.
pub(crate) async fn check_leaving(soak: &mut SoakFleet, seed: u64, rng: &SeededRng) -> Vec<String> {
    let server = rng.index(SERVER_COUNT);
    if rng.below(2) == 0 {
        soak.fleet.set_store_faults(&StoreFaults::outage()).await;
    }
    announce(soak, server).await;
    let shared = &*soak;
    let callers = (0..soak.vm_count).map(|vm| send_after_notice(shared, seed, vm));
    let late: BTreeSet<String> = join_all(callers).await.into_iter().flatten().collect();
    let mut violations = Vec::new();
    for arrival in soak.fleet.arrivals(server).await {
        if late.contains(&arrival.request_id) {
            let id = arrival.request_id;
            violations.push(format!(
                "request {id} reached server {server}, which leaves"
            ));
        }
    }
    soak.clear_store_faults().await;
    finish_departures(soak).await;
    for vm in 0..soak.vm_count {
        if !is_used(soak, seed, vm, server).await {
            violations.push(format!("VM {vm} does not use the next start of {server}"));
        }
    }
    violations
}

/// Sends requests to a VM; returns the ids of those that were sent after the VM had passed on an answer
/// of a server that leaves.
async fn send_after_notice(soak: &SoakFleet, seed: u64, vm: usize) -> Vec<String> {
    let mut late = Vec::new();
    let mut is_told = false;
    let started = Instant::now();
    for count in 0.. {
        if started.elapsed() > LEAVING_TIME {
            break;
        }
        let id = format!("{seed}-leaving-{vm}-{count}");
        if is_told {
            late.push(id.clone());
        }
        let response = soak
            .fleet
            .call(vm, &GatewayRequest::new(id, "/read/x"))
            .await;
        is_told |= response.headers.contains_key(http_headers::LEAVING);
        actix_rt::time::sleep(PAUSE).await;
    }
    late
}

/// Sends requests to a VM, many at a time, until one of them has reached a server; returns whether one has
/// in time.
///
/// A server may report load of requests that it left unanswered, so that single requests avoid it.
async fn is_used(soak: &SoakFleet, seed: u64, vm: usize, server: usize) -> bool {
    let started = Instant::now();
    for round in 0.. {
        if started.elapsed() > REUSE_TIMEOUT {
            break;
        }
        let prefix = format!("{seed}-returned-{vm}-{round}-");
        let calls = (0..CALLS_PER_ROUND).map(|count| {
            let request = GatewayRequest::new(format!("{prefix}{count}"), "/read/x");
            async move { soak.fleet.call(vm, &request).await }
        });
        join_all(calls).await;
        let arrivals = soak.fleet.arrivals(server).await;
        let mut ids = arrivals.iter().map(|arrival| &arrival.request_id);
        if ids.any(|id| id.starts_with(&prefix)) {
            return true;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    false
}
