//! Checks that a request refused with the verdict "not run" was not run, and that refusals carry a
//! retry time.

use futures_util::future::join_all;
use serde_json::json;
use verbenahinge_testkit::{Fleet, FleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

#[actix_rt::test]
async fn overload_burst_refused() {
    let options = FleetOptions::new().slots(2).engine_arg("--token-ms", "150");
    let fleet = Fleet::start(BIN, options).await;
    let prompts: Vec<String> = (0..60).map(|index| format!("burst {index}")).collect();
    let requests = prompts.iter().enumerate().map(|(index, prompt)| {
        let class = ["urgent", "normal", "batch"][index % 3];
        fleet.vm(index % 2).chat(prompt, class)
    });
    let answers = join_all(requests).await;
    let ran = fleet.engine_runs().await;
    let mut refused = 0;
    for answer in &answers {
        let runs = ran
            .iter()
            .filter(|run| run["request"] == answer.request_id.as_str());
        let runs = runs.count();
        if answer.status == 200 {
            assert!(answer.is_complete_stream(), "{answer:?}");
            continue;
        }
        refused += 1;
        assert!(answer.retry_after.is_some(), "{answer:?}");
        if answer.verdict() == "not_run" {
            assert_eq!(runs, 0, "{answer:?}");
        }
    }
    assert!(
        refused > 0,
        "no request was refused, so the burst did not exceed the capacity"
    );
}

#[actix_rt::test]
async fn store_outage() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    Fleet::set_faults(&fleet.platform, json!({"store": "silent"})).await;
    for index in 0..10 {
        let answer = fleet
            .vm(index % 2)
            .chat(&format!("ask {index}"), "normal")
            .await;
        assert!(answer.is_complete_stream(), "{answer:?}");
    }
}

#[actix_rt::test]
async fn no_server() {
    let mut fleet = Fleet::start(BIN, FleetOptions::new()).await;
    for engine in &mut fleet.engines {
        engine.kill();
    }
    let answer = fleet.vm(0).chat("nobody there", "urgent").await;
    assert_ne!(answer.status, 200);
    assert_eq!(answer.verdict(), "not_run", "{answer:?}");
    assert!(answer.retry_after.is_some());
}
