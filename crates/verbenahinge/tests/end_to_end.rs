//! Serves requests through real processes: streamed and plain completions, a service call and the
//! error codes of rejected requests.

use serde_json::json;
use verbenahinge_testkit::{Fleet, FleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

#[actix_rt::test]
async fn streams_chat() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let answer = fleet.vm(0).chat("which coat fits?", "urgent").await;
    let expected = verbenahinge_emulator::engine::Completion::new("which coat fits?\n", 0);
    assert!(answer.is_complete_stream(), "{answer:?}");
    assert_eq!(answer.text(), expected.text());
}

#[actix_rt::test]
async fn completes_text() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let body = json!({"model": "small", "prompt": "read the lockfile", "max_tokens": 5});
    let answer = fleet.vm(1).caller().post("/v1/completions", &body).await;
    let expected = verbenahinge_emulator::engine::Completion::new("read the lockfile", 5);
    assert_eq!((answer.status, answer.text()), (200, expected.text()));
}

#[actix_rt::test]
async fn calls_service() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let caller = fleet.vm(0).caller();
    let answer = caller
        .post("/services/forge/status", &json!({"open": 3}))
        .await;
    let body = answer.json();
    assert_eq!(answer.status, 200);
    assert_eq!(body["path"], "/status");
    assert_eq!(body["body"], "{\"open\":3}");
}

#[actix_rt::test]
async fn rejection_codes() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let caller = fleet.vm(0).caller();
    let unknown_model = json!({"model": "huge", "prompt": "x"});
    let answer = caller.post("/v1/completions", &unknown_model).await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (404, "unknown_model")
    );
    let valid_body = json!({"model": "small", "prompt": "x"});
    let forbidden = caller.clone().header("x-class", "secret");
    let answer = forbidden.post("/v1/completions", &valid_body).await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (403, "class_not_allowed")
    );
    let answer = caller.post("/v1/completions", &json!("text")).await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (400, "malformed_request")
    );
    let unauthenticated = verbenahinge_testkit::Client::new(fleet.vm(0).process.address(), "wrong");
    let answer = unauthenticated.get("/v1/models").await;
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (401, "invalid_key")
    );
    assert_eq!(answer.verdict(), "not_run");
}
