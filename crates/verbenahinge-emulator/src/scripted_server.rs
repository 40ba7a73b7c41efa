//! A stand-in for a registered backend server whose sockets misbehave on demand.
//!
//! It answers plain requests whole and requests with a prompt as a stream of events, records what
//! it ran, and writes its answers byte by byte, so that it can do what no HTTP library allows.
//! `PUT /stand-in/faults` sets a [`ServerFaults`]; `GET /stand-in/runs` returns the [`Run`]s.

mod answer;
mod request;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use self::request::WireRequest;

/// Path at which faults are set.
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// Path at which the record is read.
pub const RUNS_PATH: &str = "/stand-in/runs";

/// What a server does instead of answering well.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerFault {
    /// It answers well.
    #[default]
    None,
    /// It runs the request and closes the connection without an answer.
    LoseAnswer,
    /// It runs the request and never answers.
    Silence,
    /// It refuses the request and says so.
    Reject,
    /// It runs the request and answers with a server error.
    Fail,
    /// It sends another answer after the whole one.
    ExtraAnswer,
    /// It answers for another request first.
    ForeignAnswer,
    /// It closes the connection in the middle of an answer or of an event.
    BreakOff,
    /// It sends bytes that are no answer.
    Garbage,
    /// It answers without a length and ends with a reset.
    Unframed,
    /// It stops in the middle of a stream and keeps the connection.
    Stall,
    /// The process ends while it runs the request.
    Crash,
}

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServerFaults {
    /// What it does.
    pub fault: ServerFault,
    /// Requests that it does so to; all if 0.
    pub times: u32,
    /// Time that it works on a request, or between two events.
    pub work_ms: u64,
    /// Events of one stream.
    pub events: u64,
}

/// One request that a server ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Id of the request.
    pub request_id: String,
    /// Method and target as they arrived.
    pub target: String,
    /// Body as it arrived.
    pub body: String,
    /// Client account that the router named.
    pub account: String,
    /// API key, which must never arrive.
    pub api_key: String,
    /// Milliseconds that the router granted.
    pub deadline_ms: u64,
    /// Event after which the stream went on.
    pub last_event: u64,
    /// Whether the answer was sent to its end.
    pub is_complete: bool,
}

/// Settings of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptedOptions {
    /// Name of the server.
    pub id: String,
    /// Requests that it says it runs at once.
    pub slots: u32,
    /// How it misbehaves from the start.
    pub faults: ServerFaults,
}

/// State that all connections share.
struct Server {
    options: ScriptedOptions,
    faults: RefCell<ServerFaults>,
    runs: RefCell<Vec<Run>>,
    running: Cell<u32>,
}

/// Serves until the future is dropped.
pub async fn run(listener: TcpListener, options: ScriptedOptions) {
    let server = Rc::new(Server {
        faults: RefCell::new(options.faults),
        options,
        runs: RefCell::default(),
        running: Cell::new(0),
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Rc::clone(&server);
                actix_rt::spawn(async move {
                    if let Err(error) = server.serve(stream).await {
                        log::debug!("scripted server: connection ended: {error}");
                    }
                });
            }
            Err(error) => log::warn!("scripted server: accept failed: {error}"),
        }
    }
}

impl Server {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = request::read(&mut stream, &mut buffer).await? {
            let keep = match (request.method.as_str(), request.target.as_str()) {
                ("PUT", FAULTS_PATH) => self.set_faults(&mut stream, &request).await?,
                ("GET", RUNS_PATH) => self.tell_runs(&mut stream).await?,
                _ => self.run_request(&mut stream, &request).await?,
            };
            if !keep {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn set_faults(&self, stream: &mut TcpStream, request: &WireRequest) -> io::Result<bool> {
        let faults = serde_json::from_slice(&request.body)?;
        self.faults.replace(faults);
        stream.write_all(&answer::control(b"{}")).await?;
        Ok(true)
    }

    async fn tell_runs(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let text = serde_json::to_vec(&*self.runs.borrow())?;
        stream.write_all(&answer::control(&text)).await?;
        Ok(true)
    }

    /// Takes the fault for the next request.
    fn next_fault(&self) -> ServerFault {
        let mut faults = self.faults.borrow_mut();
        let fault = faults.fault;
        if faults.times == 1 {
            faults.fault = ServerFault::None;
        }
        faults.times = faults.times.saturating_sub(1);
        fault
    }

    async fn run_request(&self, stream: &mut TcpStream, request: &WireRequest) -> io::Result<bool> {
        if request.expected_server != self.options.id {
            stream.write_all(&answer::misdirected(request)).await?;
            return Ok(true);
        }
        let fault = self.next_fault();
        if fault == ServerFault::Reject {
            stream.write_all(&answer::rejected(request)).await?;
            return Ok(true);
        }
        let index = self.runs.borrow().len();
        self.runs.borrow_mut().push(request.to_run());
        self.running.set(self.running.get() + 1);
        let result = self.run_with(stream, request, fault, index).await;
        self.running.set(self.running.get() - 1);
        result
    }

    async fn run_with(
        &self,
        stream: &mut TcpStream,
        request: &WireRequest,
        fault: ServerFault,
        index: usize,
    ) -> io::Result<bool> {
        let work = Duration::from_millis(self.faults.borrow().work_ms);
        let mut unused = [0; 1];
        // A caller that closes the connection ends the work.
        tokio::select! {
            () = actix_rt::time::sleep(work) => {}
            _ = stream.peek(&mut unused) => return Ok(false),
        }
        let load = [self.running.get(), 0, self.options.slots];
        match fault {
            ServerFault::LoseAnswer => return Ok(false),
            ServerFault::Silence => return std::future::pending().await,
            ServerFault::Crash => std::process::exit(3),
            ServerFault::Fail => {
                stream.write_all(&answer::failed(request)).await?;
                return Ok(true);
            }
            ServerFault::Garbage => {
                stream.write_all(b"\x00\x01 not an answer\r\n\r\n").await?;
                return Ok(false);
            }
            ServerFault::ForeignAnswer => {
                let mut foreign = request.clone();
                "foreign".clone_into(&mut foreign.request_id);
                stream.write_all(&answer::whole(&foreign, load)).await?;
            }
            ServerFault::Unframed => {
                stream.write_all(&answer::unframed(request)).await?;
                // Makes the close a reset.
                stream.set_zero_linger()?;
                return Ok(false);
            }
            ServerFault::BreakOff if !request.is_stream => {
                let whole = answer::whole(request, load);
                stream.write_all(&whole[..whole.len() - 2]).await?;
                return Ok(false);
            }
            ServerFault::None
            | ServerFault::Reject
            | ServerFault::ExtraAnswer
            | ServerFault::BreakOff
            | ServerFault::Stall => {}
        }
        if request.is_stream {
            self.send_events(stream, request, fault).await?;
        } else {
            stream.write_all(&answer::whole(request, load)).await?;
        }
        if let Some(run) = self.runs.borrow_mut().get_mut(index) {
            run.is_complete = true;
        }
        if fault == ServerFault::ExtraAnswer {
            stream.write_all(&answer::whole(request, load)).await?;
        }
        Ok(fault != ServerFault::BreakOff)
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        request: &WireRequest,
        fault: ServerFault,
    ) -> io::Result<()> {
        let faults = *self.faults.borrow();
        let pause = Duration::from_millis(faults.work_ms);
        stream.write_all(&answer::stream_head(request)).await?;
        let first = request.last_event + 1;
        for id in first..=faults.events {
            let event = answer::event(id, &self.options.id);
            let is_middle = id == first.midpoint(faults.events);
            if is_middle && matches!(fault, ServerFault::BreakOff | ServerFault::Stall) {
                stream
                    .write_all(&answer::chunk(&event[..event.len() / 2]))
                    .await?;
                if fault == ServerFault::Stall {
                    return std::future::pending().await;
                }
                return Err(io::Error::other("broken off on demand"));
            }
            stream.write_all(&answer::chunk(&event)).await?;
            let mut unused = [0; 1];
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                _ = stream.peek(&mut unused) => {
                    return Err(io::Error::other("the caller has gone"));
                }
            }
        }
        stream.write_all(answer::LAST_CHUNK).await
    }
}
