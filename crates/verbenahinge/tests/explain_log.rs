//! The `explain` command reports why a request ended, from the log of the VM that served it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use verbenahinge_emulator::scripted_server::ServerFault;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Runs the command with the log on standard input.
fn explain(log: &str, request_id: &str, extra_args: &[&str]) -> Output {
    let mut child = Command::new(BIN)
        .args(["explain", request_id, "--log", "-"])
        .args(extra_args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(log.as_bytes()).expect("the log is read");
    drop(input);
    child.wait_with_output().expect("the output")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[actix_rt::test]
async fn failed_requests_have_causes() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::LoseAnswer, 0)
            .await;
    }
    fleet.call(0, &GatewayRequest::new("lost", "/once/x")).await;
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::BreakOff, 0)
            .await;
    }
    let stream = GatewayRequest::new("cut", "/single/x").prompt(1, 2);
    fleet.call(0, &stream.deadline_ms(8000)).await;
    let unrouted = GatewayRequest::new("odd", "/nowhere/x");
    fleet.call(0, &unrouted).await;
    fleet.wait_for_log(0, "request_id=odd status=404").await;
    let log = fleet.read_log(0);
    for (request_id, expected) in [
        ("lost", "Cause: its last attempt failed: "),
        ("lost", "it may have run, status 502"),
        ("lost", "attempt_failed server=server-"),
        ("lost", "started vm="),
        ("cut", "Cause: the answer of server server-"),
        ("cut", "ended early"),
        ("odd", "Cause: it was not taken in: no route"),
    ] {
        let report = stdout_text(&explain(&log, request_id, &[]));
        assert!(report.contains(expected), "{expected} not in {report}");
    }
    let json = stdout_text(&explain(&log, "odd", &["--json"]));
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(value["request_id"], "odd");
}

#[test]
fn closed_stdout_is_ignored() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = Command::new(BIN)
        .arg("--help")
        .stdout(writer)
        .output()
        .expect("the binary runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), stderr.as_str()), (Some(0), ""));
}

#[test]
fn refusals_have_causes() {
    let ended_line = |detail: &str, extra_fields: &str| {
        format!(
            "2026-12-04T00:00:00Z [INFO] event=510 name=request_ended request_id=r1 {extra_fields} \
             priority=12 detail=\"{detail} retry_after_ms=0\"\n"
        )
    };
    let refused = "outcome=refused status=503 verdict=not_run total_ms=4";
    for (log, expected) in [
        (
            ended_line("Yields(534ms)", refused),
            "534ms of reading, leave room only for more urgent",
        ),
        (
            ended_line("TooLate(1.2s)", refused),
            "1.2s, was too long for it; it has not run, status 503",
        ),
        (
            ended_line("NoServer", refused),
            "no server of its service could be used",
        ),
        (ended_line("Full", refused), "no server had a free slot"),
    ] {
        let report = stdout_text(&explain(&log, "r1", &[]));
        assert!(report.contains(expected), "{expected} not in {report}");
    }
}

#[test]
fn related_server_events() {
    let log = "a event=400 name=server_ejected server=s1 failure=silent\n\
               a event=400 name=server_ejected server=s2 failure=silent\n\
               no event\n\
               b event=511 name=attempt_failed request_id=r1 server=s1 failure=silent attempt=1\n\
               b event=510 name=request_ended request_id=r1 outcome=failed status=502 server=- \
               verdict=may_have_run detail=\"silent \\\"x\\\" retry_after_ms=0\"\n\
               c event=401 name=server_readmitted server=s1\n";
    let report = stdout_text(&explain(log, "r1", &[]));
    assert!(
        report.contains("a server_ejected server=s1 failure=silent"),
        "{report}"
    );
    assert!(report.contains("c server_readmitted server=s1"), "{report}");
    assert!(!report.contains("s2"), "{report}");
}

#[test]
fn unknown_requests_fail() {
    let log = "a event=106 name=log_lines_dropped lines=7\n";
    let output = explain(log, "r1", &[]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr.contains("request \"r1\" is not in log \"-\" of 1 lines"),
        "{stderr}"
    );
    assert!(stderr.contains("7 lines were dropped"), "{stderr}");
}
