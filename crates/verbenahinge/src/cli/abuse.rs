//! Traffic of callers outside the limits, sent by `load --abuse` to see how a router bears it.
//!
//! Numbers of connections and time are bounded, and addresses other than loopback need a flag.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use futures_util::future::join_all;
use getopts::Matches;
use serde_json::json;
use strum::{EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::EXIT_OK;
use super::error::CliError;
use super::output::write_out;

/// Maximum number of connections that are open at once.
const MAX_CONNECTIONS: usize = 4000;

/// Maximum duration of one run.
const MAX_SECONDS: u64 = 60;

/// Bytes by which an unfinished body is short.
const MISSING_BYTES: usize = 10;

/// Factor by which an oversized body exceeds the given size.
const OVERSIZE_FACTOR: usize = 8;

/// Time between two bytes of a slow caller.
const SLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Pause before a connection is opened again after the router has closed it.
const REOPEN_DELAY: Duration = Duration::from_millis(200);

/// Size of all header fields of a request with many fields.
const FIELDS_BYTES: usize = 15_000;

/// Requests that a pipelining caller writes at once.
const PIPELINE_LENGTH: usize = 64;

/// What the callers do.
#[derive(Clone, Copy, Debug, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum AbuseKind {
    /// Bodies with a length that stop just short of their end.
    ShortBody,
    /// Bodies in chunks that stop just short of their end.
    ChunkedBody,
    /// Bodies far over the size limit.
    LargeBody,
    /// Heads of legal size with very many short fields.
    ManyFields,
    /// Many requests on one connection whose responses are not read.
    Pipelined,
    /// Bodies of one byte at a time.
    SlowBody,
    /// Heads that stop half-way.
    SlowHead,
    /// Connections on which nothing is sent.
    Idle,
    /// Requests whose responses are not read.
    SlowRead,
}

/// What all callers of a run share.
struct AbuseRun {
    kind: AbuseKind,
    address: SocketAddr,
    path: String,
    host: String,
    headers: String,
    body_bytes: usize,
    piece_bytes: usize,
    ends_at: Instant,
    results: RefCell<BTreeMap<String, u64>>,
}

/// Returns the names of the kinds, for the usage text.
pub(super) fn kind_names() -> String {
    let names: Vec<&str> = AbuseKind::iter().map(Into::into).collect();
    names.join(", ")
}

/// Sends the traffic that the options describe and prints what came of it.
pub(super) fn run(kind: &str, matches: &Matches) -> Result<u8, CliError> {
    let usage = |text: &str| CliError::Usage(text.to_owned());
    let number = |flag: &str, default: usize| {
        let parsed = matches.opt_get_default(flag, default);
        parsed.map_err(|_| CliError::Usage(format!("--{flag}: malformed")))
    };
    let kind = AbuseKind::from_str(kind)
        .map_err(|_| CliError::Usage(format!("--abuse: one of {}", kind_names())))?;
    let address: SocketAddr = matches
        .opt_get_default("address", SocketAddr::from(([127, 0, 0, 1], 8080)))
        .map_err(|_| usage("--address: malformed"))?;
    if !address.ip().is_loopback() && !matches.opt_present("not-loopback") {
        return Err(usage("--address: not a loopback address"));
    }
    let connections = number("connections", 150)?.min(MAX_CONNECTIONS);
    let seconds = matches
        .opt_get_default("seconds", 5_u64)
        .map_err(|_| usage("--seconds: malformed"))?
        .min(MAX_SECONDS);
    let text = |flag: &str, default: &str| matches.opt_str(flag).unwrap_or(default.to_owned());
    let mut headers = String::new();
    for header in matches.opt_strs("header") {
        headers.push_str(&header);
        headers.push_str("\r\n");
    }
    let body_bytes = number("body-bytes", 4 << 20)?;
    let piece_bytes = number("piece-bytes", 64 << 10)?.max(1);
    actix_rt::System::new().block_on(async {
        let run = Rc::new(AbuseRun {
            kind,
            address,
            path: text("path", "/"),
            host: text("host", &address.to_string()),
            headers,
            body_bytes,
            piece_bytes,
            ends_at: Instant::now() + Duration::from_secs(seconds),
            results: RefCell::default(),
        });
        join_all((0..connections).map(|_| run_caller(Rc::clone(&run)))).await;
        let report = json!({"kind": <&str>::from(kind), "results": &*run.results.borrow()});
        write_out(format_args!("{report}\n"));
        Ok(EXIT_OK)
    })
}

impl AbuseRun {
    fn count(&self, result: &str) {
        let mut results = self.results.borrow_mut();
        *results.entry(result.to_owned()).or_default() += 1;
    }

    /// Whether the callers read responses.
    const fn reads(&self) -> bool {
        !matches!(self.kind, AbuseKind::Pipelined | AbuseKind::SlowRead)
    }

    fn head(&self, fields: &str) -> String {
        let method = match self.kind {
            AbuseKind::Pipelined | AbuseKind::SlowRead => "GET",
            _ => "POST",
        };
        format!(
            "{method} {} HTTP/1.1\r\nHost: {}\r\n{}{fields}\r\n",
            self.path, self.host, self.headers
        )
    }
}

/// Keeps one connection open until the end of the run, and opens it again when it closes.
async fn run_caller(run: Rc<AbuseRun>) {
    while Instant::now() < run.ends_at {
        match timeout_at(run.ends_at, TcpStream::connect(run.address)).await {
            Ok(Ok(stream)) => {
                run.count("opened");
                let status = timeout_at(run.ends_at, use_connection(&run, stream)).await;
                run.count(&status.unwrap_or_else(|_| "open at the end".to_owned()));
            }
            Ok(Err(_)) => run.count("not opened"),
            Err(_) => return,
        }
        sleep(REOPEN_DELAY).await;
    }
}

/// Uses one connection until the router closes it; returns the status of its response.
async fn use_connection(run: &AbuseRun, mut stream: TcpStream) -> String {
    let (mut reader, mut writer) = stream.split();
    let mut received = Vec::new();
    let write = async {
        // A failed write is that of a closed connection, which the reader sees too.
        if let Err(error) = write_pattern(run, &mut writer).await {
            log::debug!("the router closed a connection: {error}");
        }
        if !run.reads() {
            std::future::pending::<()>().await;
        }
    };
    let read = async {
        if !run.reads() {
            return std::future::pending().await;
        }
        let mut buffer = [0; 1024];
        while let Ok(length) = reader.read(&mut buffer).await {
            if length == 0 {
                break;
            }
            received.extend_from_slice(&buffer[..length.min(64)]);
        }
    };
    let mut write = std::pin::pin!(write);
    let mut read = std::pin::pin!(read);
    tokio::select! {
        () = &mut read => {}
        () = &mut write => read.await,
    }
    let text = String::from_utf8_lossy(&received);
    let status = text.get(9..12).unwrap_or("no response");
    status.to_owned()
}

async fn write_pattern(
    run: &AbuseRun,
    writer: &mut (impl AsyncWriteExt + Unpin),
) -> std::io::Result<()> {
    let length = run.body_bytes;
    let with_length = |length: usize| run.head(&format!("Content-Length: {length}\r\n"));
    match run.kind {
        AbuseKind::ShortBody => {
            writer.write_all(with_length(length).as_bytes()).await?;
            let sent = length.saturating_sub(MISSING_BYTES);
            write_body(writer, sent, run.piece_bytes, false).await
        }
        AbuseKind::ChunkedBody => {
            let head = run.head("Transfer-Encoding: chunked\r\n");
            writer.write_all(head.as_bytes()).await?;
            let sent = length.saturating_sub(MISSING_BYTES);
            write_body(writer, sent, run.piece_bytes, true).await
        }
        AbuseKind::LargeBody => {
            let length = length * OVERSIZE_FACTOR;
            writer.write_all(with_length(length).as_bytes()).await?;
            write_body(writer, length, run.piece_bytes, false).await
        }
        AbuseKind::ManyFields => {
            let fields = "a:\r\n".repeat(FIELDS_BYTES / 4);
            writer.write_all(run.head(&fields).as_bytes()).await
        }
        AbuseKind::Pipelined => {
            let requests = run.head("Content-Length: 0\r\n").repeat(PIPELINE_LENGTH);
            loop {
                writer.write_all(requests.as_bytes()).await?;
            }
        }
        AbuseKind::SlowBody => {
            writer.write_all(with_length(length).as_bytes()).await?;
            write_slowly(writer, "x").await
        }
        AbuseKind::SlowHead => {
            let head = run.head("");
            let half = &head.as_bytes()[..head.len() / 2];
            writer.write_all(half).await
        }
        AbuseKind::Idle => Ok(()),
        AbuseKind::SlowRead => {
            let head = run.head("Content-Length: 0\r\n");
            writer.write_all(head.as_bytes()).await
        }
    }
}

async fn write_body(
    writer: &mut (impl AsyncWriteExt + Unpin),
    length: usize,
    piece_bytes: usize,
    in_chunks: bool,
) -> std::io::Result<()> {
    let mut piece = Vec::new();
    if in_chunks {
        piece.extend_from_slice(format!("{piece_bytes:x}\r\n").as_bytes());
    }
    piece.resize(piece.len() + piece_bytes, b'x');
    if in_chunks {
        piece.extend_from_slice(b"\r\n");
    }
    for _ in 0..length / piece_bytes {
        writer.write_all(&piece).await?;
    }
    if in_chunks {
        return Ok(());
    }
    writer.write_all(&piece[..length % piece_bytes]).await
}

async fn write_slowly(
    writer: &mut (impl AsyncWriteExt + Unpin),
    piece: &str,
) -> std::io::Result<()> {
    loop {
        writer.write_all(piece.as_bytes()).await?;
        sleep(SLOW_INTERVAL).await;
    }
}
