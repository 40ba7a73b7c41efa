//! Every caller receives the whole answer to its own request, and only that answer.

use futures_util::future::join_all;
use serde_json::{Value, json};
use verbenahinge_emulator::engine::Completion as Expected;
use verbenahinge_testkit::{Answer, Fleet, FleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

fn assert_whole(answer: &Answer, prompt: &str) {
    let expected = Expected::new(&format!("{prompt}\n"), 0);
    assert!(answer.is_whole_stream(), "{answer:?}");
    assert_eq!(answer.text(), expected.text(), "{prompt}");
}

async fn ask_many(fleet: &Fleet, count: usize) -> Vec<(String, Answer)> {
    let prompts: Vec<String> = (0..count).map(|index| format!("prompt {index}")).collect();
    let asked = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| fleet.vm(index % 2).chat(prompt, "normal"));
    let answers = join_all(asked).await;
    prompts.into_iter().zip(answers).collect()
}

/// Asks many questions while the engines dress their frames wrongly.
async fn assert_whole_under(faults: Value) {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    for engine in &fleet.engines {
        Fleet::faults(engine, faults.clone()).await;
    }
    for (prompt, answer) in ask_many(&fleet, 12).await {
        assert_whole(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn doubled_frames() {
    assert_whole_under(json!({"double_frames": true})).await;
}

#[actix_rt::test]
async fn foreign_frames() {
    assert_whole_under(json!({"foreign_frames": true})).await;
}

#[actix_rt::test]
async fn silent_connections() {
    let options = FleetOptions::new().engine_arg("--token-ms", "60");
    let fleet = Fleet::start(BIN, options).await;
    let faults = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(400)).await;
        for engine in &fleet.engines {
            Fleet::faults(engine, json!({"silence_open": true})).await;
        }
    };
    let (answers, ()) = futures_util::future::join(ask_many(&fleet, 8), faults).await;
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt);
    }
    // The streams were resumed, not run again.
    assert_eq!(fleet.engines_ran().await.len(), 8);
}

#[actix_rt::test]
async fn engine_killed() {
    let options = FleetOptions::new()
        .engines(3)
        .engine_arg("--token-ms", "40");
    let mut fleet = Fleet::start(BIN, options).await;
    let mut victim = fleet.engines.remove(0);
    let kill = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        victim.kill();
    };
    let (answers, ()) = futures_util::future::join(ask_many(&fleet, 12), kill).await;
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn engine_frozen() {
    let options = FleetOptions::new()
        .engines(3)
        .engine_arg("--token-ms", "40");
    let mut fleet = Fleet::start(BIN, options).await;
    let victim = fleet.engines.remove(0);
    let freeze = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        victim.freeze();
    };
    let (answers, ()) = futures_util::future::join(ask_many(&fleet, 12), freeze).await;
    victim.thaw();
    for (prompt, answer) in answers {
        assert_whole(&answer, &prompt);
    }
}

#[actix_rt::test]
async fn caller_leaves() {
    let options = FleetOptions::new().engine_arg("--token-ms", "50");
    let fleet = Fleet::start(BIN, options).await;
    let caller = fleet.vm(0).caller();
    let asked = actix_rt::spawn(async move { caller.chat("a long story", "normal").await });
    fleet
        .wait("the answer has begun", async |fleet| {
            fleet.vm(0).status().await["in_flight"] == 1
        })
        .await;
    actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
    asked.abort();
    fleet
        .wait("the slot is free", async |fleet| {
            fleet.vm(0).status().await["in_flight"] == 0
        })
        .await;
    fleet
        .wait("the engine has stopped", async |fleet| {
            let ran = fleet.engines_ran().await;
            ran.iter().all(|run| run["finished"] == false)
        })
        .await;
}

/// Asks for an answer that is gathered and sent in one piece.
async fn ask_whole(fleet: &Fleet, key: &str, max_tokens: u64) -> Answer {
    let messages = json!([{"role": "user", "content": "gathered"}]);
    let body = json!({"model": "small", "messages": messages, "max_tokens": max_tokens});
    let caller = fleet.vm(0).caller().header("idempotency-key", key);
    caller.post("/v1/chat/completions", &body).await
}

#[actix_rt::test]
async fn unreadable_frames_are_no_answer() {
    let fleet = Fleet::start(BIN, FleetOptions::new()).await;
    let expected = Expected::new("gathered\n", 9).text();
    let whole = ask_whole(&fleet, "k1", 9).await;
    assert_eq!((whole.status, whole.text()), (200, expected));
    for engine in &fleet.engines {
        Fleet::faults(engine, json!({"cut_frames": true})).await;
    }
    let cut = ask_whole(&fleet, "k2", 9).await;
    assert_eq!(
        (cut.status, cut.verdict().as_str()),
        (502, "may_have_run"),
        "{cut:?}"
    );
}

#[actix_rt::test]
async fn outcomes_that_are_not_kept() {
    let options = FleetOptions::new().engine_arg("--token-ms", "1");
    let fleet = Fleet::start(BIN, options).await;
    let first = ask_whole(&fleet, "k1", 2000).await;
    assert_eq!(first.status, 200);
    let again = ask_whole(&fleet, "k1", 2000).await;
    let told = (again.code(), again.verdict());
    assert_eq!(
        (again.status, told.0.as_str(), told.1.as_str()),
        (409, "duplicate", "may_have_run")
    );
}
