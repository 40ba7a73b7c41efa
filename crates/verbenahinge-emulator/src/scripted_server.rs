//! Emulator of a registered backend server with fault injection at the socket level.
//!
//! Requests with a prompt, recognized by their token counts, receive a stream of events; all others
//! receive a plain response. The server writes the bytes of its responses itself, because an HTTP
//! library would not produce invalid ones.
//!
//! `PUT /stand-in/faults` sets the [`ServerFaults`]; `GET /stand-in/runs` returns the
//! [`ExecutedRequest`]s.

mod request;
mod response;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use self::request::ParsedRequest;

/// Path for setting the [`ServerFaults`].
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// Path for reading the [`ExecutedRequest`]s.
pub const RUNS_PATH: &str = "/stand-in/runs";

/// Kind of fault that a server injects.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerFault {
    /// Sends a correct response.
    #[default]
    None,
    /// Executes the request and closes the connection without a response.
    LoseAnswer,
    /// Executes the request, keeps the connection open and never responds.
    Silence,
    /// Rejects the request and states that it was not executed.
    Reject,
    /// Executes the request and responds with status 500.
    Fail,
    /// Sends the response and then a second one.
    ExtraAnswer,
    /// Sends a response with another request ID before the correct one.
    ForeignAnswer,
    /// Closes the connection in the middle of a response or of an event.
    BreakOff,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// Sends a response without a length and ends it with a TCP reset.
    Unframed,
    /// Stops in the middle of an event of a stream and keeps the connection open.
    Stall,
    /// Sends nothing for `pause_ms` in the middle of an event of a stream, or before a plain response,
    /// and then goes on.
    Pause,
    /// Sends nothing for `pause_ms` before the response and then goes on.
    LateStart,
    /// Exits the process while it executes the request.
    Crash,
    /// Sends a header line that does not end, until the client closes the connection.
    EndlessHead,
    /// Sends a body that does not end, until the client closes the connection.
    EndlessBody,
    /// Sends an event of a stream that does not end, until the client closes the connection.
    EndlessEvent,
}

/// Faults and timing of a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServerFaults {
    /// Fault to inject.
    pub fault: ServerFault,
    /// Number of requests that the fault affects; 0 means all.
    pub times: u32,
    /// Time before each response and after each event, in milliseconds.
    pub work_ms: u64,
    /// Number of events in a complete stream.
    pub events: u64,
    /// Rate limit that responses name, in requests per second; 0 means none.
    pub limit_per_s: f64,
    /// Length of a pause, in milliseconds.
    pub pause_ms: u64,
}

/// Record of a request that a server executed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutedRequest {
    /// Request ID.
    pub request_id: String,
    /// Method and request target, separated by a space.
    pub target: String,
    /// Request body, with invalid UTF-8 replaced.
    pub body: String,
    /// Client account in the request headers.
    pub account: String,
    /// API key in the request headers, which the router must not forward.
    pub api_key: String,
    /// Value of the deadline header in milliseconds, or 0.
    pub deadline_ms: u64,
    /// ID of the event after which the stream resumes, or 0.
    pub last_event: u64,
    /// Whether the complete response was sent.
    pub is_complete: bool,
    /// Whether the client closed the connection before an endless response ended.
    pub was_closed: bool,
    /// Time of its arrival since the start of the server, in milliseconds.
    pub arrived_ms: u64,
}

/// Options of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedServerOptions {
    /// ID of the server in the registry.
    pub id: String,
    /// Number of slots that the server reports.
    pub slots: u32,
    /// Initial faults and timing.
    pub faults: ServerFaults,
    /// Prompt part on which the process exits when it would send the first event; unlike the faults,
    /// it holds from the start of the process.
    pub deadly_part: Option<u64>,
}

/// State shared by all connections.
struct ScriptedServer {
    options: ScriptedServerOptions,
    faults: RefCell<ServerFaults>,
    executed_requests: RefCell<Vec<ExecutedRequest>>,
    running: Cell<u32>,
    started: Instant,
}

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener, options: ScriptedServerOptions) {
    let server = Rc::new(ScriptedServer {
        faults: RefCell::new(options.faults),
        options,
        executed_requests: RefCell::default(),
        running: Cell::new(0),
        started: Instant::now(),
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Rc::clone(&server);
                actix_rt::spawn(async move {
                    if let Err(error) = server.serve_connection(stream).await {
                        log::debug!("scripted server: connection closed with an error: {error}");
                    }
                });
            }
            Err(error) => log::warn!("scripted server: failed to accept a connection: {error}"),
        }
    }
}

/// Waits, unless the client closes the connection or sends more data.
async fn sleep_while_connected(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let mut peeked = [0; 1];
    tokio::select! {
        () = actix_rt::time::sleep(time) => Ok(()),
        _ = stream.peek(&mut peeked) => {
            Err(io::Error::other("client disconnected or sent more data"))
        }
    }
}

/// Sends the start of a response and then one letter again and again, until the client closes.
async fn send_endlessly(stream: &mut TcpStream, start: &[u8]) -> io::Result<()> {
    /// Number of letters that are sent at a time.
    const CHUNK_BYTES: usize = 16 << 10;
    stream.write_all(start).await?;
    let letters = vec![b'x'; CHUNK_BYTES];
    while stream.write_all(&letters).await.is_ok() {}
    Ok(())
}

impl ScriptedServer {
    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = request::read_request(&mut stream, &mut buffer).await? {
            let keep_open = match (request.method.as_str(), request.target.as_str()) {
                ("PUT", FAULTS_PATH) => self.set_faults(&mut stream, &request).await?,
                ("GET", RUNS_PATH) => self.send_executed_requests(&mut stream).await?,
                _ => self.handle_request(&mut stream, &request).await?,
            };
            if !keep_open {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn set_faults(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
    ) -> io::Result<bool> {
        let faults = serde_json::from_slice(&request.body)?;
        self.faults.replace(faults);
        stream.write_all(&response::control(b"{}")).await?;
        Ok(true)
    }

    async fn send_executed_requests(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let body = serde_json::to_vec(&*self.executed_requests.borrow())?;
        stream.write_all(&response::control(&body)).await?;
        Ok(true)
    }

    /// Returns the fault for the next request and counts it against `times`.
    fn next_fault(&self) -> ServerFault {
        let mut faults = self.faults.borrow_mut();
        let fault = faults.fault;
        if faults.times == 1 {
            faults.fault = ServerFault::None;
        }
        faults.times = faults.times.saturating_sub(1);
        fault
    }

    async fn handle_request(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
    ) -> io::Result<bool> {
        if request.expected_server != self.options.id {
            stream.write_all(&response::misdirected(request)).await?;
            return Ok(true);
        }
        let fault = self.next_fault();
        if fault == ServerFault::Reject {
            stream.write_all(&response::not_executed(request)).await?;
            return Ok(true);
        }
        let record_index = self.executed_requests.borrow().len();
        let arrived_ms = self.started.elapsed().as_millis();
        let executed = ExecutedRequest {
            arrived_ms: u64::try_from(arrived_ms).unwrap_or(u64::MAX),
            ..request.to_executed_request()
        };
        self.executed_requests.borrow_mut().push(executed);
        self.running.set(self.running.get() + 1);
        let result = self.execute(stream, request, fault, record_index).await;
        self.running.set(self.running.get() - 1);
        result
    }

    fn is_deadly(&self, request: &ParsedRequest) -> bool {
        let part = self.options.deadly_part;
        part.is_some_and(|part| request.prompt_parts.contains(&part))
    }

    async fn execute(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
        fault: ServerFault,
        record_index: usize,
    ) -> io::Result<bool> {
        let processing_time = Duration::from_millis(self.faults.borrow().work_ms);
        let mut peeked = [0; 1];
        // Stops when the client closes the connection or sends more data.
        tokio::select! {
            () = actix_rt::time::sleep(processing_time) => {}
            _ = stream.peek(&mut peeked) => return Ok(false),
        }
        if self.is_deadly(request) {
            std::process::exit(3);
        }
        let load = [self.running.get(), 0, self.options.slots];
        let limit_per_s = self.faults.borrow().limit_per_s;
        match fault {
            ServerFault::LoseAnswer => return Ok(false),
            ServerFault::Silence => return std::future::pending().await,
            ServerFault::Crash => std::process::exit(3),
            ServerFault::Fail => {
                stream.write_all(&response::failed(request)).await?;
                return Ok(true);
            }
            ServerFault::EndlessHead | ServerFault::EndlessBody | ServerFault::EndlessEvent => {
                send_endlessly(stream, &response::endless_start(request, fault)).await?;
                if let Some(executed) = self.executed_requests.borrow_mut().get_mut(record_index) {
                    executed.was_closed = true;
                }
                return Ok(false);
            }
            ServerFault::Garbage => {
                stream.write_all(b"\x00\x01 not an answer\r\n\r\n").await?;
                return Ok(false);
            }
            ServerFault::ForeignAnswer => {
                let mut foreign = request.clone();
                "foreign".clone_into(&mut foreign.request_id);
                stream
                    .write_all(&response::complete(&foreign, load, limit_per_s))
                    .await?;
            }
            ServerFault::Unframed => {
                stream.write_all(&response::unframed(request)).await?;
                // A linger time of zero makes the close send a reset.
                stream.set_zero_linger()?;
                return Ok(false);
            }
            ServerFault::LateStart => self.pause(stream).await?,
            ServerFault::Pause if !request.is_stream => self.pause(stream).await?,
            ServerFault::BreakOff if !request.is_stream => {
                let bytes = response::complete(request, load, limit_per_s);
                stream.write_all(&bytes[..bytes.len() - 2]).await?;
                return Ok(false);
            }
            ServerFault::None
            | ServerFault::Reject
            | ServerFault::ExtraAnswer
            | ServerFault::BreakOff
            | ServerFault::Pause
            | ServerFault::Stall => {}
        }
        if request.is_stream {
            self.send_events(stream, request, fault).await?;
        } else {
            stream
                .write_all(&response::complete(request, load, limit_per_s))
                .await?;
        }
        if let Some(executed) = self.executed_requests.borrow_mut().get_mut(record_index) {
            executed.is_complete = true;
        }
        if fault == ServerFault::ExtraAnswer {
            stream
                .write_all(&response::complete(request, load, limit_per_s))
                .await?;
        }
        Ok(fault != ServerFault::BreakOff)
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
        fault: ServerFault,
    ) -> io::Result<()> {
        let faults = *self.faults.borrow();
        let event_interval = Duration::from_millis(faults.work_ms);
        stream
            .write_all(&response::stream_head(request, faults.limit_per_s))
            .await?;
        let first = request.last_event + 1;
        for id in first..=faults.events {
            let event = response::event(id, &self.options.id);
            let is_midpoint = id == first.midpoint(faults.events);
            if is_midpoint && matches!(fault, ServerFault::BreakOff | ServerFault::Stall) {
                stream
                    .write_all(&response::chunk(&event[..event.len() / 2]))
                    .await?;
                if fault == ServerFault::Stall {
                    return std::future::pending().await;
                }
                return Err(io::Error::other("connection closed by the injected fault"));
            }
            let mut unsent = event.as_slice();
            if is_midpoint && fault == ServerFault::Pause {
                let (start, rest) = event.split_at(event.len() / 2);
                stream.write_all(&response::chunk(start)).await?;
                self.pause(stream).await?;
                unsent = rest;
            }
            stream.write_all(&response::chunk(unsent)).await?;
            sleep_while_connected(stream, event_interval).await?;
        }
        stream.write_all(response::LAST_CHUNK).await
    }

    /// Sends nothing for the length of a pause.
    async fn pause(&self, stream: &TcpStream) -> io::Result<()> {
        let pause = Duration::from_millis(self.faults.borrow().pause_ms);
        sleep_while_connected(stream, pause).await
    }
}
