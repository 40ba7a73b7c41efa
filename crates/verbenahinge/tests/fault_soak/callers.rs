//! Callers that keep their connections, and the promises to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenahinge_core::hash::mix64;
use verbenahinge_emulator::scripted_server::ExecutedRequest;
use verbenahinge_testkit::{CallerConnection, GatewayAnswer, GatewayRequest};

use crate::dice::Dice;

/// Time that a caller waits for an answer to begin and end before it goes away.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// Events of every stream.
pub(crate) const EVENTS: u64 = 5;

/// What one caller asked and saw; `None` if no answer began.
pub(crate) struct Seen {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) answer: Option<GatewayAnswer>,
}

const PATHS: [&str; 4] = ["/read/x", "/once/x", "/stream/x", "/single/x"];

fn is_stream(path: &str) -> bool {
    path == "/stream/x" || path == "/single/x"
}

/// Sends one request after the other, on kept connections, until the faults are over.
pub(crate) async fn call_on(
    caller: u64,
    seed: u64,
    listens: &[SocketAddr],
    exchanges: &RefCell<Vec<Seen>>,
    is_over: &Cell<bool>,
) {
    let dice = Dice::new(mix64(seed, 1000 + caller));
    let mut connections: BTreeMap<usize, CallerConnection> = BTreeMap::new();
    let mut count = 0;
    while !is_over.get() {
        count += 1;
        let id = format!("{seed}-{caller}-{count}");
        let path = PATHS[dice.index(PATHS.len())];
        let vm = dice.index(listens.len());
        let mut request = GatewayRequest::new(id.clone(), path).deadline_ms(3000);
        if is_stream(path) {
            request = request.prompt(dice.below(5), 1000 + count);
        }
        let kept = connections.remove(&vm);
        let exchange = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => CallerConnection::open(listens[vm]).await.ok()?,
            };
            let answer = connection.call(&request).await.ok()?;
            Some((connection, answer))
        };
        let result = actix_rt::time::timeout(CALLER_PATIENCE, exchange).await;
        let answer = result.ok().flatten().map(|(connection, answer)| {
            if answer.is_complete && !answer.closes() {
                connections.insert(vm, connection);
            }
            answer
        });
        exchanges.borrow_mut().push(Seen { id, path, answer });
        actix_rt::time::sleep(Duration::from_millis(dice.below(30))).await;
    }
}

/// Says which promise an exchange broke, if it did.
pub(crate) fn broken_promise(seen: &Seen, runs: &[ExecutedRequest]) -> Option<&'static str> {
    let is_repeatable = matches!(seen.path, "/read/x" | "/stream/x");
    if !is_repeatable && runs.len() > 1 {
        return Some("ran more than once");
    }
    if runs.len() > 2 {
        return Some("ran more often than its route allows");
    }
    if runs.iter().any(|run| !run.api_key.is_empty()) {
        return Some("the API key was passed on");
    }
    if runs.iter().any(|run| !run.target.ends_with(seen.path)) {
        return Some("another target ran");
    }
    let answer = seen.answer.as_ref()?;
    match answer.status {
        200 if !answer.is_signed() => Some("success without a signature"),
        200 if runs.is_empty() => Some("success of a request that did not run"),
        200 if is_stream(seen.path) => {
            let ids = answer.event_ids();
            let in_order: Vec<u64> = (1..=ids.len() as u64).collect();
            if ids != in_order {
                Some("events out of order")
            } else if answer.is_complete && ids.len() as u64 != EVENTS {
                Some("a part of a stream looks whole")
            } else {
                None
            }
        }
        200 if answer.is_complete && answer.body != format!("answer to {}", seen.id) => {
            Some("the answer of another request")
        }
        429 | 503 | 408 | 421 if !runs.is_empty() => Some("refused as not run, and ran"),
        503 if answer.retry_after_s().is_none() => Some("refused without a time to come back"),
        400 | 401 | 403 | 404 | 413 | 431 => Some("turned away though it is proper"),
        _ => None,
    }
}
