//! Large tables reach VMs whose links are slow.

use std::fmt::Write as _;
use std::time::Duration;

use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Configuration with additional routes `/extra0/`, `/extra1/` and so on.
fn config_with_routes(version: u64, routes: usize) -> String {
    let mut text = String::new();
    for index in 0..routes {
        write!(
            text,
            "{{\"name\": \"extra-{index}\", \"hostname\": \"gateway.example\", \
             \"prefix\": \"/extra{index}/\", \"route_type\": \"safe\", \"timeout_ms\": 2000, \
             \"target_latency_ms\": 200, \"priority\": 2, \"service\": \"service\"}}, "
        )
        .expect("writing to a string succeeds");
    }
    CONFIG
        .replace("\"version\": 7", &format!("\"version\": {version}"))
        .replace("\"routes\": [", &format!("\"routes\": [{text}"))
}

/// Guards against a response of the store that is given up though it is still arriving.
#[actix_rt::test]
async fn slow_store_responses_read() {
    let options = GatewayFleetOptions::new(config_with_routes(7, 1_000)).vms(0);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    proxy.set_fault(LinkFault::Delay(Duration::from_millis(150)));
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(0).await;
    let response = fleet
        .call(0, &GatewayRequest::new("r1", "/extra999/x"))
        .await;
    assert_eq!(response.status, 200);
    assert!(!fleet.read_log(0).contains("name=platform_unavailable"));
}
