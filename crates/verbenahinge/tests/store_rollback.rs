//! The store returns from an older copy: it forgets what it acknowledged last and gives out versions
//! again. What the operator and the servers write afterwards is in force at once, what they had said
//! before is not undone, and what VMs had written is written again.

use std::time::{Duration, Instant};

use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_platform::store::{SERVER_TABLE, VM_TABLE};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Timeout for a row to be written again.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Rows of a table that VMs ignore, by which the version rises.
const FILLER_ROWS: u64 = 20;

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

async fn write_filler_rows(fleet: &GatewayFleet) {
    for index in 0..FILLER_ROWS {
        let value = index.to_string();
        fleet
            .write_row("filler", "row", Some(value.as_bytes()))
            .await;
    }
}

/// Waits until the replicas have applied all rows written so far.
async fn wait_until_applied(fleet: &GatewayFleet, vm: usize, config_version: u64) {
    fleet
        .write_config(&config_with_version(config_version))
        .await;
    fleet
        .wait_for_log(
            vm,
            &format!("name=config_in_force version={config_version} "),
        )
        .await;
}

/// Guards against a replica that ignores the versions that a returned store gives out again, and asks
/// the store again without a pause.
#[actix_rt::test]
async fn older_versions_after_rollback() {
    let fleet = start(1).await;
    let copy = fleet.store_version().await;
    write_filler_rows(&fleet).await;
    wait_until_applied(&fleet, 0, 10).await;
    fleet.roll_back_store(copy).await;
    fleet.write_config(&without_second_account(50)).await;
    fleet.wait_for_status(0, &second_account("r1"), 401).await;
    // One for each of the two tables, and one for a watch that began before the rollback.
    let unknown_versions = fleet.store_responses(410).await;
    assert!(unknown_versions <= 4, "{unknown_versions} watches got 410");
}

/// Guards against a watch from a version that was given out again, which misses the changes below.
#[actix_rt::test]
async fn reissued_versions_hide_changes() {
    let mut fleet = start(1).await;
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(1).await;
    fleet.vm_process(0).kill();
    let copy = fleet.store_version().await;
    wait_until_applied(&fleet, 1, 10).await;
    proxy.set_fault(LinkFault::Reset);
    fleet.roll_back_store(copy).await;
    fleet.write_config(&without_second_account(50)).await;
    write_filler_rows(&fleet).await;
    proxy.set_fault(LinkFault::None);
    fleet.wait_for_status(1, &second_account("r1"), 401).await;
}

/// Guards against a VM that goes back to the configuration of the older copy, or that starts with
/// it while others have a newer one.
#[actix_rt::test]
async fn older_config_after_rollback() {
    let mut fleet = start(1).await;
    let copy = fleet.store_version().await;
    fleet.write_config(&without_second_account(50)).await;
    fleet.wait_for_status(0, &second_account("r1"), 401).await;
    fleet.roll_back_store(copy).await;
    fleet.add_vm();
    fleet.wait_until_ready(1).await;
    for vm in 0..2 {
        fleet.wait_for_status(vm, &second_account("r2"), 401).await;
    }
}

/// Guards against a leaving server that the older copy lists as ready.
#[actix_rt::test]
async fn drained_server_after_rollback() {
    let fleet = start(1).await;
    let copy = fleet.store_version().await;
    let draining = ServerEntry {
        state: ServerState::Draining,
        ..fleet.server_entry(0)
    };
    fleet.register(&draining).await;
    fleet
        .wait_for_log(0, "server=server-0 change=draining")
        .await;
    // The server leaves, so it does not write its entry again.
    fleet.unregister(0).await;
    fleet
        .wait_for_log(0, "server=server-0 change=removed")
        .await;
    fleet.roll_back_store(copy).await;
    wait_until_applied(&fleet, 0, 50).await;
    for index in 0..20 {
        let request = GatewayRequest::new(format!("r{index}"), "/read/x");
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
    assert_eq!(fleet.runs(0).await.len(), 0);
}

/// Guards against live servers that are dropped because the older copy lacks their entries.
#[actix_rt::test]
async fn unlisted_servers_after_rollback() {
    let mut fleet = start(1).await;
    let copy = fleet.store_version().await;
    fleet.add_server("server-2", "service").await;
    fleet.wait_for_log(0, "server=server-2 change=added").await;
    fleet.roll_back_store(copy).await;
    fleet
        .wait_for_log(0, "server=server-2 change=missing")
        .await;
    fleet.register(&fleet.server_entry(2)).await;
    wait_until_applied(&fleet, 0, 50).await;
    assert!(
        fleet
            .store_keys(SERVER_TABLE)
            .await
            .contains(&"server-2".to_owned())
    );
    actix_rt::time::sleep(verbenahinge_core::gateway::REREGISTER_GRACE).await;
    let log = fleet.read_log(0);
    assert!(!log.contains("server=server-2 change=lapsed"), "{log}");
}

/// Guards against VMs that nobody finds any more, because the store has forgotten their addresses.
#[actix_rt::test]
async fn addresses_lost_by_rollback() {
    // In a fleet of 18, most VMs don't watch the store.
    for vms in [2, 18] {
        let fleet = start(vms).await;
        wait_for_addresses(&fleet, usize::from(vms)).await;
        fleet.roll_back_store(1).await;
        wait_for_addresses(&fleet, usize::from(vms)).await;
    }
}

async fn wait_for_addresses(fleet: &GatewayFleet, vms: usize) {
    let started = Instant::now();
    loop {
        let listed = fleet.store_keys(VM_TABLE).await.len();
        if listed == vms {
            return;
        }
        assert!(
            started.elapsed() < REWRITE_TIMEOUT,
            "the store has the addresses of {listed} of {vms} VMs"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against versions of two eras that are compared by their number alone.
#[actix_rt::test]
async fn rollbacks_in_series() {
    let fleet = start(2).await;
    for version in [20, 40, 60] {
        let copy = fleet.store_version().await;
        write_filler_rows(&fleet).await;
        fleet.write_config(&config_with_version(version)).await;
        fleet
            .wait_for_log(1, &format!("name=config_in_force version={version} "))
            .await;
        fleet.roll_back_store(copy).await;
        fleet
            .write_config(&without_second_account(version + 5))
            .await;
        for vm in 0..2 {
            fleet.wait_for_status(vm, &second_account("r1"), 401).await;
        }
        fleet.write_config(&config_with_version(version + 10)).await;
        for vm in 0..2 {
            fleet.wait_for_status(vm, &second_account("r2"), 200).await;
        }
    }
}
