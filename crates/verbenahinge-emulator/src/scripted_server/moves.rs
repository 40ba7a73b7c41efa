//! Moves of running requests to another server.
//!
//! A copy is a record at the target, which the source writes there; nothing of a run but its ID has to be
//! copied, since events depend only on their number.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use verbenahinge_platform::kv_moves::{HANDLE_PATH, MoveRequestJson, MoveResponseJson};

use super::request::ParsedRequest;
use super::{ScriptedServer, response};

/// Path at which a target takes and drops copies, and a source hears that a copy is used.
pub(super) const COPIES_PATH: &str = "/stand-in/copies";

/// Path for reading the [`MoveRecord`]s.
pub const MOVES_PATH: &str = "/stand-in/moves";

/// Time within which another server answers.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Record of a call that moves a request, or frees a handle.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveRecord {
    /// ID of the request, or the freed handle.
    pub id: String,
    /// Whether the run was stopped.
    pub is_last: bool,
    /// Status of the response, also if the response was lost.
    pub status: u16,
    /// Whether the call freed a handle.
    pub is_free: bool,
}

/// Run of a stream.
#[derive(Debug, Default)]
pub(super) struct StreamRun {
    /// ID of the last event that was sent.
    pub(super) created: Cell<u64>,
    pub(super) is_stopped: Cell<bool>,
    pub(super) stopped: Notify,
    is_moving: Cell<bool>,
}

/// Handle at the source of a copy.
#[derive(Clone, Debug)]
struct SourceHandle {
    request_id: String,
    target: SocketAddr,
    is_stopped: bool,
}

/// What one server tells another of a copy.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct CopyJson {
    source: SocketAddr,
    handle: String,
    request_id: String,
}

/// Runs and copies of one server.
#[derive(Debug, Default)]
pub(super) struct Moves {
    runs: BTreeMap<String, Rc<StreamRun>>,
    handles: BTreeMap<String, SourceHandle>,
    copies: Vec<CopyJson>,
    records: Vec<MoveRecord>,
}

impl ScriptedServer {
    /// Begins the run of a stream.
    pub(super) fn begin_run(&self, request: &ParsedRequest) -> Rc<StreamRun> {
        let run = Rc::new(StreamRun::default());
        run.created.set(request.last_event);
        let mut moves = self.moves.borrow_mut();
        moves
            .runs
            .insert(request.request_id.clone(), Rc::clone(&run));
        run
    }

    /// Forgets a run that has ended.
    pub(super) fn end_run(&self, request: &ParsedRequest, run: &Rc<StreamRun>) {
        let mut moves = self.moves.borrow_mut();
        let known = moves.runs.get(&request.request_id);
        if known.is_some_and(|known| Rc::ptr_eq(known, run)) {
            moves.runs.remove(&request.request_id);
        }
    }

    /// Handles a call that copies the memory of a run; returns whether the connection stays open.
    pub(super) async fn copy_run(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
    ) -> io::Result<bool> {
        let call: MoveRequestJson = serde_json::from_slice(&request.body)?;
        let source = stream.local_addr()?;
        let (status, body) = self.copy_for(&call, source, &request.expected_server).await;
        self.moves.borrow_mut().records.push(MoveRecord {
            id: call.id,
            is_last: call.last,
            status,
            is_free: false,
        });
        if call.last && self.faults.borrow().loses_move_answers {
            return Ok(false);
        }
        let body = serde_json::to_vec(&body)?;
        stream
            .write_all(&response::with_status(status, &body))
            .await?;
        Ok(true)
    }

    async fn copy_for(
        &self,
        call: &MoveRequestJson,
        source: SocketAddr,
        expected_server: &str,
    ) -> (u16, MoveResponseJson) {
        if expected_server != self.options.id {
            return (421, MoveResponseJson::default());
        }
        let run = self.moves.borrow().runs.get(&call.id).cloned();
        let Some(run) = run.filter(|run| !run.is_stopped.get()) else {
            return (404, MoveResponseJson::default());
        };
        if run.is_moving.replace(true) {
            return (409, MoveResponseJson::default());
        }
        if call.last {
            run.is_stopped.set(true);
            run.stopped.notify_one();
        }
        let copy_ms = self.faults.borrow().copy_ms;
        actix_rt::time::sleep(Duration::from_millis(copy_ms)).await;
        let copy = CopyJson {
            source,
            handle: format!("{}-{}", call.id, call.to.port()),
            request_id: call.id.clone(),
        };
        let is_taken = tell(call.to, "PUT", &copy).await == Some(200);
        run.is_moving.set(false);
        let is_kept = is_taken || call.last;
        if is_kept {
            let handle = SourceHandle {
                request_id: call.id.clone(),
                target: call.to,
                is_stopped: call.last,
            };
            let mut moves = self.moves.borrow_mut();
            moves.handles.insert(copy.handle.clone(), handle);
        }
        let body = MoveResponseJson {
            handle: is_kept.then_some(copy.handle),
            created: Some(run.created.get()),
        };
        (if is_taken { 200 } else { 503 }, body)
    }

    /// Frees a handle at this server and at the target of its copy.
    pub(super) async fn free_handle(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
    ) -> io::Result<bool> {
        let handle = request.target.strip_prefix(HANDLE_PATH).unwrap_or("");
        let freed = self.moves.borrow_mut().handles.remove(handle);
        let status = if freed.is_some() { 200 } else { 404 };
        self.moves.borrow_mut().records.push(MoveRecord {
            id: handle.to_owned(),
            is_last: false,
            status,
            is_free: true,
        });
        if let Some(freed) = freed {
            let copy = CopyJson {
                source: stream.local_addr()?,
                handle: handle.to_owned(),
                request_id: freed.request_id,
            };
            tell(freed.target, "DELETE", &copy).await;
        }
        stream
            .write_all(&response::with_status(status, b"{}"))
            .await?;
        Ok(true)
    }

    /// Takes or drops a copy, or marks a handle of this server as used.
    pub(super) async fn update_copy(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
    ) -> io::Result<bool> {
        let copy: CopyJson = serde_json::from_slice(&request.body)?;
        let is_full = self.faults.borrow().refuses_copies;
        let status = {
            let mut moves = self.moves.borrow_mut();
            match request.method.as_str() {
                "PUT" if is_full => 503,
                "PUT" => {
                    moves.copies.retain(|known| *known != copy);
                    moves.copies.push(copy);
                    200
                }
                "POST" => {
                    moves.handles.remove(&copy.handle);
                    200
                }
                _ => {
                    moves.copies.retain(|known| *known != copy);
                    200
                }
            }
        };
        stream
            .write_all(&response::with_status(status, b"{}"))
            .await?;
        Ok(true)
    }

    /// Returns whether a request that continues a run may run here, and marks its handle as used.
    pub(super) async fn use_handle(&self, request: &ParsedRequest, own: SocketAddr) -> bool {
        if self.faults.borrow().rejects_moved {
            return false;
        }
        let Some((source, handle)) = request.moved_from.split_once('/') else {
            return false;
        };
        let Ok(source) = source.parse::<SocketAddr>() else {
            return false;
        };
        let copy = CopyJson {
            source,
            handle: handle.to_owned(),
            request_id: request.request_id.clone(),
        };
        if source == own {
            let used = {
                let mut moves = self.moves.borrow_mut();
                let known = moves.handles.get(handle);
                let is_valid = known.is_some_and(|known| {
                    known.is_stopped && known.request_id == request.request_id
                });
                is_valid.then(|| moves.handles.remove(handle)).flatten()
            };
            let Some(used) = used else {
                return false;
            };
            // The target has no use for its copy any more.
            tell(used.target, "DELETE", &copy).await;
            return true;
        }
        let is_known = {
            let mut moves = self.moves.borrow_mut();
            let copies = moves.copies.len();
            moves.copies.retain(|known| *known != copy);
            moves.copies.len() < copies
        };
        if is_known {
            tell(source, "POST", &copy).await;
        }
        is_known
    }

    /// Sends the records of calls, and how many handles and copies are neither used nor freed.
    pub(super) async fn send_moves(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let body = {
            let moves = self.moves.borrow();
            let open = moves.handles.len() + moves.copies.len();
            serde_json::to_vec(&(&moves.records, open))?
        };
        stream.write_all(&response::control(&body)).await?;
        Ok(true)
    }
}

/// Tells another server of a copy; returns the status of its response.
async fn tell(server: SocketAddr, method: &str, copy: &CopyJson) -> Option<u16> {
    let exchange = async {
        let body = serde_json::to_vec(copy).ok()?;
        let mut stream = TcpStream::connect(server).await.ok()?;
        let head = format!(
            "{method} {COPIES_PATH} HTTP/1.1\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&body).await.ok()?;
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.ok()?;
        std::str::from_utf8(&start[9..]).ok()?.parse().ok()
    };
    verbenahinge_http::timeout(PEER_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
