//! Checks that a request with an idempotency key runs at most once, despite duplicates, lost
//! replies, a store outage and the loss of the VM that sent it.

use futures_util::future::join_all;
use serde_json::json;
use verbenahinge_testkit::{Fleet, FleetOptions, Response};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

async fn open_pull(fleet: &Fleet, vm: usize, key: &str) -> Response {
    let caller = fleet.vm(vm).caller().header("idempotency-key", key);
    caller
        .post("/services/forge/pulls", &json!({"bump": key}))
        .await
}

/// Returns how often the service ran the request with the given key.
async fn run_count(fleet: &Fleet, key: &str) -> usize {
    let ran = Fleet::runs(&fleet.service).await;
    ran.iter().filter(|call| call["key"] == key).count()
}

#[actix_rt::test]
async fn duplicates_run_once() {
    let fleet = Fleet::start(BIN, FleetOptions::new().service_arg("--delay-ms", "50")).await;
    let keys = ["a", "b", "c", "d", "e"];
    let mut calls = Vec::new();
    for key in keys {
        for vm in [0, 1, 0, 1] {
            calls.push(open_pull(&fleet, vm, key));
        }
    }
    let answers = join_all(calls).await;
    for answer in &answers {
        let allowed = answer.status == 200
            || (answer.code() == "duplicate" && answer.verdict() == "may_have_run");
        assert!(allowed, "{answer:?}");
    }
    for key in keys {
        assert_eq!(run_count(&fleet, key).await, 1, "{key}");
    }
}

#[actix_rt::test]
async fn duplicate_replays_outcome() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let first = open_pull(&fleet, 0, "bump-1").await;
    assert_eq!(first.status, 200);
    fleet
        .wait_until("the outcome is kept", async |fleet| {
            open_pull(fleet, 1, "bump-1").await.status == 200
        })
        .await;
    let second = open_pull(&fleet, 1, "bump-1").await;
    assert_eq!(second.body, first.body);
    assert_eq!(run_count(&fleet, "bump-1").await, 1);
}

#[actix_rt::test]
async fn lost_claim_reply() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    Fleet::set_faults(&fleet.platform, json!({"lose_next_writes": 1})).await;
    let answer = open_pull(&fleet, 0, "bump-2").await;
    assert_eq!((answer.status, run_count(&fleet, "bump-2").await), (200, 1));
}

#[actix_rt::test]
async fn store_down() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    Fleet::set_faults(&fleet.platform, json!({"store": "down"})).await;
    let answer = open_pull(&fleet, 0, "bump-3").await;
    assert_eq!(answer.code(), "store_unavailable", "{answer:?}");
    assert_eq!(answer.verdict(), "not_run");
    assert!(answer.retry_after.is_some());
    assert_eq!(run_count(&fleet, "bump-3").await, 0);
    Fleet::set_faults(&fleet.platform, json!({"store": "up"})).await;
    fleet
        .wait_until("the key is free again", async |fleet| {
            open_pull(fleet, 1, "bump-3").await.status == 200
        })
        .await;
    assert_eq!(run_count(&fleet, "bump-3").await, 1);
}

#[actix_rt::test]
async fn lost_service_reply() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    Fleet::set_faults(&fleet.service, json!({"lose_replies": true})).await;
    let answer = open_pull(&fleet, 0, "bump-4").await;
    assert_eq!(
        (answer.status, answer.verdict().as_str()),
        (502, "may_have_run")
    );
    let again = open_pull(&fleet, 1, "bump-4").await;
    assert_eq!(
        (again.code().as_str(), again.verdict().as_str()),
        ("duplicate", "may_have_run")
    );
    assert_eq!(run_count(&fleet, "bump-4").await, 1);
}

#[actix_rt::test]
async fn vm_killed_during_call() {
    let mut fleet = Fleet::start(BIN, FleetOptions::new().service_arg("--delay-ms", "1500")).await;
    let caller = fleet.vm(0).caller().header("idempotency-key", "bump-5");
    let call =
        actix_rt::spawn(async move { caller.post("/services/forge/pulls", &json!({})).await });
    fleet
        .wait_until("the call has begun", async |fleet| {
            run_count(fleet, "bump-5").await == 1
        })
        .await;
    fleet.vm_mut(0).process.kill();
    let disconnected = call.await.expect("the caller task failed");
    assert_eq!(disconnected.status, 0);
    let again = open_pull(&fleet, 1, "bump-5").await;
    assert_eq!(
        (again.code().as_str(), again.verdict().as_str()),
        ("duplicate", "may_have_run")
    );
    assert_eq!(run_count(&fleet, "bump-5").await, 1);
}
