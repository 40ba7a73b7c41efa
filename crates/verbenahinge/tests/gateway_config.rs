//! A configuration change reaches every VM within seconds, even one that has lost the store, and an
//! older version never replaces a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start(vms: u8) -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).vms(vms)).await
}

fn config_with_version(version: u64) -> String {
    CONFIG.replace("\"version\": 7", &format!("\"version\": {version}"))
}

fn without_second_account(version: u64) -> String {
    config_with_version(version).replace("key-two", "key-other")
}

fn second_account(id: &str) -> GatewayRequest {
    GatewayRequest::new(id, "/read/x").api_key("key-two")
}

#[actix_rt::test]
async fn unknown_routes_and_keys() {
    let fleet = start(1).await;
    let status = async |request: GatewayRequest| fleet.call(0, &request).await.status;
    assert_eq!(status(GatewayRequest::new("r1", "/nothing/x")).await, 404);
    assert_eq!(status(GatewayRequest::new("r2", "/read")).await, 404);
    assert_eq!(
        status(GatewayRequest::new("r3", "/read/x").api_key("wrong")).await,
        401
    );
    assert_eq!(
        status(GatewayRequest::new("r4", "/open/x").api_key("wrong")).await,
        200
    );
    assert_eq!(fleet.runs_of_request("r3").await.len(), 0);
}

#[actix_rt::test]
async fn removed_keys_rejected() {
    let fleet = start(1).await;
    assert_eq!(fleet.call(0, &second_account("r1")).await.status, 200);
    fleet.write_config(&without_second_account(8)).await;
    fleet.wait_for_status(0, &second_account("r2"), 401).await;
}

#[actix_rt::test]
async fn older_versions_ignored() {
    let fleet = start(1).await;
    fleet.write_config(&without_second_account(9)).await;
    fleet.wait_for_status(0, &second_account("r1"), 401).await;
    fleet.write_config(&config_with_version(8)).await;
    fleet.write_config("not a configuration").await;
    fleet.wait_for_log(0, "name=config_unreadable").await;
    assert_eq!(fleet.call(0, &second_account("r2")).await.status, 401);
}

#[actix_rt::test]
async fn config_from_peers() {
    let mut fleet = start(2).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(2).await;
    proxy.set_fault(LinkFault::Reset);
    fleet.write_config(&without_second_account(8)).await;
    for vm in 0..3 {
        fleet.wait_for_status(vm, &second_account("r1"), 401).await;
    }
    fleet.wait_for_log(2, "version=8 source=peer").await;
}

#[actix_rt::test]
async fn lost_history_reread() {
    let fleet = start(1).await;
    let faults = StoreFaults {
        history_from: u64::MAX,
        ..StoreFaults::default()
    };
    fleet.set_store_faults(&faults).await;
    fleet.write_config(&without_second_account(8)).await;
    fleet.wait_for_status(0, &second_account("r1"), 401).await;
}

#[actix_rt::test]
async fn outage_delays_readiness() {
    let mut fleet = start(1).await;
    fleet.set_store_faults(&StoreFaults::outage()).await;
    assert_eq!(fleet.call(0, &second_account("r1")).await.status, 200);
    fleet.vm_process(0).kill();
    fleet.add_vm();
    let response = fleet.call(1, &second_account("r2")).await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after_s().is_some());
    assert!(!fleet.is_ready(1).await);
    fleet.set_store_faults(&StoreFaults::default()).await;
    fleet.wait_until_ready(1).await;
    assert_eq!(fleet.call(1, &second_account("r3")).await.status, 200);
}

/// Guards against seeds that were forgotten before they were contacted, so that a VM that started
/// during an outage stayed unready until its end.
#[actix_rt::test]
async fn seeds_forgotten_at_start() {
    let mut fleet = start(1).await;
    fleet.set_store_faults(&StoreFaults::outage()).await;
    fleet.add_vm();
    fleet.wait_until_ready(1).await;
    assert_eq!(fleet.call(1, &second_account("r1")).await.status, 200);
}

/// Message that names a version of the configuration's table, and nothing else.
#[derive(Clone, PartialEq, prost::Message)]
struct VersionMessage {
    #[prost(fixed64, tag = "1")]
    vm: u64,
    #[prost(message, repeated, tag = "8")]
    feeds: Vec<FeedVersion>,
}

/// Message that names the version of the configuration that a VM has in force, or none.
#[derive(Clone, PartialEq, prost::Message)]
struct ConfigMessage {
    #[prost(fixed64, tag = "1")]
    vm: u64,
    #[prost(uint64, tag = "14")]
    config_version: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FeedVersion {
    #[prost(uint32, tag = "1")]
    feed: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
}

/// Guards against a final 404 or 401 by a VM that knows that its configuration is outdated.
#[actix_rt::test]
async fn outdated_vms_refuse_unknown() {
    let fleet = start(1).await;
    let message = VersionMessage {
        vm: 77,
        feeds: vec![FeedVersion {
            feed: 1,
            version: 1_000_000,
        }],
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let vm: SocketAddr = fleet.peer_address(0);
    socket
        .send_to(&message.encode_to_vec(), vm)
        .await
        .expect("a datagram to the VM");
    fleet
        .wait_for_log(0, "name=peer_linked address=127.0.0.1")
        .await;
    let unknown_route = GatewayRequest::new("r1", "/nothing/x");
    let unknown_key = GatewayRequest::new("r2", "/read/x").api_key("wrong");
    for request in [unknown_route, unknown_key] {
        let response = fleet.call(0, &request).await;
        assert_eq!(response.status, 503, "{request:?}");
        assert!(response.retry_after_s().is_some(), "{request:?}");
    }
    fleet
        .wait_for_log(0, "name=table_fetch_failed table=1 address=127.0.0.1:")
        .await;
    let known = fleet.call(0, &second_account("r3")).await;
    assert_eq!(known.status, 200);
}

/// Guards against a VM that forgets, after a failed fetch, that another VM has a newer configuration, and
/// refuses for good by its own.
#[actix_rt::test]
async fn failed_fetch_forgets_newer_config() {
    /// More than the pause after a failed fetch, in messages.
    const MESSAGES: u32 = 12;
    let fleet = start(1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let vm: SocketAddr = fleet.peer_address(0);
    let mut config_version = 1000;
    for index in 0..MESSAGES {
        let message = ConfigMessage {
            vm: 77,
            config_version,
        };
        socket
            .send_to(&message.encode_to_vec(), vm)
            .await
            .expect("a datagram to the VM");
        if index == 0 {
            fleet
                .wait_for_log(0, "name=table_fetch_failed table=1 address=127.0.0.1:")
                .await;
        }
        let unknown_route = GatewayRequest::new(format!("r{index}"), "/nothing/x");
        assert_eq!(fleet.call(0, &unknown_route).await.status, 503, "{index}");
        // The other VM is live, and names the version only once.
        config_version = 0;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against a configuration that lets everybody in once the last API key is taken away.
#[actix_rt::test]
async fn last_key_removed_opens_routes() {
    let fleet = start(1).await;
    let accounts = [
        "\"api_keys\": []",
        "\"api_keys\": [\"key-one\"]",
        "\"tenants\": []",
    ];
    for (version, accounts) in (8..).zip(accounts) {
        let config = config_with_version(version);
        let (routes, rest) = config
            .split_once("\"tenants\"")
            .expect("a configuration with accounts");
        let rest = if accounts.contains("tenants") {
            format!("{accounts}}}")
        } else {
            let second = "\"api_keys\": [\"key-two\"]";
            let rest = rest.replace(second, "\"api_keys\": []");
            let rest = rest.replace("\"api_keys\": [\"key-one\"]", accounts);
            format!("\"tenants\"{rest}")
        };
        fleet.write_config(&format!("{routes}{rest}")).await;
        fleet
            .wait_for_log(0, &format!("name=config_in_force version={version} "))
            .await;
        for key in ["key-two", "never-held", ""] {
            let id = format!("r{version}-{key}");
            let request = GatewayRequest::new(&id, "/read/x").api_key(key);
            assert_eq!(fleet.call(0, &request).await.status, 401, "{id}");
            assert!(fleet.runs_of_request(&id).await.is_empty(), "{id}");
        }
        let public = GatewayRequest::new(format!("p{version}"), "/open/x");
        assert_eq!(fleet.call(0, &public).await.status, 200);
    }
}
