//! Callers with persistent connections, and checks of the guarantees to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use verbenahinge_core::hash::mix64;
use verbenahinge_testkit::{CallerConnection, GatewayRequest, GatewayResponse};

use crate::disturbances::Trace;
use crate::rng::SeededRng;
use crate::versions::{ResumedStream, resume_broken};

/// Timeout for a whole response, after which the caller disconnects; requests have three seconds.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Time that callers grant a request, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 3000;

/// Time by which a failure may come before the deadline of its request.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Idle time after which a caller with an idle connection looks at the limit again.
const IDLE_STEP: Duration = Duration::from_millis(50);

/// Number of events of every stream.
pub(crate) const STREAM_EVENTS: u64 = 5;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// No connection could be opened.
    NotConnected,
    /// A kept connection had ended before the request was sent.
    ConnectionClosed,
    /// The connection ended after the request had been sent.
    ConnectionEnded,
    /// The caller disconnected.
    TimedOut,
}

/// A request of a caller and its response.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) vm: usize,
    /// Time of the end of the last response on the same connection.
    pub(crate) kept_since: Option<Instant>,
    pub(crate) started: Instant,
    pub(crate) ended: Instant,
    pub(crate) result: Result<GatewayResponse, Loss>,
}

impl Exchange {
    /// Whether the time of the request was up, by the shortest configuration of its route.
    pub(crate) fn has_used_its_time(&self) -> bool {
        let shortest_ms = if self.path == "/once/x" { 800 } else { 2600 };
        let elapsed = self.ended - self.started;
        elapsed + DEADLINE_MARGIN >= Duration::from_millis(shortest_ms)
    }
}

const PATHS: [&str; 4] = ["/read/x", "/once/x", "/stream/x", "/single/x"];

pub(crate) fn is_stream(path: &str) -> bool {
    path == "/stream/x" || path == "/single/x"
}

/// Connections to the VMs, which are used again until they end or were idle for too long.
struct Connections<'a> {
    vm_addresses: &'a [SocketAddr],
    idle_limit_ms: Rc<Cell<u64>>,
    idle: BTreeMap<usize, (CallerConnection, Instant)>,
}

impl Connections<'_> {
    async fn call(
        &mut self,
        vm: usize,
        path: &'static str,
        request: &GatewayRequest,
        id: String,
    ) -> Exchange {
        let started = Instant::now();
        let reuse_time = reuse_time(&self.idle_limit_ms);
        let kept = self.idle.remove(&vm);
        let kept = kept.filter(|(_, since)| since.elapsed() < reuse_time);
        let kept_since = kept.as_ref().map(|&(_, since)| since);
        let call = async {
            let mut connection = match kept {
                Some((connection, _)) => connection,
                None => CallerConnection::open(self.vm_addresses[vm])
                    .await
                    .map_err(|_| Loss::NotConnected)?,
            };
            match connection.call(request).await {
                Ok(response) => Ok((connection, response)),
                Err(error) if error.is_canceled() || error.is_closed() => {
                    Err(Loss::ConnectionClosed)
                }
                Err(_) => Err(Loss::ConnectionEnded),
            }
        };
        let result = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
        let ended = Instant::now();
        let result = match result.unwrap_or(Err(Loss::TimedOut)) {
            Ok((connection, response)) => {
                if response.is_complete && !response.closes_connection() {
                    self.idle.insert(vm, (connection, ended));
                }
                Ok(response)
            }
            Err(loss) => Err(loss),
        };
        Exchange {
            id,
            path,
            vm,
            kept_since,
            started,
            ended,
            result,
        }
    }
}

/// Idle time after which callers do not use a connection again: four fifths of the limit.
fn reuse_time(idle_limit_ms: &Cell<u64>) -> Duration {
    Duration::from_millis(idle_limit_ms.get() * 4 / 5)
}

/// What all callers share.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) seed: u64,
    pub(crate) vm_addresses: Vec<SocketAddr>,
    pub(crate) idle_limit_ms: Rc<Cell<u64>>,
    pub(crate) exchanges: Rc<RefCell<Vec<Exchange>>>,
    pub(crate) resumed_streams: Rc<RefCell<Vec<ResumedStream>>>,
    pub(crate) is_finished: Rc<Cell<bool>>,
}

impl CallerContext {
    fn connections(&self) -> Connections<'_> {
        Connections {
            vm_addresses: &self.vm_addresses,
            idle_limit_ms: Rc::clone(&self.idle_limit_ms),
            idle: BTreeMap::new(),
        }
    }
}

/// Sends requests one at a time over persistent connections until the faults have ended.
pub(crate) async fn run_caller(caller: u64, context: CallerContext) {
    let seed = context.seed;
    let rng = SeededRng::new(mix64(seed, 1000 + caller));
    let mut connections = context.connections();
    let mut count = 0;
    while !context.is_finished.get() {
        count += 1;
        let id = format!("{seed}-{caller}-{count}");
        let path = PATHS[rng.index(PATHS.len())];
        let vm = rng.index(context.vm_addresses.len());
        let mut request = GatewayRequest::new(id.clone(), path).deadline_ms(DEADLINE_MS);
        if is_stream(path) {
            request = request.prompt(rng.below(5), 1000 + count);
        }
        let exchange = connections.call(vm, path, &request, id).await;
        resume_broken(&context, &exchange, request).await;
        context.exchanges.borrow_mut().push(exchange);
        actix_rt::time::sleep(Duration::from_millis(rng.below(30))).await;
    }
}

/// Sends requests over a connection to one VM that is idle in between for as long as the limit lets it.
pub(crate) async fn run_idle_caller(vm: usize, context: CallerContext) {
    let mut connections = context.connections();
    let mut count = 0;
    while !context.is_finished.get() {
        count += 1;
        let id = format!("{}-idle-{vm}-{count}", context.seed);
        let request = GatewayRequest::new(id.clone(), "/read/x").deadline_ms(DEADLINE_MS);
        let exchange = connections.call(vm, "/read/x", &request, id).await;
        let idle_since = exchange.ended;
        context.exchanges.borrow_mut().push(exchange);
        let is_due = || idle_since.elapsed() + 2 * IDLE_STEP >= reuse_time(&context.idle_limit_ms);
        while !is_due() && !context.is_finished.get() {
            actix_rt::time::sleep(IDLE_STEP).await;
        }
    }
}

/// Returns how an exchange violates a guarantee, if it does.
pub(crate) fn find_violation(exchange: &Exchange, trace: &Trace) -> Option<&'static str> {
    let runs = &trace.runs;
    let is_repeatable = matches!(exchange.path, "/read/x" | "/stream/x");
    if !is_repeatable && runs.len() > 1 {
        return Some("not repeatable, but ran more than once");
    }
    if runs.len() > 2 {
        return Some("ran more often than its route allows");
    }
    if runs.iter().any(|(_, run)| !run.api_key.is_empty()) {
        return Some("the API key was forwarded to a server");
    }
    if runs
        .iter()
        .any(|(_, run)| !run.target.ends_with(exchange.path))
    {
        return Some("a server received a different target");
    }
    let response = exchange.result.as_ref().ok()?;
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
