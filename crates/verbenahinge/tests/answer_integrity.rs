//! Checks that every caller receives the complete answer to its own request, without frames of
//! other requests, while engines duplicate frames, send foreign ones, stall or crash.

use futures_util::future::join_all;
use serde_json::{Value, json};
use verbenahinge_emulator::engine::Completion as Expected;
use verbenahinge_testkit::{Fleet, FleetOptions, Response};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

fn assert_complete(answer: &Response, prompt: &str) {
    let expected = Expected::new(&format!("{prompt}\n"), 0);
    assert!(answer.is_complete_stream(), "{answer:?}");
    assert_eq!(answer.text(), expected.text(), "{prompt}");
}

async fn chat_concurrently(fleet: &Fleet, count: usize) -> Vec<(String, Response)> {
    let prompts: Vec<String> = (0..count).map(|index| format!("prompt {index}")).collect();
    let requests = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| fleet.vm(index % 2).chat(prompt, "normal"));
    let answers = join_all(requests).await;
    prompts.into_iter().zip(answers).collect()
}

/// Sends concurrent requests to engines with the given faults and expects complete answers.
async fn assert_complete_under(faults: Value) {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    for engine in &fleet.engines {
        Fleet::set_faults(engine, faults.clone()).await;
    }
    for (prompt, answer) in chat_concurrently(&fleet, 12).await {
        assert_complete(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn duplicated_frames() {
    assert_complete_under(json!({"double_frames": true})).await;
}

#[actix_rt::test]
async fn foreign_frames() {
    assert_complete_under(json!({"foreign_frames": true})).await;
}

#[actix_rt::test]
async fn stalled_connections() {
    let options = FleetOptions::new().engine_arg("--token-ms", "60");
    let fleet = Fleet::start(BIN, options).await;
    let faults = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(400)).await;
        for engine in &fleet.engines {
            Fleet::set_faults(engine, json!({"silence_open": true})).await;
        }
    };
    let (answers, ()) = futures_util::future::join(chat_concurrently(&fleet, 8), faults).await;
    for (prompt, answer) in answers {
        assert_complete(&answer, &prompt);
    }
    // The router resumed the streams instead of running the requests again.
    assert_eq!(fleet.engine_runs().await.len(), 8);
}

#[actix_rt::test]
async fn engine_killed() {
    let options = FleetOptions::new()
        .engines(3)
        .engine_arg("--token-ms", "40");
    let mut fleet = Fleet::start(BIN, options).await;
    let mut engine = fleet.engines.remove(0);
    let kill = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        engine.kill();
    };
    let (answers, ()) = futures_util::future::join(chat_concurrently(&fleet, 12), kill).await;
    for (prompt, answer) in answers {
        assert_complete(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn engine_frozen() {
    let options = FleetOptions::new()
        .engines(3)
        .engine_arg("--token-ms", "40");
    let mut fleet = Fleet::start(BIN, options).await;
    let engine = fleet.engines.remove(0);
    let freeze = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        engine.suspend();
    };
    let (answers, ()) = futures_util::future::join(chat_concurrently(&fleet, 12), freeze).await;
    engine.resume();
    for (prompt, answer) in answers {
        assert_complete(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn caller_disconnects() {
    let options = FleetOptions::new().engine_arg("--token-ms", "50");
    let fleet = Fleet::start(BIN, options).await;
    let caller = fleet.vm(0).caller();
    let request = actix_rt::spawn(async move { caller.chat("a long story", "normal").await });
    fleet
        .wait_until("the answer has begun", async |fleet| {
            fleet.vm(0).status().await["in_flight"] == 1
        })
        .await;
    actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
    request.abort();
    fleet
        .wait_until("the slot is free", async |fleet| {
            fleet.vm(0).status().await["in_flight"] == 0
        })
        .await;
    fleet
        .wait_until("the engine has stopped", async |fleet| {
            let ran = fleet.engine_runs().await;
            ran.iter().all(|run| run["finished"] == false)
        })
        .await;
}

/// Requests a completion that is not streamed, with an idempotency key.
async fn complete_unstreamed(fleet: &Fleet, key: &str, max_tokens: u64) -> Response {
    let messages = json!([{"role": "user", "content": "gathered"}]);
    let body = json!({"model": "small", "messages": messages, "max_tokens": max_tokens});
    let caller = fleet.vm(0).caller().header("idempotency-key", key);
    caller.post("/v1/chat/completions", &body).await
}

#[actix_rt::test]
async fn truncated_frames() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let expected = Expected::new("gathered\n", 9).text();
    let complete = complete_unstreamed(&fleet, "k1", 9).await;
    assert_eq!((complete.status, complete.text()), (200, expected));
    for engine in &fleet.engines {
        Fleet::set_faults(engine, json!({"cut_frames": true})).await;
    }
    let truncated = complete_unstreamed(&fleet, "k2", 9).await;
    assert_eq!(
        (truncated.status, truncated.verdict().as_str()),
        (502, "may_have_run"),
        "{truncated:?}"
    );
}

#[actix_rt::test]
async fn oversized_outcome() {
    let options = FleetOptions::new().engine_arg("--token-ms", "1");
    let fleet = Fleet::start(BIN, options).await;
    let first = complete_unstreamed(&fleet, "k1", 2000).await;
    assert_eq!(first.status, 200);
    let again = complete_unstreamed(&fleet, "k1", 2000).await;
    let error = (again.code(), again.verdict());
    assert_eq!(
        (again.status, error.0.as_str(), error.1.as_str()),
        (409, "duplicate", "may_have_run")
    );
}
