//! The `load` command: sends a number of chat completions and reports statuses and latencies.
//!
//! With `--abuse`, it sends what callers outside the limits send instead.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use getopts::Options;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, header};
use serde_json::json;
use verbenahinge_http::HttpClient;

use super::error::CliError;
use super::output::write_out;
use super::{EXIT_OK, abuse, parse_options};

/// Maximum number of requests in one run.
const MAX_REQUESTS: u64 = 1_000_000;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

struct LoadTest {
    client: HttpClient,
    url: String,
    api_key: String,
    class: Option<String>,
    model: String,
    prompt: String,
    max_tokens: u64,
    remaining: Cell<u64>,
    results: RefCell<LoadResults>,
}

#[derive(Default)]
struct LoadResults {
    statuses: BTreeMap<u16, u64>,
    /// Responses whose body broke off before its end.
    broken_off: u64,
    first_byte_us: Vec<u64>,
    total_us: Vec<u64>,
    bytes: u64,
}

pub(super) fn run(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options
        .optopt(
            "",
            "address",
            "address of the router [127.0.0.1:8080]",
            "IP:PORT",
        )
        .optopt("", "key", "API key", "KEY")
        .optopt("", "class", "class of the requests", "NAME")
        .optopt("", "model", "model [small]", "NAME")
        .optopt("", "prompt", "prompt [load]", "TEXT")
        .optopt("", "max-tokens", "maximum tokens per response [64]", "N")
        .optopt("", "requests", "total requests [1000]", "N")
        .optopt("", "concurrency", "concurrent requests [16]", "N");
    let kinds = format!("send abusive traffic: {}", abuse::kind_names());
    options
        .optopt("", "abuse", &kinds, "KIND")
        .optopt("", "path", "path of abusive requests [/]", "PATH")
        .optopt("", "host", "host of abusive requests [ADDRESS]", "NAME")
        .optmulti("", "header", "header of abusive requests", "'NAME: VALUE'")
        .optopt("", "connections", "abusive connections [150]", "N")
        .optopt("", "seconds", "duration of the abuse [5]", "N")
        .optopt("", "body-bytes", "size of abusive bodies [4194304]", "N")
        .optopt("", "piece-bytes", "size of one write or chunk [65536]", "N")
        .optflag("", "not-loopback", "allow abuse of other addresses");
    let Some(matches) = parse_options(&mut options, args, "load --key KEY [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    if let Some(kind) = matches.opt_str("abuse") {
        return abuse::run(&kind, &matches);
    }
    let number = |flag: &str, default: u64| {
        let parsed = matches.opt_get_default(flag, default);
        parsed.map_err(|_| CliError::Usage(format!("--{flag}: malformed")))
    };
    let text = |flag: &str, default: &str| matches.opt_str(flag).unwrap_or(default.to_owned());
    let requests = number("requests", 1000)?.min(MAX_REQUESTS);
    let concurrency = number("concurrency", 16)?.max(1);
    let max_tokens = number("max-tokens", 64)?;
    actix_rt::System::new().block_on(async {
        let load = Rc::new(LoadTest {
            client: HttpClient::new(CONNECT_TIMEOUT),
            url: format!(
                "http://{}/v1/chat/completions",
                text("address", "127.0.0.1:8080")
            ),
            api_key: text("key", ""),
            class: matches.opt_str("class"),
            model: text("model", "small"),
            prompt: text("prompt", "load"),
            max_tokens,
            remaining: Cell::new(requests),
            results: RefCell::default(),
        });
        let started = Instant::now();
        let workers = (0..concurrency).map(|_| run_worker(Rc::clone(&load)));
        join_all(workers).await;
        print_report(&load.results.borrow(), started.elapsed());
        Ok(EXIT_OK)
    })
}

async fn run_worker(load: Rc<LoadTest>) {
    while load.remaining.get() > 0 {
        load.remaining.set(load.remaining.get() - 1);
        send_request(&load).await;
    }
}

async fn send_request(load: &LoadTest) {
    let body = json!({
        "model": load.model,
        "stream": true,
        "max_tokens": load.max_tokens,
        "messages": [{"role": "user", "content": load.prompt}],
    });
    let mut request = Request::post(&load.url)
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", load.api_key));
    if let Some(class) = &load.class {
        request = request.header("x-class", class);
    }
    let started = Instant::now();
    let exchange = async {
        let request = request.body(Full::new(Bytes::from(body.to_string())));
        let response = match request.map(|request| load.client.send(request)) {
            Ok(sending) => sending.await.ok()?,
            Err(_) => return None,
        };
        Some((started.elapsed(), read_body(response).await))
    };
    let exchanged = verbenahinge_http::timeout(REQUEST_TIMEOUT, exchange).await;
    let mut results = load.results.borrow_mut();
    let Ok(Some((header_time, received))) = exchanged else {
        *results.statuses.entry(0).or_default() += 1;
        return;
    };
    *results.statuses.entry(received.status).or_default() += 1;
    results.bytes += received.bytes;
    if !received.is_whole {
        results.broken_off += 1;
    } else if received.status == 200 {
        results.first_byte_us.push(to_micros(header_time));
        results.total_us.push(to_micros(started.elapsed()));
    }
}

/// What arrived of a response.
struct Received {
    status: u16,
    bytes: u64,
    /// Whether the body ended as its framing announced.
    is_whole: bool,
}

async fn read_body(response: Response<hyper::body::Incoming>) -> Received {
    let mut received = Received {
        status: response.status().as_u16(),
        bytes: 0,
        is_whole: true,
    };
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            received.is_whole = false;
            break;
        };
        received.bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    received
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let index = values.len() * percent / 100;
    values.get(index).or(values.last()).copied().unwrap_or(0)
}

fn print_report(results: &LoadResults, elapsed: Duration) {
    let mut first = results.first_byte_us.clone();
    let mut total = results.total_us.clone();
    let report = json!({
        "elapsed_ms": to_micros(elapsed) / 1000,
        "statuses": results.statuses,
        "broken_off": results.broken_off,
        "bytes": results.bytes,
        "first_byte_us": {"p50": percentile(&mut first, 50), "p99": percentile(&mut first, 99)},
        "total_us": {"p50": percentile(&mut total, 50), "p99": percentile(&mut total, 99)},
    });
    write_out(format_args!("{report}\n"));
}
