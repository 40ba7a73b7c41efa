//! Prompts with a part that crashes engines, and sound ones that share their other parts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use verbenahinge_testkit::{CallerConnection, GatewayRequest};

use crate::RECOVERY_TIMEOUT;
use crate::fleet::{DEADLY_PART, SoakFleet};
use crate::rng::SeededRng;

/// Distinguishes the random numbers of these prompts from those of the faults.
const PROMPT_SEED: u64 = 0x7061_7274;

/// First part of all these prompts.
const FIRST_PART: u64 = 0xf1;

/// Timeout for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two checks of a VM; crashes that are further apart count as separate ones.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

fn prompt(id: String, second_part: u64, own_part: u64) -> GatewayRequest {
    GatewayRequest::new(id, "/brittle/x")
        .body(&format!("body {own_part}"))
        .prompt_parts(&[FIRST_PART, second_part, own_part])
}

/// Sends prompts with the part and sound ones through all VMs; no two of them are alike.
pub(crate) async fn send_prompts(
    vm_addresses: Vec<SocketAddr>,
    seed: u64,
    is_finished: Rc<Cell<bool>>,
) {
    let rng = SeededRng::new(seed ^ PROMPT_SEED);
    let mut count = 0;
    while !is_finished.get() {
        count += 1;
        let address = vm_addresses[rng.index(vm_addresses.len())];
        let second_part = if rng.below(4) == 0 {
            DEADLY_PART
        } else {
            rng.below(3)
        };
        let request = prompt(format!("{seed}-prompt-{count}"), second_part, 1000 + count);
        let call = async {
            if let Ok(mut caller) = CallerConnection::open(address).await {
                // The VM may be down; only the state at the end counts.
                drop(caller.call(&request).await);
            }
        };
        drop(actix_rt::time::timeout(CALL_TIMEOUT, call).await);
        actix_rt::time::sleep(Duration::from_millis(rng.below(100))).await;
    }
}

/// Waits until every VM refuses the part and serves sound prompts; from then on, the part must crash no
/// engine.
pub(crate) async fn check_refused(soak: &mut SoakFleet) -> Vec<String> {
    let mut violations = Vec::new();
    for vm in 0..soak.vm_count {
        let started = Instant::now();
        let mut count = 0;
        while !is_refused(soak, vm, count).await {
            count += 1;
            soak.restart_brittle_engines().await;
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("VM {vm} still runs a part that crashes engines"));
                break;
            }
            actix_rt::time::sleep(CHECK_PAUSE).await;
        }
    }
    // Crashes that came before the refusals of all VMs.
    soak.restart_brittle_engines().await;
    for vm in 0..soak.vm_count {
        if !is_refused(soak, vm, 1000).await {
            violations.push(format!("VM {vm} runs a part that crashes engines"));
        }
    }
    let crashed = soak.restart_brittle_engines().await;
    if crashed > 0 {
        violations.push(format!(
            "{crashed} engines crashed after the part was refused"
        ));
    }
    for vm in 0..soak.vm_count {
        let started = Instant::now();
        let mut count = 0;
        while let Some(problem) = sound_problem(soak, vm, count).await {
            count += 1;
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("VM {vm} does not serve a sound prompt: {problem}"));
                break;
            }
            actix_rt::time::sleep(CHECK_PAUSE).await;
        }
    }
    violations
}

async fn is_refused(soak: &SoakFleet, vm: usize, count: u64) -> bool {
    let id = format!("refused-part-{vm}-{count}");
    let own_part = 100_000 + 10_000 * vm as u64 + count;
    let response = soak
        .fleet
        .call(vm, &prompt(id, DEADLY_PART, own_part))
        .await;
    response.status == 503 && response.body.contains("a part of the prompt")
}

/// Sends a sound prompt with the same first part; returns the response unless it is good.
async fn sound_problem(soak: &SoakFleet, vm: usize, count: u64) -> Option<String> {
    let id = format!("sound-part-{vm}-{count}");
    let own_part = 500_000 + 10_000 * vm as u64 + count;
    let response = soak.fleet.call(vm, &prompt(id, 1, own_part)).await;
    (response.status != 200).then(|| format!("{} {}", response.status, response.body))
}
