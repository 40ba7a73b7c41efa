//! Brittle servers fall over if all VMs together send them more than they have room for too often.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const VMS: u8 = 4;

const SERVERS: usize = 2;

/// Rejections in a second that a server bears.
const MAX_REJECTIONS_PER_S: u32 = 4;

/// Time after the first word of it from which servers may fall over.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for which more requests come than the servers have room for.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Callers of each VM; each sends one request at a time.
const CALLERS: usize = 12;

/// Sets what servers bear; returns what they have room for.
async fn set_servers(fleet: &GatewayFleet, max_rejections_per_s: u32) {
    let faults = ServerFaults {
        work_ms: 100,
        events: 5,
        max_running: 8,
        max_rejections_per_s,
        ..ServerFaults::default()
    };
    for server in 0..SERVERS {
        fleet.set_server_faults(server, &faults).await;
    }
}

/// Sends requests to all VMs for a while; returns how many were served.
async fn load(fleet: &GatewayFleet, prefix: &str, callers: usize, time: Duration) -> usize {
    let calls = (0..usize::from(VMS) * callers).map(|caller| async move {
        let vm = caller % usize::from(VMS);
        let mut served = 0;
        let started = Instant::now();
        let mut count = 0;
        while started.elapsed() < time {
            count += 1;
            let id = format!("{prefix}-{caller}-{count}");
            let response = fleet.call(vm, &GatewayRequest::new(id, "/read/x")).await;
            served += usize::from(response.status == 200);
            if response.status != 200 {
                // Impatient callers come back much sooner than they are asked to.
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        served
    });
    join_all(calls).await.into_iter().sum()
}

/// Guards against VMs that together reject too much at a server, and against a VM that has just started
/// and does not know.
#[actix_rt::test]
async fn surplus_fells_brittle_servers() {
    let options = GatewayFleetOptions::new(CONFIG).vms(VMS).servers(SERVERS);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    set_servers(&fleet, 1_000_000).await;
    load(&fleet, "settle", 2, SETTLE_TIME).await;
    set_servers(&fleet, MAX_REJECTIONS_PER_S).await;
    load(&fleet, "light", 1, Duration::from_millis(500)).await;
    let served = load(&fleet, "surplus", CALLERS, LOAD_TIME).await;
    fleet.vm_process(0).kill();
    fleet.vm_process(0).restart();
    fleet.wait_until_ready(0).await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    load(&fleet, "restarted", CALLERS, LOAD_TIME).await;
    for server in 0..SERVERS {
        assert!(
            !fleet.server_process(server).has_exited(),
            "server {server}"
        );
    }
    // Two servers with eight slots serve 160 requests in a second.
    assert!(served >= 160, "{served} served in {LOAD_TIME:?}");
}
