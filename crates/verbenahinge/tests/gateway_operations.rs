//! Logs and metrics record the outcome of requests, messages between VMs and settings reloads.

use verbenahinge_emulator::scripted_server::ServerFault;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await
}

#[actix_rt::test]
async fn requests_logged() {
    let fleet = start().await;
    fleet.call(0, &GatewayRequest::new("good", "/read/x")).await;
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::LoseAnswer, 0)
            .await;
    }
    fleet.call(0, &GatewayRequest::new("lost", "/once/x")).await;
    fleet
        .call(0, &GatewayRequest::new("odd", "/nowhere/x"))
        .await;
    fleet
        .wait_for_log(0, "request_id=good outcome=answered status=200")
        .await;
    fleet
        .wait_for_log(0, "request_id=lost server=server-")
        .await;
    fleet
        .wait_for_log(0, "request_id=lost outcome=failed status=502")
        .await;
    fleet.wait_for_log(0, "request_id=odd status=404").await;
}

#[actix_rt::test]
async fn metrics_count_outcomes() {
    let fleet = start().await;
    fleet.call(0, &GatewayRequest::new("r1", "/read/x")).await;
    fleet
        .call(0, &GatewayRequest::new("r2", "/nowhere/x"))
        .await;
    let text = fleet.fetch_control(0, "/metrics").await;
    for line in [
        "verbenahinge_gateway_ended_total{outcome=\"answered\",route=\"read\"} 1",
        "verbenahinge_gateway_first_seconds_count{route=\"read\"} 1",
        "verbenahinge_gateway_total_seconds_count{account=\"one\"} 1",
        "verbenahinge_gateway_turned_away_total{status=\"404\"} 1",
    ] {
        assert!(text.contains(line), "{line} not in {text}");
    }
}

#[actix_rt::test]
async fn metrics_count_messages() {
    let mut fleet = start().await;
    fleet.add_vm();
    fleet.wait_for_log(0, "name=peer_linked").await;
    let text = fleet.fetch_control(0, "/metrics").await;
    for family in ["messages", "bytes"] {
        let line = format!("verbenahinge_gateway_vm_{family}_total{{kind=\"welcome\"}} ");
        assert!(text.contains(&line), "{line} not in {text}");
    }
}

#[actix_rt::test]
async fn reloads_logged() {
    let mut fleet = start().await;
    fleet.vm_process(0).request_reload();
    fleet.wait_for_log(0, "name=reloaded cause=signal").await;
}

/// Guards against a VM that keeps the address of the store that it started with.
#[actix_rt::test]
async fn moved_store_unknown() {
    let mut fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).vms(0)).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(0).await;
    proxy.set_fault(LinkFault::Reset);
    let store = fleet.store_address();
    fleet.change_settings(0, |settings| settings.store = store);
    let config = CONFIG.replace("\"version\": 7", "\"version\": 8");
    fleet.write_config(&config).await;
    fleet.wait_for_log(0, "config_in_force version=8").await;
}
