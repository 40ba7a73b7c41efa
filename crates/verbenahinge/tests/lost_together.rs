//! Servers that are lost at one moment while each runs the same request, which is sound.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::ServerFault;
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const VMS: usize = 2;

/// Servers that are lost together.
const LOST: usize = 2;

/// Time in which the VMs tell each other of the crashes.
const TOLD: Duration = Duration::from_secs(1);

/// What differs between two losses.
#[derive(Clone, Copy, Debug)]
struct Loss {
    path: &'static str,
    /// VMs that the two callers use.
    vms: [usize; 2],
    /// Whether the callers leave when the servers are lost.
    are_callers_gone: bool,
}

impl Loss {
    const fn new(path: &'static str, vms: [usize; 2]) -> Self {
        Self {
            path,
            vms,
            are_callers_gone: false,
        }
    }
}

/// Guards against a sound request that may run once only and that all VMs refuse for ten minutes, since two servers
/// that ran it were lost together.
#[actix_rt::test]
async fn single_attempts_refused() {
    let config = CONFIG.replace("\"max_attempts\": 2", "\"max_attempts\": 1");
    for loss in [
        Loss::new("/read/x", [0, 0]),
        Loss::new("/read/x", [0, 1]),
        Loss::new("/once/x", [0, 0]),
        Loss::new("/once/x", [0, 1]),
        Loss {
            are_callers_gone: true,
            ..Loss::new("/once/x", [0, 0])
        },
    ] {
        lose_servers(&config, loss).await;
    }
}

/// Guards against the same refusal where the request is tried again, and its servers are lost with all others.
#[actix_rt::test]
async fn retried_request_refused() {
    lose_servers(CONFIG, Loss::new("/read/x", [0, 1])).await;
}

async fn lose_servers(config: &str, loss: Loss) {
    let options = GatewayFleetOptions::new(config).vms(2).servers(LOST);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    for server in 0..LOST {
        fleet
            .set_server_fault(server, ServerFault::Silence, 0)
            .await;
    }
    let mut calls = Vec::new();
    let mut vms = loss.vms.into_iter();
    while !runs_everywhere(&fleet).await {
        // VMs choose servers by what they know, so that the second one may have to be asked twice.
        let vm = vms.next().unwrap_or(loss.vms[1]);
        let id = format!("lost-{}", calls.len());
        let request = GatewayRequest::new(&id, loss.path);
        let address = fleet.listen_address(vm);
        calls.push(actix_rt::spawn(async move {
            let mut connection = CallerConnection::open(address).await.expect("a connection");
            let response = connection.call(&request).await.expect("a response");
            response.status
        }));
        while fleet.runs_of_request(&id).await.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    for server in 0..LOST {
        fleet.server_process(server).kill();
    }
    for call in calls {
        if loss.are_callers_gone {
            call.abort();
            continue;
        }
        let status = call.await.expect("the task ended");
        assert!(matches!(status, 502 | 503), "{loss:?} {status}");
    }
    wait_for_checks(&fleet).await;
    actix_rt::time::sleep(TOLD).await;
    fleet.add_server("server-after", "service").await;
    for vm in 0..VMS {
        fleet
            .wait_for_log(vm, "server=server-after change=added")
            .await;
        let log = fleet.read_log(vm);
        assert!(!log.contains("name=crash_blamed"), "{loss:?} {log}");
        let request = GatewayRequest::new(format!("after-{vm}"), loss.path);
        fleet.wait_for_status(vm, &request, 200).await;
    }
}

/// Whether each server runs the request.
async fn runs_everywhere(fleet: &GatewayFleet) -> bool {
    for server in 0..LOST {
        if fleet.runs(server).await.is_empty() {
            return false;
        }
    }
    true
}

/// Waits until the VMs have found that each server crashed.
async fn wait_for_checks(fleet: &GatewayFleet) {
    loop {
        let logs: String = (0..VMS).map(|vm| fleet.read_log(vm)).collect();
        if logs.matches("name=server_crashed").count() >= LOST {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
