//! A VM whose thread was held (here by a signal) loses no answer that arrived meanwhile.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start(work_ms: u64, events: u64) -> GatewayFleet {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    for server in 0..2 {
        let faults = ServerFaults {
            work_ms,
            events,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    fleet
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Stops the process of the VM for a while.
async fn hold(fleet: &mut GatewayFleet, hold_ms: u64) {
    fleet.vm_process(0).suspend();
    sleep_ms(hold_ms).await;
    fleet.vm_process(0).resume();
}

#[actix_rt::test]
async fn holds_logged() {
    let mut fleet = start(5, 5).await;
    hold(&mut fleet, 600).await;
    fleet.wait_for_log(0, "name=thread_held held_ms=").await;
    let text = fleet.fetch_control(0, "/metrics").await;
    let line = "verbenahinge_gateway_timer_delay_seconds_bucket{le=\"0.3\"} ";
    assert!(text.contains(line), "{line} not in {text}");
}
