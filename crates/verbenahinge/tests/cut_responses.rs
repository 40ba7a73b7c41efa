//! Backend servers that end their connection after any byte of a response, on both interfaces: the
//! caller never gets a part of a response as a whole one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream;
use hyper::Method;
use serde_json::{Value, json};
use strum::VariantArray;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use verbenahinge_emulator::scripted_server::{
    self, CutEnd, Framing, RUNS_PATH, ScriptedServerOptions, ServerFault, ServerFaults,
};
use verbenahinge_testkit::{
    Client, Fleet, FleetOptions, GatewayFleet, GatewayFleetOptions, GatewayRequest,
    GatewayResponse, Response,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Events of a whole stream.
const EVENTS: u64 = 3;

/// Time after which a VM knows that it is cut off from the servers.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests that are sent at the same time.
const CONCURRENCY: usize = 16;

/// Refusals of one request, at most, and the time between them.
const MAX_REFUSALS: u32 = 200;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of a plain response or a stream, at most.
const MAX_PLAIN_BYTES: usize = 260;
const MAX_STREAM_BYTES: usize = 340;

/// Position of a cut.
#[derive(Clone, Copy, Debug)]
struct Cut {
    after_bytes: usize,
    end: CutEnd,
}

impl Cut {
    fn target(self, path: &str) -> String {
        format!("{path}?cut={}&end={}", self.after_bytes, self.end)
    }
}

/// All cuts up to a number of bytes.
fn cuts(max_bytes: usize) -> Vec<Cut> {
    let mut cuts = Vec::new();
    for after_bytes in 0..max_bytes {
        for &end in CutEnd::VARIANTS {
            cuts.push(Cut { after_bytes, end });
        }
    }
    cuts
}

fn faults(framing: Framing) -> ServerFaults {
    ServerFaults {
        fault: ServerFault::CutAsRequested,
        framing,
        events: EVENTS,
        ..ServerFaults::default()
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream") || path.starts_with("/single")
}

fn is_success(response: &GatewayResponse) -> bool {
    response.status == 200 && response.is_complete
}

/// Checks that a response that counts as whole has all of its bytes.
fn assert_whole(response: &GatewayResponse, id: &str, path: &str) {
    if is_stream(path) {
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(response.event_ids(), expected, "{id}: {response:?}");
    } else {
        assert_eq!(response.body, format!("answer to {id}"), "{response:?}");
    }
}

async fn call_cut(
    fleet: &GatewayFleet,
    framing: Framing,
    path: &str,
    cut: Cut,
) -> (String, GatewayResponse) {
    let id = format!(
        "{framing:?}{}{}-{}",
        path.replace('/', "-"),
        cut.after_bytes,
        cut.end
    );
    let mut request = GatewayRequest::new(&id, cut.target(path));
    if is_stream(path) {
        let part = u64::try_from(cut.after_bytes).expect("a small number");
        request = request.prompt(part, 9);
    }
    // A VM refuses requests while it takes all servers for failing.
    for _ in 0..MAX_REFUSALS {
        let response = fleet.call(0, &request).await;
        if response.status != 503 {
            return (id, response);
        }
        actix_rt::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("{id} was refused {MAX_REFUSALS} times");
}

/// Cuts the responses to requests on a path after each byte, and checks those that look whole.
async fn cut_everywhere(
    fleet: &GatewayFleet,
    server_faults: &ServerFaults,
    path: &str,
    max_bytes: usize,
) {
    let framing = server_faults.framing;
    for server in 0..2 {
        fleet.set_server_faults(server, server_faults).await;
    }
    let calls = cuts(max_bytes).into_iter().map(async |cut| {
        let (id, response) = call_cut(fleet, framing, path, cut).await;
        (cut, id, response)
    });
    let mut responses = stream::iter(calls).buffer_unordered(CONCURRENCY);
    while let Some((cut, id, response)) = responses.next().await {
        if !is_success(&response) {
            continue;
        }
        if framing == Framing::UntilClose && !cut.end.is_reset() {
            // Nothing but the connection tells the end of such a body, and it was closed in order.
            assert!(
                !is_stream(path) || response.body.ends_with("\n\n"),
                "{id}: {response:?}"
            );
            continue;
        }
        assert_whole(&response, &id, path);
    }
}

/// Guards against a part of a server's response that the caller of the gateway gets as a whole one.
#[actix_rt::test]
async fn gateway_forwards_cut_responses() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    for framing in [Framing::Declared, Framing::Chunked, Framing::UntilClose] {
        for path in ["/read/x", "/once/x"] {
            cut_everywhere(&fleet, &faults(framing), path, MAX_PLAIN_BYTES).await;
        }
    }
    for framing in [Framing::Declared, Framing::UntilClose] {
        for path in ["/stream/x", "/single/x"] {
            cut_everywhere(&fleet, &faults(framing), path, MAX_STREAM_BYTES).await;
        }
    }
}

/// Guards against a part of a server's response that the caller gets as a whole one from a VM that handed
/// its request over.
#[actix_rt::test]
async fn handed_over_cut_responses() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG).vms(2)).await;
    let cut_off = ServerFaults {
        cut_off: Some(fleet.listen_address(0).ip()),
        cuts_open_connections: true,
        ..ServerFaults::default()
    };
    for server in 0..2 {
        fleet.set_server_faults(server, &cut_off).await;
    }
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < SETTLE_TIME {
        count += 1;
        let request = GatewayRequest::new(format!("settle-{count}"), "/read/x");
        fleet.call(0, &request).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    for framing in [Framing::Declared, Framing::Chunked] {
        let server_faults = ServerFaults {
            cut_off: cut_off.cut_off,
            cuts_open_connections: true,
            ..faults(framing)
        };
        cut_everywhere(&fleet, &server_faults, "/once/x", MAX_PLAIN_BYTES).await;
    }
    let server_faults = ServerFaults {
        cut_off: cut_off.cut_off,
        cuts_open_connections: true,
        ..faults(Framing::Declared)
    };
    for path in ["/stream/x", "/single/x"] {
        cut_everywhere(&fleet, &server_faults, path, MAX_STREAM_BYTES).await;
    }
}

/// A fleet of the own interface whose plain service cuts its responses off.
struct CutService {
    fleet: Fleet,
    address: SocketAddr,
}

impl CutService {
    async fn start(framing: Framing) -> Self {
        let fleet = Fleet::start(BIN, FleetOptions::new()).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let options = ScriptedServerOptions {
            id: String::new(),
            slots: 32,
            faults: faults(framing),
            deadly_part: None,
        };
        actix_rt::spawn(scripted_server::run(listener, options));
        let target = "/pools/forge/servers/service-0/address";
        let patch = json!([{"op": "replace", "path": target, "value": address}]);
        let operator = fleet.vm(0).operator();
        let response = operator
            .header("if-match", "\"1\"")
            .header("idempotency-key", "cut-service")
            .send(Method::PATCH, "/v1/config", Some(&patch))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
        fleet.wait_for_version(2).await;
        Self { fleet, address }
    }

    /// Number of calls that the service has run.
    async fn count_runs(&self) -> usize {
        let runs = Client::new(self.address, "").get(RUNS_PATH).await.json();
        let runs = runs.as_array().map(Vec::as_slice).unwrap_or_default();
        let is_call = |run: &&Value| {
            run["target"]
                .as_str()
                .is_some_and(|it| it.contains("/pulls"))
        };
        runs.iter().filter(is_call).count()
    }
}

/// Whether the response is the whole one of the service.
fn is_whole(response: &Response) -> bool {
    response.status == 200 && response.body == format!("answer to {}", response.request_id)
}

async fn call_service(client: &Client, cut: Cut) -> Response {
    let target = cut.target("/services/forge/pulls");
    client.post(&target, &json!({"cut": cut.after_bytes})).await
}

/// Guards against a part of a plain service's response that the caller of the own interface gets as a
/// whole one, also when the call is sent once more with its idempotency key.
#[actix_rt::test]
async fn serve_forwards_cut_responses() {
    for framing in [Framing::Declared, Framing::Chunked] {
        let service = CutService::start(framing).await;
        let fleet = &service.fleet;
        let whole = Cut {
            after_bytes: usize::MAX,
            end: CutEnd::Close,
        };
        let response = call_service(&fleet.vm(0).caller(), whole).await;
        assert!(is_whole(&response), "{response:?}");
        for cut in cuts(MAX_PLAIN_BYTES) {
            let key = format!("{}-{}", cut.after_bytes, cut.end);
            let client = fleet.vm(0).caller().header("idempotency-key", &key);
            let first = call_service(&client, cut).await;
            if is_whole(&first) {
                continue;
            }
            assert_eq!(
                (first.status, first.verdict().as_str()),
                (502, "may_have_run"),
                "{framing:?} {cut:?}: {first:?}"
            );
            let again = call_service(&client, cut).await;
            assert_ne!(again.status, 200, "{framing:?} {cut:?}: {again:?}");
        }
    }
}

/// Guards against a call that runs more than once, or is refused as not run, because its service closed
/// the connection without a byte of a response.
#[actix_rt::test]
async fn unanswered_calls_run_once() {
    let service = CutService::start(Framing::Declared).await;
    let client = service.fleet.vm(0).caller();
    for &end in CutEnd::VARIANTS {
        let before = service.count_runs().await;
        let cut = Cut {
            after_bytes: 0,
            end,
        };
        let response = call_service(&client, cut).await;
        let runs = service.count_runs().await - before;
        let verdict = response.verdict();
        assert_eq!(
            (response.status, verdict.as_str(), runs),
            (502, "may_have_run", 1),
            "{end}: {response:?}"
        );
    }
}

/// Guards against a call that runs though its caller ended the connection before the end of its body.
#[actix_rt::test]
async fn cut_calls_do_not_run() {
    let service = CutService::start(Framing::Declared).await;
    let address = service.fleet.vm(0).process.address();
    let head = "POST /services/forge/pulls?cut=999 HTTP/1.1\r\nhost: a\r\n\
                authorization: Bearer caller-key\r\n";
    for body in [
        "content-length: 40\r\n\r\n",
        "content-length: 40\r\n\r\nthirty-nine bytes, one short of the end",
        "transfer-encoding: chunked\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
    ] {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = format!("{head}{body}");
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the request is sent");
        stream.shutdown().await.expect("the connection is closed");
        let mut response = String::new();
        // The connection may be reset instead of closed.
        drop(stream.read_to_string(&mut response).await);
        assert!(
            !response.starts_with("HTTP/1.1 200"),
            "{body:?}: {response}"
        );
        assert_eq!(service.count_runs().await, 0, "{body:?}: {response}");
    }
}

/// Guards against commands that take a part of a response for a whole one.
#[actix_rt::test]
async fn commands_report_cut_responses() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let options = ScriptedServerOptions {
        id: String::new(),
        slots: 1,
        faults: ServerFaults {
            fault: ServerFault::BreakOff,
            ..ServerFaults::default()
        },
        deadly_part: None,
    };
    actix_rt::spawn(scripted_server::run(listener, options));
    let run = async |args: &[&str]| {
        let output = Command::new(BIN).args(args).output().await;
        output.expect("the binary runs")
    };
    let load = run(&["load", "--address", &address, "--requests", "3"]).await;
    let report: Value = serde_json::from_slice(&load.stdout).expect("a JSON report");
    assert_eq!(
        (&report["broken_off"], &report["statuses"]),
        (&json!(3), &json!({"200": 3}))
    );
    let show = run(&["show", "--vm", &address, "--token", "t"]).await;
    let error = String::from_utf8_lossy(&show.stderr).into_owned();
    assert!(!show.status.success());
    assert!(error.contains("incomplete response body"), "{error}");
}
