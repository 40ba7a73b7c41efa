//! Checks that a request which crashes backend servers is quarantined after two crashes, whichever
//! VM it is sent to, and that other requests still complete.

use futures_util::future::{join, join_all};
use verbenahinge_emulator::engine::Completion as Expected;
use verbenahinge_testkit::{Fleet, FleetOptions};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");

fn crashed_engines(fleet: &mut Fleet) -> usize {
    fleet
        .engines
        .iter_mut()
        .filter_map(|engine| engine.has_exited().then_some(()))
        .count()
}

fn options() -> FleetOptions {
    FleetOptions::new()
        .vms(3)
        .engines(6)
        .engine_arg("--token-ms", "40")
        .engine_arg("--crash-on", "POISON")
}

#[actix_rt::test]
async fn quarantined_fleet_wide() {
    let mut fleet = Fleet::start(BIN, options()).await;
    fleet.wait_for_peers().await;
    let mut answers = Vec::new();
    for vm in [0, 1, 2, 0, 1, 2] {
        let answer = fleet.vm(vm).chat("POISON", "normal").await;
        assert_ne!(answer.status, 200, "{answer:?}");
        answers.push((
            vm,
            answer.code(),
            answer.verdict(),
            crashed_engines(&mut fleet),
        ));
    }
    assert!(
        crashed_engines(&mut fleet) <= 2,
        "servers crashed: {answers:?}"
    );
    let last = fleet.vm(1).chat("POISON", "normal").await;
    assert_eq!(
        (last.code().as_str(), last.verdict().as_str()),
        ("quarantined", "not_run")
    );
}

#[actix_rt::test]
async fn other_requests_complete() {
    let mut fleet = Fleet::start(BIN, options()).await;
    fleet.wait_for_peers().await;
    let prompts: Vec<String> = (0..18).map(|index| format!("innocent {index}")).collect();
    let requests = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| fleet.vm(index % 3).chat(prompt, "normal"));
    let crashing = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        fleet.vm(0).chat("POISON", "normal").await
    };
    let (answers, crash_answer) = join(join_all(requests), crashing).await;
    for (prompt, answer) in prompts.iter().zip(answers) {
        let expected = Expected::new(&format!("{prompt}\n"), 0);
        assert!(answer.is_complete_stream(), "{prompt}: {answer:?}");
        assert_eq!(answer.text(), expected.text());
    }
    assert_eq!(crash_answer.verdict(), "may_have_run", "{crash_answer:?}");
    assert!(
        crashed_engines(&mut fleet) <= 2,
        "{} servers crashed",
        crashed_engines(&mut fleet)
    );
}
