//! Servers that reject requests and name a time in which they want nothing from a VM.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::GatewayRequest;

use crate::callers::STREAM_EVENTS;
use crate::fleet::{SERVER_COUNT, SoakFleet};
use crate::rng::SeededRng;

/// Distinguishes the random numbers of this file's faults.
pub(crate) const PAUSES: u64 = 0x7061_7573;

/// Time after a rejection from which requests count.
const IN_FLIGHT_MS: u64 = 500;

/// Requests that may reach a server in the time in which it wants none.
const MAX_ARRIVALS: usize = 2;

/// Callers of each VM.
const CALLERS_PER_VM: usize = 4;

/// Pause between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

fn rejecting(times: u32, pause_ms: u64) -> ServerFaults {
    ServerFaults {
        fault: ServerFault::Reject,
        times,
        work_ms: 5,
        events: STREAM_EVENTS,
        retry_after_s: Duration::from_millis(pause_ms).as_secs_f64(),
        ..ServerFaults::default()
    }
}

/// Lets a random server reject some requests and name a time, now and then; returns a description.
pub(crate) async fn inject_pause(soak: &SoakFleet, rng: &SeededRng) -> Option<String> {
    let server = rng.index(SERVER_COUNT);
    if rng.below(4) > 0 || soak.leaving.contains(&server) {
        return None;
    }
    let times = u32::try_from(1 + rng.below(4)).expect("at most 4");
    let pause_ms = 200 + rng.below(2000);
    let faults = rejecting(times, pause_ms);
    soak.fleet.set_server_faults(server, &faults).await;
    Some(format!("server {server} wants nothing for {pause_ms} ms"))
}

/// Lets a server reject all requests and name a time; returns a violation for each VM that sends it more
/// than two in that time.
pub(crate) async fn check_pause(soak: &SoakFleet, seed: u64, rng: &SeededRng) -> Vec<String> {
    let server = rng.index(SERVER_COUNT);
    let pause_ms = 1000 + rng.below(2000);
    let faults = rejecting(0, pause_ms);
    soak.fleet.set_server_faults(server, &faults).await;
    let mut callers = Vec::new();
    for vm in 0..soak.vm_count {
        for caller in 0..CALLERS_PER_VM {
            let prefix = format!("{seed}-paused-{vm}-{caller}");
            callers.push(send_for(soak, vm, prefix, Duration::from_millis(pause_ms)));
        }
    }
    join_all(callers).await;
    let arrivals = soak.fleet.arrivals(server).await;
    let mut violations = Vec::new();
    for vm in 0..soak.vm_count {
        let prefix = format!("{seed}-paused-{vm}-");
        let mut times = Vec::new();
        for arrival in &arrivals {
            if arrival.request_id.starts_with(&prefix) {
                times.push(arrival.arrived_ms);
            }
        }
        let Some(&first) = times.first() else {
            continue;
        };
        let counted = first + IN_FLIGHT_MS..first + pause_ms;
        let late = times.iter().filter(|time| counted.contains(time)).count();
        if late > MAX_ARRIVALS {
            violations.push(format!(
                "VM {vm} sent {late} requests to a server that wants none"
            ));
        }
    }
    soak.fleet
        .set_server_fault(server, ServerFault::None, 0)
        .await;
    violations
}

async fn send_for(soak: &SoakFleet, vm: usize, prefix: String, time: Duration) {
    let started = Instant::now();
    for count in 0.. {
        if started.elapsed() > time {
            break;
        }
        let request = GatewayRequest::new(format!("{prefix}-{count}"), "/read/x");
        soak.fleet.call(vm, &request).await;
        actix_rt::time::sleep(CALLER_PAUSE).await;
    }
}
