//! A VM notices in time that its source of configurations has gone silent, and refuses nothing for good
//! while it cannot know that its configuration is the newest.

use verbenahinge_platform::store::OPERATOR_TABLE;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// VM that reaches the store through the proxy; there is no other VM to tell it of changes.
const VM: usize = 1;

async fn start_alone() -> (GatewayFleet, Proxy) {
    let mut fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(VM).await;
    fleet.vm_process(0).kill();
    (fleet, proxy)
}

/// VM whose watch of the configuration has just begun, on a connection that has gone silent.
async fn start_with_silent_watch() -> GatewayFleet {
    let (fleet, proxy) = start_alone().await;
    fleet.write_config(&config_with_version(8)).await;
    fleet
        .wait_for_log(VM, "name=config_in_force version=8 ")
        .await;
    fleet.wait_for_watches(OPERATOR_TABLE, 1).await;
    proxy.stall_open_connections();
    fleet
}

fn config_with_version(version: u64) -> String {
    CONFIG.replace("\"version\": 7", &format!("\"version\": {version}"))
}

fn with_third_account(version: u64) -> String {
    config_with_version(version).replace("key-two\"", "key-two\", \"key-three\"")
}

fn third_account(id: &str) -> GatewayRequest {
    GatewayRequest::new(id, "/read/x").api_key("key-three")
}

/// Guards against a VM that learns of a configuration only when a watch times out whose connection has
/// gone silent, seconds after the bound.
#[actix_rt::test]
async fn silent_watch_hides_config() {
    let fleet = start_with_silent_watch().await;
    fleet.write_config(&config_with_version(9)).await;
    fleet
        .wait_for_log(VM, "name=config_in_force version=9 ")
        .await;
    let log = fleet.read_log(VM);
    let has_timed_out = log.contains("name=platform_unavailable table=op");
    assert!(!has_timed_out, "the watch had to time out first");
}

/// Guards against a 401 or 404, which callers take as final, by a VM that cannot know whether the
/// operator has added the key or the route.
#[actix_rt::test]
async fn unconfirmed_config_refuses_for_good() {
    let (fleet, proxy) = start_alone().await;
    let unknown_route = GatewayRequest::new("r1", "/nothing/x");
    assert_eq!(fleet.call(VM, &unknown_route).await.status, 404);
    assert_eq!(fleet.call(VM, &third_account("r2")).await.status, 401);
    proxy.set_fault(LinkFault::StallResponses);
    fleet.write_config(&with_third_account(8)).await;
    fleet.wait_for_status(VM, &third_account("r3"), 503).await;
    fleet.wait_for_status(VM, &unknown_route, 503).await;
    let known = GatewayRequest::new("r4", "/read/x");
    assert_eq!(fleet.call(VM, &known).await.status, 200);
    proxy.set_fault(LinkFault::None);
    fleet.wait_for_status(VM, &third_account("r5"), 200).await;
    fleet.wait_for_status(VM, &unknown_route, 404).await;
}

/// Guards against a final refusal of a key that was added, by a VM that could have asked the store.
#[actix_rt::test]
async fn added_key_refused_beside_silent_watch() {
    let fleet = start_with_silent_watch().await;
    fleet.write_config(&with_third_account(9)).await;
    // Callers may be refused for good within the time that a configuration has to come into force.
    actix_rt::time::sleep(std::time::Duration::from_secs(2)).await;
    assert_eq!(fleet.call(VM, &third_account("r1")).await.status, 200);
}
