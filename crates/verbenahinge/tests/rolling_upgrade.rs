//! VMs of one build are replaced by those of another, one after the other, while callers send requests.
//!
//! `EARLIER_BIN=PATH` names the binary of an earlier build; without it, the VMs are replaced by their like.

use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const VMS: u8 = 4;

const SERVERS: usize = 3;

/// Time that a VM needs to end its requests and exit.
const EXIT_TIME: Duration = Duration::from_secs(15);

async fn start() -> GatewayFleet {
    let mut options = GatewayFleetOptions::new(CONFIG).vms(VMS).servers(SERVERS);
    if let Some(bin) = std::env::var_os("EARLIER_BIN") {
        options = options.vm_bin(bin);
    }
    let fleet = GatewayFleet::start(BIN, options).await;
    let faults = ServerFaults {
        work_ms: 10,
        events: 8,
        ..ServerFaults::default()
    };
    for server in 0..SERVERS {
        fleet.set_server_faults(server, &faults).await;
    }
    fleet
}

fn requests(prefix: &str) -> Vec<GatewayRequest> {
    let mut requests = Vec::new();
    for count in 0..4 {
        for path in ["/read/x", "/once/x", "/stream/x"] {
            let request = GatewayRequest::new(format!("{prefix}-{count}-{path}"), path);
            requests.push(match path {
                "/stream/x" => request.deadline_ms(8000).prompt(1, 9),
                _ => request,
            });
        }
    }
    requests
}

/// Sends requests to all VMs but one and checks that each is served once.
async fn check_served(fleet: &GatewayFleet, left_out: usize, prefix: &str) {
    for vm in (0..usize::from(VMS)).filter(|&vm| vm != left_out) {
        let requests = requests(&format!("{prefix}-{vm}"));
        let calls = requests.iter().map(|request| fleet.call(vm, request));
        for (request, response) in requests.iter().zip(join_all(calls).await) {
            let is_served = response.status == 200 && response.is_complete && response.is_signed();
            assert!(is_served, "{request:?}: {response:?}");
        }
    }
}

/// Takes a stream up again at a VM that has not begun it.
async fn check_resumed(fleet: &GatewayFleet, from: usize, to: usize, prefix: &str) {
    let begun = GatewayRequest::new(format!("{prefix}-begun"), "/stream/x").prompt(1, 9);
    let begun_id = format!("{prefix}-begun");
    let whole = fleet.call(from, &begun.deadline_ms(8000)).await;
    assert_eq!(whole.event_ids().len(), 8, "{prefix}");
    let rest = GatewayRequest::new(format!("{prefix}-rest"), "/stream/x").prompt(1, 9);
    let rest = rest.deadline_ms(8000).last_event_id(3).resumes(&begun_id);
    let response = fleet.call(to, &rest).await;
    assert_eq!(response.event_ids(), [4, 5, 6, 7, 8], "{prefix}");
}

/// Guards against VMs of two builds that do not understand each other.
#[actix_rt::test]
async fn builds_serve_together() {
    let mut fleet = start().await;
    let vms = usize::from(VMS);
    check_served(&fleet, vms, "before").await;
    for vm in 0..vms {
        fleet.vm_process(vm).terminate();
        check_served(&fleet, vm, &format!("down-{vm}")).await;
        let exit = async {
            while !fleet.vm_process(vm).has_exited() {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let exited = actix_rt::time::timeout(EXIT_TIME, exit).await;
        assert!(exited.is_ok(), "VM {vm} does not exit");
        fleet.upgrade_vm(vm);
        fleet.wait_until_ready(vm).await;
        check_served(&fleet, vms, &format!("up-{vm}")).await;
        let other = (vm + 1) % vms;
        check_resumed(&fleet, vm, other, &format!("from-{vm}")).await;
        check_resumed(&fleet, other, vm, &format!("to-{vm}")).await;
    }
    // A change of the registry reaches VMs that only others could tell.
    fleet.add_server("server-late", "service").await;
    for vm in 0..vms {
        fleet
            .wait_for_log(vm, "server=server-late change=added")
            .await;
    }
}
