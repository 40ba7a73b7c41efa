//! Callers with persistent connections, and checks of the guarantees to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenahinge_core::hash::mix64;
use verbenahinge_emulator::scripted_server::ExecutedRequest;
use verbenahinge_testkit::{CallerConnection, GatewayRequest, GatewayResponse};

use crate::rng::SeededRng;

/// Timeout for a whole response, after which the caller disconnects.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of events of every stream.
pub(crate) const STREAM_EVENTS: u64 = 5;

/// A request of a caller and its response; `None` if the call failed or timed out.
pub(crate) struct Exchange {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) response: Option<GatewayResponse>,
}

const PATHS: [&str; 4] = ["/read/x", "/once/x", "/stream/x", "/single/x"];

fn is_stream(path: &str) -> bool {
    path == "/stream/x" || path == "/single/x"
}

/// Sends requests one at a time over persistent connections until the faults have ended.
pub(crate) async fn run_caller(
    caller: u64,
    seed: u64,
    vm_addresses: &[SocketAddr],
    exchanges: &RefCell<Vec<Exchange>>,
    is_finished: &Cell<bool>,
) {
    let rng = SeededRng::new(mix64(seed, 1000 + caller));
    let mut connections: BTreeMap<usize, CallerConnection> = BTreeMap::new();
    let mut count = 0;
    while !is_finished.get() {
        count += 1;
        let id = format!("{seed}-{caller}-{count}");
        let path = PATHS[rng.index(PATHS.len())];
        let vm = rng.index(vm_addresses.len());
        let mut request = GatewayRequest::new(id.clone(), path).deadline_ms(3000);
        if is_stream(path) {
            request = request.prompt(rng.below(5), 1000 + count);
        }
        let open_connection = connections.remove(&vm);
        let call = async {
            let mut connection = match open_connection {
                Some(connection) => connection,
                None => CallerConnection::open(vm_addresses[vm]).await.ok()?,
            };
            let response = connection.call(&request).await.ok()?;
            Some((connection, response))
        };
        let result = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
        let response = result.ok().flatten().map(|(connection, response)| {
            if response.is_complete && !response.closes_connection() {
                connections.insert(vm, connection);
            }
            response
        });
        exchanges.borrow_mut().push(Exchange { id, path, response });
        actix_rt::time::sleep(Duration::from_millis(rng.below(30))).await;
    }
}

/// Returns how an exchange violates a guarantee, if it does.
pub(crate) fn find_violation(
    exchange: &Exchange,
    runs: &[ExecutedRequest],
) -> Option<&'static str> {
    let is_repeatable = matches!(exchange.path, "/read/x" | "/stream/x");
    if !is_repeatable && runs.len() > 1 {
        return Some("not repeatable, but ran more than once");
    }
    if runs.len() > 2 {
        return Some("ran more often than its route allows");
    }
    if runs.iter().any(|run| !run.api_key.is_empty()) {
        return Some("the API key was forwarded to a server");
    }
    if runs.iter().any(|run| !run.target.ends_with(exchange.path)) {
        return Some("a server received a different target");
    }
    let response = exchange.response.as_ref()?;
    match response.status {
        200 if !response.is_signed() => Some("status 200 without a signature"),
        200 if runs.is_empty() => Some("status 200, but the request did not run"),
        200 if is_stream(exchange.path) => {
            let ids = response.event_ids();
            let in_order: Vec<u64> = (1..=ids.len() as u64).collect();
            if ids != in_order {
                Some("event IDs are not consecutive")
            } else if response.is_complete && ids.len() as u64 != STREAM_EVENTS {
                Some("a truncated stream appears complete")
            } else {
                None
            }
        }
        200 if response.is_complete && response.body != format!("answer to {}", exchange.id) => {
            Some("the response belongs to another request")
        }
        429 | 503 | 408 | 421 if !runs.is_empty() => Some("refused as not run, but ran"),
        503 if response.retry_after_s().is_none() => Some("status 503 without `retry-after`"),
        400 | 401 | 403 | 404 | 413 | 431 => Some("a valid request was rejected"),
        _ => None,
    }
}
