//! Checks that a graceful shutdown completes running requests and refuses new ones, and that a
//! backend server that the platform lists as leaving receives no new requests.

use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use verbenahinge_testkit::{Fleet, FleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

#[actix_rt::test]
async fn drain_completes_streams() {
    let options = FleetOptions::new().engine_arg("--token-ms", "40");
    let mut fleet = Fleet::start(BIN, options).await;
    let prompts: Vec<String> = (0..10).map(|index| format!("story {index}")).collect();
    let requests = prompts
        .iter()
        .map(|prompt| fleet.vm(0).chat(prompt, "normal"));
    let drain = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        fleet.vm(0).process.terminate();
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
        let ready = fleet.vm(0).operator().get("/readyz").await.status;
        let refused = fleet.vm(0).chat("too late", "normal").await;
        (ready, refused)
    };
    let (answers, (ready, refused)) = join(join_all(requests), drain).await;
    for answer in &answers {
        assert!(answer.is_complete_stream(), "{answer:?}");
    }
    assert_eq!(ready, 503);
    assert_eq!(
        (refused.code().as_str(), refused.verdict().as_str()),
        ("draining", "not_run")
    );
    for _ in 0..100 {
        if fleet.vm_mut(0).process.has_exited() {
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("the process did not exit after the drain");
}

#[actix_rt::test]
async fn leaving_server_unused() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let leaving = fleet.engines[0].address();
    let mut list: Vec<Value> = (0..2)
        .map(|vm| json!({"address": fleet.vm(vm).peer_address(), "state": "live"}))
        .collect();
    list.push(json!({"address": leaving, "state": "leaving", "backend": true}));
    let platform = verbenahinge_testkit::Client::new(fleet.platform.address(), "");
    let put = hyper::Method::PUT;
    let answer = platform.send(put, "/vms", Some(&Value::from(list))).await;
    assert_eq!(answer.status, 204);
    actix_rt::time::sleep(std::time::Duration::from_secs(3)).await;
    let ran_before = Fleet::runs(&fleet.engines[0]).await.len();
    for index in 0..20 {
        let answer = fleet
            .vm(index % 2)
            .chat(&format!("ask {index}"), "normal")
            .await;
        assert!(answer.is_complete_stream(), "{answer:?}");
    }
    assert_eq!(Fleet::runs(&fleet.engines[0]).await.len(), ran_before);
}
