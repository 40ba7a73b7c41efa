//! Checks that an accepted configuration version comes into force on every VM, and that no VM
//! returns to an older one.

use futures_util::future::join_all;
use hyper::Method;
use serde_json::{Value, json};
use verbenahinge_testkit::{Fleet, FleetOptions, Response};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

fn weight_patch(weight: u32) -> Value {
    json!([{"op": "replace", "path": "/accounts/tuul/weight", "value": weight}])
}

async fn send_patch(fleet: &Fleet, vm: usize, base: u64, id: &str, patch: &Value) -> Response {
    let operator = fleet.vm(vm).operator();
    operator
        .header("if-match", &format!("\"{base}\""))
        .header("idempotency-key", id)
        .send(Method::PATCH, "/v1/config", Some(patch))
        .await
}

#[actix_rt::test]
async fn concurrent_patches() {
    let fleet = Fleet::start(BIN, FleetOptions::new().vms(3)).await;
    for base in 1..4_u64 {
        let ids: Vec<String> = (0..6).map(|index| format!("race-{base}-{index}")).collect();
        let patches: Vec<Value> = (0..6).map(|index| weight_patch(10 + index)).collect();
        let submissions = ids
            .iter()
            .zip(&patches)
            .enumerate()
            .map(|(index, (id, patch))| send_patch(&fleet, index % 3, base, id, patch));
        let answers = join_all(submissions).await;
        let accepted = answers.iter().filter(|answer| answer.status == 200).count();
        let rejected = answers.iter().filter(|answer| answer.status == 412).count();
        assert_eq!((accepted, rejected), (1, 5), "{answers:?}");
        fleet.wait_for_version(base + 1).await;
    }
    let history = fleet.vm(0).operator().get("/v1/history").await.json();
    assert_eq!(history.as_array().map(Vec::len), Some(4));
}

#[actix_rt::test]
async fn lost_commit_reply() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    Fleet::set_faults(&fleet.platform, json!({"lose_next_writes": 2})).await;
    let answer = send_patch(&fleet, 0, 1, "lost", &weight_patch(7)).await;
    assert_eq!(
        (answer.status, answer.json()["version"].as_u64()),
        (200, Some(2))
    );
    let again = send_patch(&fleet, 1, 1, "lost", &weight_patch(7)).await;
    assert_eq!(
        (again.status, again.json()["version"].as_u64()),
        (200, Some(2))
    );
}

#[actix_rt::test]
async fn invalid_patch_rejected() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let invalid_patch = json!([
        {"op": "replace", "path": "/accounts/tuul/weight", "value": 9},
        {"op": "replace", "path": "/classes/urgent/tier", "value": 99},
        {"op": "replace", "path": "/accounts/tuul/default_class", "value": "none"},
    ]);
    let answer = send_patch(&fleet, 0, 1, "mixed", &invalid_patch).await;
    let body = answer.json();
    let paths: Vec<&str> = body["problems"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|problem| problem["path"].as_str())
        .collect();
    assert_eq!(answer.status, 422);
    assert_eq!(
        paths,
        ["/classes/urgent/tier", "/accounts/tuul/default_class"]
    );
    let config = fleet.vm(0).operator().get("/v1/config").await.json();
    assert_eq!(config["accounts"]["tuul"]["weight"], 1);
}

#[actix_rt::test]
async fn outage_after_accept() {
    let fleet = Fleet::start(BIN, FleetOptions::new().vms(4)).await;
    fleet.wait_for_peers().await;
    let answer = send_patch(&fleet, 0, 1, "then-down", &weight_patch(5)).await;
    Fleet::set_faults(&fleet.platform, json!({"store": "down"})).await;
    assert_eq!(answer.status, 200);
    fleet.wait_for_version(2).await;
}

#[actix_rt::test]
async fn restart_during_outage() {
    let mut fleet = Fleet::start(BIN, FleetOptions::new().vms(3)).await;
    fleet.wait_for_peers().await;
    assert_eq!(
        send_patch(&fleet, 0, 1, "before", &weight_patch(5))
            .await
            .status,
        200
    );
    fleet.wait_for_version(2).await;
    Fleet::set_faults(&fleet.platform, json!({"store": "down"})).await;
    fleet.vm_mut(2).process.restart();
    fleet.wait_for_version(2).await;
    let answer = fleet.vm(2).chat("served in the outage", "normal").await;
    assert!(answer.is_complete_stream(), "{answer:?}");
}

#[actix_rt::test]
async fn frozen_vm_catches_up() {
    let fleet = Fleet::start(BIN, FleetOptions::new().vms(3)).await;
    fleet.wait_for_peers().await;
    fleet.vm(2).process.suspend();
    assert_eq!(
        send_patch(&fleet, 0, 1, "one", &weight_patch(3))
            .await
            .status,
        200
    );
    assert_eq!(
        send_patch(&fleet, 0, 2, "two", &weight_patch(4))
            .await
            .status,
        200
    );
    fleet.vm(2).process.resume();
    let mut seen = 0;
    for _ in 0..100 {
        let version = fleet.vm(2).status().await["config_version"].as_u64();
        let version = version.unwrap_or(0);
        assert!(version >= seen, "version reverted from {seen} to {version}");
        seen = version;
        if seen == 3 {
            break;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(seen, 3);
}
