//! A request that crashes each server that runs it, sent again and again.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use verbenahinge_testkit::{CallerConnection, GatewayRequest};

use crate::RECOVERY_TIMEOUT;
use crate::fleet::SoakFleet;

/// Pause between two requests that crash servers.
const CRASHING_PAUSE: Duration = Duration::from_millis(200);

/// Request that crashes each server that runs it.
fn crashing_request(id: String) -> GatewayRequest {
    GatewayRequest::new(id, "/fragile/x")
}

/// Sends a request that crashes servers again and again, through all VMs.
pub(crate) async fn send_crashing_requests(
    vm_addresses: Vec<SocketAddr>,
    seed: u64,
    is_finished: Rc<Cell<bool>>,
) {
    let mut count = 0;
    while !is_finished.get() {
        count += 1;
        let address = vm_addresses[count % vm_addresses.len()];
        let request = crashing_request(format!("{seed}-crashing-{count}"));
        let call = async {
            if let Ok(mut caller) = CallerConnection::open(address).await {
                // The VM may be down; only the state at the end counts.
                drop(caller.call(&request).await);
            }
        };
        drop(actix_rt::time::timeout(Duration::from_secs(3), call).await);
        actix_rt::time::sleep(CRASHING_PAUSE).await;
    }
}

/// Waits until every VM refuses the request that crashes servers; from then on, no server must crash.
pub(crate) async fn check_quarantine(soak: &mut SoakFleet) -> Vec<String> {
    let mut violations = Vec::new();
    for vm in 0..soak.vm_count {
        let started = Instant::now();
        while !is_refused(soak, vm).await {
            soak.restart_fragile_servers().await;
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("VM {vm} still runs a request that crashes servers"));
                break;
            }
            actix_rt::time::sleep(CRASHING_PAUSE).await;
        }
    }
    // Crashes that came before the refusals of all VMs.
    soak.restart_fragile_servers().await;
    for vm in 0..soak.vm_count {
        if !is_refused(soak, vm).await {
            violations.push(format!("VM {vm} runs a quarantined request"));
        }
    }
    let crashed = soak.restart_fragile_servers().await;
    if crashed > 0 {
        violations.push(format!("{crashed} servers crashed after the quarantine"));
    }
    violations
}

async fn is_refused(soak: &SoakFleet, vm: usize) -> bool {
    let request = crashing_request(format!("refused-{vm}"));
    let response = soak.fleet.call(vm, &request).await;
    response.status == 503 && response.body.contains("is not run again")
}
