//! The life of one request, driven event by event.

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::table::{Row, TableOp, TableReply};
use verbenahinge_core::{
    Action, Declaration, DispatchMode, Event, FailureKind, Frame, Node, NodeOptions, RefusalReason,
    Request, Verdict,
};

const DECLARATION: &str = r#"
[accounts.tuul]
key_hashes = []
classes = ["bump"]
default_class = "bump"

[classes.bump]
tier = 0
first_token_ms = 600
per_token_ms = 33
max_starvation_ms = 2000

[pools.chat]
kind = "engine"
models = ["small"]

[pools.chat.servers.one]
address = "127.0.0.1:1"
availability_zone = "a"
slots = 2

[pools.chat.servers.two]
address = "127.0.0.1:2"
availability_zone = "b"
slots = 2
"#;

struct Bench {
    node: Node,
    now: Duration,
}

impl Bench {
    fn new() -> Self {
        let address = "127.0.0.1:7000".parse().unwrap();
        let mut bench = Self {
            node: Node::new(NodeOptions::new(1, address)),
            now: Duration::from_secs(100),
        };
        let declaration = Declaration::from_toml(DECLARATION).unwrap();
        bench.send(Event::ConfigReceived(Arc::new(VersionRow {
            version: 1,
            patch_id: Arc::from("first"),
            operator: Arc::from("alice"),
            accepted_ms: 0,
            declaration: Arc::new(declaration),
        })));
        bench
    }

    fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    fn frame(&mut self, attempt: u32, seq: u64) -> Vec<Action> {
        self.send(Event::Frame(Frame {
            request: 1,
            attempt,
            seq,
            tokens: 1,
        }))
    }

    fn fail(&mut self, attempt: u32, kind: FailureKind) -> Vec<Action> {
        self.send(Event::Failed {
            request: 1,
            attempt,
            kind,
        })
    }
}

fn request() -> Request {
    Request::new(1, "tuul", "bump", "chat")
}

fn modes(actions: &[Action]) -> Vec<DispatchMode> {
    let mut modes = Vec::new();
    for action in actions {
        if let Action::Dispatch(dispatch) = action {
            modes.push(dispatch.mode);
        }
    }
    modes
}

fn refusals(actions: &[Action]) -> Vec<(RefusalReason, Verdict)> {
    let mut refusals = Vec::new();
    for action in actions {
        if let Action::Refuse { refusal, .. } = action {
            refusals.push((refusal.reason, refusal.verdict));
        }
    }
    refusals
}

#[test]
fn frames_in_order() {
    let mut bench = Bench::new();
    assert_eq!(
        modes(&bench.send(Event::Arrived(request()))),
        [DispatchMode::Fresh]
    );
    assert_eq!(bench.frame(1, 0), [Action::Relay(1)]);
    assert_eq!(bench.frame(1, 0), []);
    assert_eq!(bench.frame(2, 1), []);
    assert_eq!(bench.frame(1, 1), [Action::Relay(1)]);
}

#[test]
fn cut_is_resumed() {
    let mut bench = Bench::new();
    bench.send(Event::Arrived(request().not_repeatable(None)));
    bench.frame(1, 0);
    let actions = bench.fail(1, FailureKind::ConnectionLost);
    let resume = DispatchMode::Resume {
        delivered: 1,
        stream: 1,
    };
    assert_eq!(modes(&actions), [resume]);
    assert_eq!(bench.frame(1, 1), []);
    assert_eq!(bench.frame(2, 1), [Action::Relay(1)]);
}

#[test]
fn cuts_by_an_ending_server_show_its_crash() {
    let mut bench = Bench::new();
    let with = |id, fingerprint| {
        let mut request = Request::new(id, "tuul", "bump", "chat");
        request.fingerprint = fingerprint;
        Event::Arrived(request)
    };
    bench.send(with(1, 70));
    bench.frame(1, 0);
    bench.fail(1, FailureKind::ConnectionLost);
    let again = bench.fail(2, FailureKind::ConnectionLost);
    let resume = DispatchMode::Resume {
        delivered: 1,
        stream: 1,
    };
    assert_eq!(modes(&again), [resume]);
    bench.fail(3, FailureKind::ConnectFailed);
    // The same request is a suspect now, which runs under a claim only; others run at once.
    assert_eq!(modes(&bench.send(with(2, 70))), []);
    assert_eq!(modes(&bench.send(with(3, 71))), [DispatchMode::Fresh]);
}

#[test]
fn not_repeatable_stops() {
    let mut bench = Bench::new();
    bench.send(Event::Arrived(request().not_repeatable(None)));
    bench.fail(1, FailureKind::ConnectionLost);
    let actions = bench.fail(2, FailureKind::ConnectFailed);
    assert_eq!(
        refusals(&actions),
        [(RefusalReason::ServerFailed, Verdict::MayHaveRun)]
    );
}

#[test]
fn not_run_moves() {
    let mut bench = Bench::new();
    bench.send(Event::Arrived(request().not_repeatable(None)));
    let actions = bench.fail(1, FailureKind::ConnectFailed);
    assert_eq!(modes(&actions), [DispatchMode::Fresh]);
}

#[test]
fn claim_comes_first() {
    let mut bench = Bench::new();
    let request = request().not_repeatable(Some(Arc::from("key")));
    assert_eq!(modes(&bench.send(Event::Arrived(request))), []);
    let actions = bench.send(Event::Timer);
    let op = actions.iter().find_map(|action| match action {
        Action::Table { op, operation } => {
            matches!(operation, TableOp::Commit { .. }).then_some(*op)
        }
        _ => None,
    });
    let reply = TableReply::Committed;
    let actions = bench.send(Event::TableReply {
        op: op.unwrap(),
        reply,
    });
    assert_eq!(modes(&actions), [DispatchMode::Fresh]);
}

#[test]
fn unreadable_claims_are_held() {
    let mut bench = Bench::new();
    let request = request().not_repeatable(Some(Arc::from("key")));
    bench.send(Event::Arrived(request));
    let actions = bench.send(Event::Timer);
    let (op, row) = actions
        .iter()
        .find_map(|action| match action {
            Action::Table {
                op,
                operation: TableOp::Commit { writes, .. },
            } => Some((*op, writes[0].clone())),
            _ => None,
        })
        .expect("a claim");
    // Another version of the router may have written it, and its request may have run.
    let held = Row::new(row.key, Some(Arc::from("{\"kind\":\"later\"}")));
    let actions = bench.send(Event::TableReply {
        op,
        reply: TableReply::Conflict(vec![held]),
    });
    assert_eq!(
        refusals(&actions),
        [(RefusalReason::Duplicate, Verdict::MayHaveRun)]
    );
}

#[test]
fn unreadable_versions_are_told() {
    let mut bench = Bench::new();
    bench.now += Duration::from_secs(5);
    let actions = bench.send(Event::Timer);
    let op = actions
        .iter()
        .find_map(|action| match action {
            Action::Table {
                op,
                operation: TableOp::Read(_),
            } => Some(*op),
            _ => None,
        })
        .expect("a look at the newest version");
    let row = Row::new("config/head", Some(Arc::from("not a version")));
    let actions = bench.send(Event::TableReply {
        op,
        reply: TableReply::Row(row.clone()),
    });
    assert!(
        actions.contains(&Action::ConfigUnreadable(row.key)),
        "{actions:?}"
    );
}

#[test]
fn claim_waits_in_vain() {
    let mut bench = Bench::new();
    let request = request().not_repeatable(Some(Arc::from("key")));
    bench.send(Event::Arrived(request));
    bench.now += Duration::from_millis(600);
    let actions = bench.send(Event::Timer);
    assert_eq!(
        refusals(&actions),
        [(RefusalReason::StoreUnavailable, Verdict::NotRun)]
    );
    assert_eq!(bench.node.in_flight(), 0);
}

#[test]
fn slot_comes_back() {
    let mut bench = Bench::new();
    bench.send(Event::Arrived(request()));
    assert_eq!(bench.node.running("chat"), 1);
    bench.send(Event::CallerGone(1));
    assert_eq!((bench.node.running("chat"), bench.node.in_flight()), (0, 0));
}

#[test]
fn drain_ends_last() {
    let mut bench = Bench::new();
    bench.send(Event::Arrived(request()));
    assert!(!bench.send(Event::Drain).contains(&Action::Drained));
    let late = Request::new(2, "tuul", "bump", "chat");
    let actions = bench.send(Event::Arrived(late));
    assert_eq!(
        refusals(&actions),
        [(RefusalReason::Draining, Verdict::NotRun)]
    );
    let end = Event::Finished {
        request: 1,
        attempt: 1,
        outcome: None,
    };
    assert!(bench.send(end).contains(&Action::Drained));
}

#[test]
fn refused_early() {
    let mut bench = Bench::new();
    for id in 1..=60 {
        bench.send(Event::Arrived(Request::new(id, "tuul", "bump", "chat")));
    }
    bench.now += Duration::from_millis(400);
    let actions = bench.send(Event::Arrived(Request::new(61, "tuul", "bump", "chat")));
    assert_eq!(
        refusals(&actions),
        [(RefusalReason::Overloaded, Verdict::NotRun)]
    );
    assert_eq!(bench.node.running("chat"), 4);
}

#[test]
fn retries_are_bounded() {
    let mut bench = Bench::new();
    let mut retries = 0;
    for id in 1..=200 {
        let mut actions = bench.send(Event::Arrived(Request::new(id, "tuul", "bump", "chat")));
        for attempt in 1..=6 {
            if modes(&actions).is_empty() {
                break;
            }
            retries += usize::from(attempt > 1);
            actions = bench.send(Event::Failed {
                request: id,
                attempt,
                kind: FailureKind::ServerError,
            });
        }
        assert_eq!(bench.node.in_flight(), 0);
    }
    // 50 saved up, and a tenth of the requests but the first, which finds the budget full.
    assert_eq!(retries, 69);
}
