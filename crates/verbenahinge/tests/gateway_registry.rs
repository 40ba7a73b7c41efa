//! Backend servers are used according to their registry entries and to how they respond, through
//! restarts of servers and outages of the store.

use std::time::Duration;

use verbenahinge_core::gateway::ServerState;
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_platform::store::SERVER_TABLE;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Time after an outage of the store in which servers register again.
const REREGISTER_TIME: Duration = Duration::from_millis(2100);

async fn start(servers: usize) -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).servers(servers)).await
}

/// Sends eight requests and returns how many each of two servers ran.
async fn count_runs(fleet: &GatewayFleet, prefix: &str) -> [usize; 2] {
    let before = [fleet.runs(0).await.len(), fleet.runs(1).await.len()];
    for count in 0..8 {
        let request = GatewayRequest::new(format!("{prefix}-{count}"), "/read/x");
        assert_eq!(fleet.call(0, &request).await.status, 200);
    }
    let after = [fleet.runs(0).await.len(), fleet.runs(1).await.len()];
    [after[0] - before[0], after[1] - before[1]]
}

#[actix_rt::test]
async fn draining_servers_unused() {
    let fleet = start(2).await;
    let mut entry = fleet.server_entry(0);
    entry.state = ServerState::Draining;
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "change=draining").await;
    assert_eq!(count_runs(&fleet, "a").await, [0, 8]);
    entry.state = ServerState::Ready;
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "change=updated").await;
    assert_ne!(count_runs(&fleet, "b").await[0], 0);
}

#[actix_rt::test]
async fn removed_servers_unused() {
    let fleet = start(2).await;
    fleet.unregister(1).await;
    fleet.wait_for_log(0, "change=removed").await;
    assert_eq!(count_runs(&fleet, "a").await, [8, 0]);
}

#[actix_rt::test]
async fn unreadable_entries_ignored() {
    let fleet = start(2).await;
    let unreadable: [(&str, &[u8]); 4] = [
        ("no-json", b"\xff\x00"),
        ("no-address", br#"{"service":"service","zone":"a","slots":8,"state":"ready"}"#),
        ("odd-state", br#"{"service":"service","address":"127.0.0.1:9","zone":"a","slots":8,"state":"odd"}"#),
        ("odd-slots", br#"{"service":"service","address":"127.0.0.1:9","zone":"a","slots":"8","state":"ready"}"#),
    ];
    for (id, value) in unreadable {
        fleet.write_row(SERVER_TABLE, id, Some(value)).await;
        fleet
            .wait_for_log(0, &format!("name=server_unreadable server={id}"))
            .await;
    }
    let [first, second] = count_runs(&fleet, "a").await;
    assert_eq!(first + second, 8);
}

/// Guards against VMs that end, or stop following the registry, because of one odd entry.
#[actix_rt::test]
async fn odd_entry_stops_registry() {
    /// Deeper than a parser that calls itself for each level can bear.
    const NESTING: usize = 200_000;
    let fleet = start(1).await;
    let entry = |field: &str, value: &str| {
        format!(
            r#"{{"service":"service","address":"127.0.0.1:9","zone":"a","slots":8,"state":"draining","{field}":{value}}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let odd = [
        ("nested", entry("extra", &nested)),
        (
            "nested-zone",
            entry("zone", &nested).replacen(r#""zone":"a","#, "", 1),
        ),
        (
            "large-slots",
            entry("extra", "0").replace(":8", ":4294967295"),
        ),
        ("larger-slots", entry("extra", "0").replace(":8", ":1e400")),
        ("large-start", entry("born", "99999999999999999999999999")),
        ("large-warm-up", entry("cold_remaining_ms", "1e308")),
        ("warm-up", entry("cold_remaining_ms", "1e21")),
        ("port", entry("extra", "0").replace(":9", ":70000")),
        ("no-port", entry("extra", "0").replace(":9", ":0")),
    ];
    for (id, value) in odd {
        fleet
            .write_row(SERVER_TABLE, id, Some(value.as_bytes()))
            .await;
        let later = format!("after-{id}");
        let mut entry = fleet.server_entry(0);
        entry.id = later.as_str().into();
        entry.state = ServerState::Draining;
        fleet.register(&entry).await;
        fleet
            .wait_for_log(0, &format!("server={later} change=added"))
            .await;
        let request = GatewayRequest::new(id, "/once/x");
        assert_eq!(fleet.call(0, &request).await.status, 200, "{id}");
    }
}

#[actix_rt::test]
async fn reused_address_rejected() {
    let fleet = start(1).await;
    let mut entry = fleet.server_entry(0);
    entry.id = "gone".into();
    fleet.register(&entry).await;
    fleet.unregister(0).await;
    fleet.wait_for_log(0, "change=removed").await;
    let response = fleet.call(0, &GatewayRequest::new("r1", "/once/x")).await;
    assert_eq!(response.status, 503);
    assert!(fleet.runs(0).await.is_empty());
}

#[actix_rt::test]
async fn entries_survive_outage() {
    let fleet = start(2).await;
    fleet.set_store_faults(&StoreFaults::outage()).await;
    fleet.wait_for_log(0, "name=platform_unavailable").await;
    fleet.set_store_faults(&StoreFaults::default()).await;
    // Both entries are missing after the outage; one server registers again.
    fleet.unregister(0).await;
    fleet.unregister(1).await;
    fleet.wait_for_log(0, "name=platform_available").await;
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r1", "/read/x"))
            .await
            .status,
        200
    );
    fleet.register(&fleet.server_entry(0)).await;
    fleet.wait_for_log(0, "server=server-1 change=lapsed").await;
    assert_eq!(count_runs(&fleet, "a").await, [8, 0]);
}

/// Guards against a server that stays in use after it left, because its removal arrived with the
/// first watch after an outage.
#[actix_rt::test]
async fn removal_taken_for_lapse() {
    let fleet = start(2).await;
    fleet.set_store_faults(&StoreFaults::outage()).await;
    fleet
        .wait_for_log(0, "name=platform_unavailable table=servers")
        .await;
    fleet.set_store_faults(&StoreFaults::default()).await;
    fleet.wait_for_watches(SERVER_TABLE, 1).await;
    actix_rt::time::sleep(REREGISTER_TIME).await;
    fleet.unregister(1).await;
    fleet
        .wait_for_log(0, "name=server_listed server=server-1 change=removed")
        .await;
    assert_eq!(count_runs(&fleet, "a").await, [8, 0]);
    assert!(!fleet.read_log(0).contains("server=server-1 change=missing"));
}

#[actix_rt::test]
async fn restarted_servers_reused() {
    let mut fleet = start(1).await;
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r1", "/read/x"))
            .await
            .status,
        200
    );
    fleet.server_process(0).kill();
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r2", "/read/x"))
            .await
            .status,
        503
    );
    fleet.server_process(0).restart();
    let mut entry = fleet.server_entry(0);
    entry.started_unix_ms = Some(2);
    fleet.register(&entry).await;
    fleet.wait_for_log(0, "change=restarted").await;
    assert_eq!(
        fleet
            .call(0, &GatewayRequest::new("r3", "/read/x"))
            .await
            .status,
        200
    );
}
