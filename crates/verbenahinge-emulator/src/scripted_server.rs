//! Emulator of a registered backend server with fault injection at the socket level.
//!
//! Requests with a prompt, recognized by their token counts, receive a stream of events; all others
//! receive a plain response. The server writes the bytes of its responses itself, because an HTTP
//! library would not produce invalid ones.
//!
//! `PUT /stand-in/faults` sets the [`ServerFaults`]; `GET /stand-in/runs` returns the
//! [`ExecutedRequest`]s, and `GET /stand-in/arrivals` every [`Arrival`], also of requests that were
//! rejected; `GET /stand-in/moves` returns the [`MoveRecord`]s, and how many handles and copies are open.

mod arrival;
mod events;
mod executed_request;
mod framing;
mod moves;
mod request;
mod response;
mod response_cut;
mod server_fault;
mod server_faults;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use verbenahinge_platform::kv_moves::{HANDLE_PATH, MOVE_PATH};

pub use self::arrival::Arrival;
pub use self::executed_request::ExecutedRequest;
pub use self::framing::Framing;
use self::moves::Moves;
pub use self::moves::{MOVES_PATH, MoveRecord};
use self::request::ParsedRequest;
use self::response::Responder;
pub use self::response_cut::{CutEnd, ResponseCut};
pub use self::server_fault::ServerFault;
pub use self::server_faults::ServerFaults;

/// Path for setting the [`ServerFaults`].
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// Path for reading the [`ExecutedRequest`]s.
pub const RUNS_PATH: &str = "/stand-in/runs";

/// Path for reading the [`Arrival`]s.
pub const ARRIVALS_PATH: &str = "/stand-in/arrivals";

/// Exit code of a process that crashes by an injected fault, which takes a request.
pub const CRASH_EXIT_CODE: i32 = 3;

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
    arrivals: RefCell<Vec<Arrival>>,
    running: Cell<u32>,
    /// Times of rejections for want of room within the last second.
    rejections_ms: RefCell<Vec<u64>>,
    connections: Cell<u64>,
    moves: RefCell<Moves>,
    started: Instant,
}

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener, options: ScriptedServerOptions) {
    let server = Rc::new(ScriptedServer {
        faults: RefCell::new(options.faults),
        options,
        executed_requests: RefCell::default(),
        arrivals: RefCell::default(),
        running: Cell::new(0),
        rejections_ms: RefCell::default(),
        connections: Cell::new(0),
        moves: RefCell::default(),
        started: Instant::now(),
    });
    loop {
        match listener.accept().await {
            Ok((stream, from)) if server.cuts_off(from.ip()) => {
                if let Err(error) = stream.set_zero_linger() {
                    log::warn!("scripted server: failed to reset a connection: {error}");
                }
            }
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

/// What a connection has carried.
#[derive(Default)]
struct ConnectionHistory {
    last_fault: ServerFault,
    last_rejection: Vec<u8>,
}

/// Number of bytes of a head that is cut off, in its second line.
const CUT_HEAD_BYTES: usize = 24;

/// Sends the start of a response and then a text again and again, until the client closes; returns the
/// number of bytes after the start.
async fn send_endlessly(stream: &mut TcpStream, start: &[u8], text: &str) -> io::Result<usize> {
    /// Number of bytes that are sent at a time.
    const PIECE_BYTES: usize = 16 << 10;
    stream.write_all(start).await?;
    let piece = text.repeat(PIECE_BYTES / text.len());
    let mut bytes = 0;
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        bytes += piece.len();
    }
    Ok(bytes)
}

/// Text that an endless response repeats.
const fn endless_text(fault: ServerFault) -> &'static str {
    match fault {
        ServerFault::EndlessInterim => "HTTP/1.1 103 Early Hints\r\n\r\n",
        ServerFault::EndlessChunkSize => "0",
        _ => "x",
    }
}

async fn send_records<T: Serialize>(
    stream: &mut TcpStream,
    records: &RefCell<Vec<T>>,
) -> io::Result<bool> {
    let body = serde_json::to_vec(&*records.borrow())?;
    stream.write_all(&response::control(&body)).await?;
    Ok(true)
}

impl ScriptedServer {
    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let connection = self.connections.get() + 1;
        self.connections.set(connection);
        let mut history = ConnectionHistory::default();
        let mut buffer = Vec::new();
        while let Some(request) = request::read_request(&mut stream, &mut buffer).await? {
            let keep_open = match (request.method.as_str(), request.target.as_str()) {
                ("PUT", FAULTS_PATH) => self.set_faults(&mut stream, &request).await?,
                ("GET", RUNS_PATH) => send_records(&mut stream, &self.executed_requests).await?,
                ("GET", ARRIVALS_PATH) => send_records(&mut stream, &self.arrivals).await?,
                ("GET", MOVES_PATH) => self.send_moves(&mut stream).await?,
                (_, moves::COPIES_PATH) => self.update_copy(&mut stream, &request).await?,
                ("POST", MOVE_PATH) => self.copy_run(&mut stream, &request).await?,
                ("DELETE", path) if path.starts_with(HANDLE_PATH) => {
                    self.free_handle(&mut stream, &request).await?
                }
                _ if self.faults.borrow().cuts_open_connections
                    && self.cuts_off(stream.peer_addr()?.ip()) =>
                {
                    stream.set_zero_linger()?;
                    return Ok(());
                }
                _ => {
                    self.handle_request(&mut stream, &request, connection, &mut history)
                        .await?
                }
            };
            if !keep_open {
                return Ok(());
            }
        }
        Ok(())
    }

    fn cuts_off(&self, client: IpAddr) -> bool {
        self.faults.borrow().cut_off == Some(client)
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

    /// Time since the start of the server, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Responses to a request, by the faults that are set now.
    fn responder<'a>(&self, request: &'a ParsedRequest) -> Responder<'a> {
        Responder {
            request,
            faults: *self.faults.borrow(),
        }
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
        connection: u64,
        history: &mut ConnectionHistory,
    ) -> io::Result<bool> {
        if request.expected_server != self.options.id {
            let response = self.responder(request).misdirected();
            stream.write_all(&response).await?;
            return Ok(true);
        }
        let arrived_ms = self.elapsed_ms();
        self.arrivals.borrow_mut().push(Arrival {
            request_id: request.request_id.clone(),
            arrived_ms,
        });
        let is_moved = !request.moved_from.is_empty();
        if is_moved && !self.use_handle(request, stream.local_addr()?).await {
            let response = self.responder(request).not_executed();
            stream.write_all(&response).await?;
            return Ok(true);
        }
        if !is_moved && self.is_full() {
            self.count_rejection();
            let response = self.responder(request).not_executed();
            stream.write_all(&response).await?;
            return Ok(true);
        }
        let fault = self.next_fault();
        if fault == ServerFault::Reject {
            let delay = Duration::from_millis(self.faults.borrow().reject_delay_ms);
            actix_rt::time::sleep(delay).await;
            history.last_rejection = self.responder(request).not_executed();
            stream.write_all(&history.last_rejection).await?;
            return Ok(true);
        }
        if fault == ServerFault::RepeatRejection {
            stream.write_all(&history.last_rejection).await?;
        }
        if !fault.is_sound() || history.last_fault.is_sound() {
            history.last_fault = fault;
        }
        let record_index = self.executed_requests.borrow().len();
        let executed = ExecutedRequest {
            arrived_ms,
            fault: history.last_fault,
            connection,
            ..request.to_executed_request()
        };
        self.executed_requests.borrow_mut().push(executed);
        self.running.set(self.running.get() + 1);
        let result = self.execute(stream, request, fault, record_index).await;
        self.running.set(self.running.get() - 1);
        result
    }

    /// Whether the server has no room for another request.
    fn is_full(&self) -> bool {
        let max_running = self.faults.borrow().max_running;
        max_running > 0 && self.running.get() >= max_running
    }

    /// Counts a rejection for want of room; the process exits if there are too many in a second.
    fn count_rejection(&self) {
        let max = self.faults.borrow().max_rejections_per_s as usize;
        let now_ms = self.elapsed_ms();
        let mut rejections = self.rejections_ms.borrow_mut();
        rejections.retain(|&at_ms| at_ms + 1000 > now_ms);
        rejections.push(now_ms);
        if max > 0 && rejections.len() > max {
            std::process::exit(CRASH_EXIT_CODE);
        }
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
        let faults = *self.faults.borrow();
        let mut processing_ms = faults.work_ms;
        if fault == ServerFault::PauseAtStart {
            processing_ms += faults.pause_ms;
        }
        events::wait(stream, Duration::from_millis(processing_ms)).await?;
        if self.is_deadly(request) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        let load = [self.running.get(), 0, self.options.slots];
        // They may have been changed meanwhile.
        let faults = *self.faults.borrow();
        let responder = self.responder(request);
        match fault {
            ServerFault::LoseAnswer => return Ok(false),
            ServerFault::Silence => return std::future::pending().await,
            ServerFault::Crash => std::process::exit(CRASH_EXIT_CODE),
            ServerFault::Fail => {
                stream.write_all(&responder.failed()).await?;
                return Ok(true);
            }
            _ if fault.is_endless() => {
                let start = responder.endless_start(fault);
                let bytes = send_endlessly(stream, &start, endless_text(fault)).await?;
                if let Some(executed) = self.executed_requests.borrow_mut().get_mut(record_index) {
                    executed.was_closed = true;
                    executed.endless_bytes = bytes;
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
                let response = self.responder(&foreign).complete(load);
                stream.write_all(&response).await?;
            }
            ServerFault::Unframed => {
                stream.write_all(&responder.unframed()).await?;
                // A linger time of zero makes the close send a reset.
                stream.set_zero_linger()?;
                return Ok(false);
            }
            ServerFault::CutHead => {
                let bytes = responder.complete(load);
                stream.write_all(&bytes[..CUT_HEAD_BYTES]).await?;
                return Ok(false);
            }
            ServerFault::CutAsRequested => {
                let bytes = if request.is_stream {
                    responder.complete_stream(&self.options.id)
                } else {
                    responder.complete(load)
                };
                return ResponseCut::of_target(&request.target)
                    .send(stream, &bytes)
                    .await;
            }
            _ if fault.cuts_bodies() && !request.is_stream => {
                let bytes = responder.complete(load);
                stream.write_all(&bytes[..bytes.len() - 2]).await?;
                if fault.resets() {
                    stream.set_zero_linger()?;
                }
                return Ok(false);
            }
            _ => {}
        }
        if request.is_stream {
            let run = self.begin_run(request);
            let result = self.send_events(stream, request, fault, &run).await;
            self.end_run(request, &run);
            if result.is_err()
                && let Some(executed) = self.executed_requests.borrow_mut().get_mut(record_index)
            {
                executed.was_closed = true;
            }
            result?;
        } else {
            let bytes = responder.complete(load);
            let mut rest = &bytes[..];
            if fault == ServerFault::Pause {
                let (first, last) = bytes.split_at(bytes.len() - 2);
                stream.write_all(first).await?;
                events::wait(stream, Duration::from_millis(faults.pause_ms)).await?;
                rest = last;
            }
            stream.write_all(rest).await?;
        }
        if let Some(executed) = self.executed_requests.borrow_mut().get_mut(record_index) {
            executed.is_complete = true;
        }
        if fault == ServerFault::ExtraAnswer {
            stream.write_all(&responder.complete(load)).await?;
        }
        Ok(fault != ServerFault::BreakOff && !faults.framing.ends_connection())
    }
}
