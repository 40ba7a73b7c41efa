//! `verbenahinge load`: a bounded load of chat completions, with what its callers saw.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use futures_util::StreamExt;
use futures_util::future::join_all;
use getopts::Options;
use serde_json::json;

use super::error::CliError;
use super::output::write_out;
use super::{EXIT_OK, parse};

/// Requests of one run at most.
const REQUEST_LIMIT: u64 = 1_000_000;

/// Time after which a caller gives up.
const TIMEOUT: Duration = Duration::from_mins(1);

struct Load {
    client: Client,
    url: String,
    key: String,
    class: Option<String>,
    model: String,
    prompt: String,
    max_tokens: u64,
    left: Cell<u64>,
    seen: RefCell<Seen>,
}

#[derive(Default)]
struct Seen {
    statuses: BTreeMap<u16, u64>,
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
            "where to send to [127.0.0.1:8080]",
            "IP:PORT",
        )
        .optopt("", "key", "API key", "KEY")
        .optopt("", "class", "class of the requests", "NAME")
        .optopt("", "model", "model [small]", "NAME")
        .optopt("", "prompt", "prompt [load]", "TEXT")
        .optopt("", "max-tokens", "tokens of each answer [64]", "N")
        .optopt("", "requests", "requests in all [1000]", "N")
        .optopt("", "concurrency", "requests at once [16]", "N");
    let Some(matches) = parse(&mut options, args, "load --key KEY [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let number = |flag: &str, default: u64| {
        let parsed = matches.opt_get_default(flag, default);
        parsed.map_err(|_| CliError::Usage(format!("--{flag}: malformed")))
    };
    let text = |flag: &str, default: &str| matches.opt_str(flag).unwrap_or(default.to_owned());
    let requests = number("requests", 1000)?.min(REQUEST_LIMIT);
    let concurrency = number("concurrency", 16)?.max(1);
    let max_tokens = number("max-tokens", 64)?;
    actix_rt::System::new().block_on(async {
        let load = Rc::new(Load {
            client: Client::builder().timeout(TIMEOUT).finish(),
            url: format!(
                "http://{}/v1/chat/completions",
                text("address", "127.0.0.1:8080")
            ),
            key: text("key", ""),
            class: matches.opt_str("class"),
            model: text("model", "small"),
            prompt: text("prompt", "load"),
            max_tokens,
            left: Cell::new(requests),
            seen: RefCell::default(),
        });
        let begun = Instant::now();
        let workers = (0..concurrency).map(|_| work(Rc::clone(&load)));
        join_all(workers).await;
        report(&load.seen.borrow(), begun.elapsed());
        Ok(EXIT_OK)
    })
}

async fn work(load: Rc<Load>) {
    while load.left.get() > 0 {
        load.left.set(load.left.get() - 1);
        ask(&load).await;
    }
}

async fn ask(load: &Load) {
    let body = json!({
        "model": load.model,
        "stream": true,
        "max_tokens": load.max_tokens,
        "messages": [{"role": "user", "content": load.prompt}],
    });
    let mut request = load.client.post(&load.url).bearer_auth(&load.key);
    if let Some(class) = &load.class {
        request = request.insert_header(("x-class", class.as_str()));
    }
    let begun = Instant::now();
    let Ok(mut response) = request.send_json(&body).await else {
        *load.seen.borrow_mut().statuses.entry(0).or_default() += 1;
        return;
    };
    let first = begun.elapsed();
    let mut bytes = 0;
    while let Some(Ok(chunk)) = response.next().await {
        bytes += chunk.len() as u64;
    }
    let mut seen = load.seen.borrow_mut();
    let status = response.status().as_u16();
    *seen.statuses.entry(status).or_default() += 1;
    seen.bytes += bytes;
    if status == 200 {
        seen.first_byte_us.push(micros(first));
        seen.total_us.push(micros(begun.elapsed()));
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn quantile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let index = values.len() * percent / 100;
    values.get(index).or(values.last()).copied().unwrap_or(0)
}

fn report(seen: &Seen, elapsed: Duration) {
    let mut first = seen.first_byte_us.clone();
    let mut total = seen.total_us.clone();
    let report = json!({
        "elapsed_ms": micros(elapsed) / 1000,
        "statuses": seen.statuses,
        "bytes": seen.bytes,
        "first_byte_us": {"p50": quantile(&mut first, 50), "p99": quantile(&mut first, 99)},
        "total_us": {"p50": quantile(&mut total, 50), "p99": quantile(&mut total, 99)},
    });
    write_out(format_args!("{report}\n"));
}
