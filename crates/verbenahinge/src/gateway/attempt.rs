//! A single attempt to send a request to a backend server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use verbenahinge_core::gateway::{
    BrittleState, Call, RouteKind, ServerChoice, ServerEntry, ServerStart, ServerState,
    SoftwareVersion,
};
use verbenahinge_core::{FailureKind, ServerName, Timestamp};
use verbenahinge_platform::http_headers::{self, ForwardHeaders, MovedFrom, ServerHeaders};

use super::connection_pool::PooledConnection;
use super::frontend::Ingress;
use super::response_memory::ResponseBuffer;
use super::{Gateway, peers, reach, usage};
use crate::body_memory::BodyHold;
use crate::event_log::LogEvent;

/// A request as the caller sent it, with its complete body.
pub(crate) struct CallerRequest {
    pub(crate) id: Option<String>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body, if it is not empty.
    pub(crate) _hold: Option<BodyHold>,
    pub(crate) last_event: Option<u64>,
    /// ID of the request that brought the first event of the stream that is resumed.
    pub(crate) resumed_request: Option<String>,
    pub(crate) ingress: Ingress,
}

/// Why an attempt produced no response to forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// The attempt failed; the kind tells whether the request may have run.
    Failed(FailureKind),
    /// The deadline that the caller or the route sets passed before the response was complete.
    TimeUp,
}

/// Response whose head has been received, with the connection that its body is read from.
pub(crate) struct OpenResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: ServerHeaders,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    /// Software version of the server.
    pub(crate) version: SoftwareVersion,
}

impl OpenResponse {
    /// Returns whether the body has neither a length nor chunks, so that it ends with the connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let is_framed = [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .any(|name| self.headers.contains_key(name));
        !is_framed && !self.body.is_end_stream()
    }

    /// Waits for the next data of the body; `None` after its end. Dropping the future loses no data.
    pub(crate) async fn next_data(&mut self) -> Result<Option<Bytes>, FailureKind> {
        while let Some(frame) = self.body.frame().await {
            let limit = self.connection.framing_limit();
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => {
                    if !data.is_empty() {
                        limit.reset();
                    }
                    return Ok(Some(data));
                }
                Ok(Err(_trailers)) => {}
                Err(_) if limit.is_exceeded() => {
                    log_endless(self.connection.server());
                    return Err(FailureKind::Malformed);
                }
                Err(_) => return Err(FailureKind::ConnectionLost),
            }
        }
        Ok(None)
    }
}

/// Why the head of a response was not received.
fn failure_kind<T>(error: &TrySendError<T>, connection: &PooledConnection) -> FailureKind {
    if connection.framing_limit().is_exceeded() {
        log_endless(connection.server());
        FailureKind::Malformed
    } else if error.message().is_some() {
        FailureKind::ConnectFailed
    } else if error.error().is_parse() {
        FailureKind::Malformed
    } else {
        FailureKind::ConnectionLost
    }
}

fn log_endless(server: &ServerName) {
    LogEvent::ResponseEndless.log(&[("server", server)]);
}

/// Response of a backend server with its complete body.
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: ServerHeaders,
    pub(crate) body: Bytes,
}

/// Where a stream goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    /// ID of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Memory of the run that the request continues.
    pub(crate) moved_from: Option<MovedFrom>,
}

/// Counts an attempt as in flight at its server until dropped, however the attempt ends.
pub(crate) struct AttemptGuard {
    gateway: Rc<Gateway>,
    call_id: u64,
    server: ServerName,
    /// Hash of the service's name.
    service: u64,
}

impl AttemptGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>, call: &Call, choice: &ServerChoice) -> Self {
        let now = gateway.now();
        gateway.state.borrow_mut().note_sent(now, call, choice);
        let service = usage::service_hash(&call.service);
        gateway.usage.note_in_flight(service, true);
        Self {
            gateway: Rc::clone(gateway),
            call_id: call.id,
            server: choice.server.clone(),
            service,
        }
    }

    pub(crate) const fn server(&self) -> &ServerName {
        &self.server
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway.usage.note_in_flight(self.service, false);
        let mut state = self.gateway.state.borrow_mut();
        state.note_ended(self.call_id, &self.server);
    }
}

impl Gateway {
    /// Sends a request to a server and waits for the head of the response.
    pub(crate) async fn send_request(
        self: &Rc<Self>,
        call: &Call,
        request: &CallerRequest,
        choice: &ServerChoice,
        resume: &ResumePoint,
        deadline: Timestamp,
    ) -> Result<OpenResponse, AttemptError> {
        let failed = AttemptError::Failed;
        let server = &choice.server;
        let priority = call.prompt.as_ref().map(|_| {
            let state = self.state.borrow();
            let priority = call.priority();
            let routing = state.routing();
            routing.map_or(usize::from(priority), |routing| routing.rank_of(priority))
        });
        let entry = self.entry_for(server, resume);
        let Some(entry) = entry else {
            return Err(failed(FailureKind::NotSent));
        };
        // The server may have closed a reused connection before the request was written; a new
        // connection is opened in that case.
        let mut needs_new_connection = false;
        loop {
            let acquired = if needs_new_connection {
                self.connections.connect(server, entry.address).await
            } else {
                self.connections.acquire(server, entry.address).await
            };
            let mut connection = match acquired {
                Ok(connection) => connection,
                Err(error) => {
                    log::debug!("failed to connect to server {server}: {error}");
                    reach::note_failed(self, &entry);
                    return Err(failed(FailureKind::ConnectFailed));
                }
            };
            if connection.is_new() && !self.is_sound(&entry, &mut connection).await {
                reach::note_failed(self, &entry);
                return Err(failed(FailureKind::ConnectFailed));
            }
            let is_moved = resume.moved_from.is_some();
            if !is_moved && !self.state.borrow().may_send_to(self.now(), &entry) {
                return Err(failed(FailureKind::NotSent));
            }
            let time_left = call.time_left(self.now());
            if time_left.is_zero() {
                return Err(AttemptError::TimeUp);
            }
            let forward_head = ForwardHeaders {
                time_left,
                server,
                account: call.account.as_ref().map(|account| &*account.name),
                priority,
                copy_from: self.copy_source(choice),
                last_event: resume.last_event,
                moved_from: resume.moved_from.as_ref(),
            };
            let mut outgoing = Request::new(Full::new(request.body.clone()));
            *outgoing.method_mut() = request.method.clone();
            *outgoing.uri_mut() = request.target.clone();
            *outgoing.headers_mut() =
                http_headers::encode_forwarded_request(&request.headers, &forward_head);
            let is_new = connection.is_new();
            let Some(sender) = connection.sender() else {
                return Err(failed(FailureKind::ConnectFailed));
            };
            let response = sender.try_send_request(outgoing);
            connection.framing_limit().reset();
            let sent_at = self.now();
            let timeout = deadline.saturating_sub(sent_at);
            let result = verbenahinge_http::timeout(timeout, response).await;
            let response = match result {
                Err(_) => return Err(AttemptError::TimeUp),
                Ok(Ok(response)) => response,
                Ok(Err(mut error)) => {
                    if error.take_message().is_some() && !is_new {
                        needs_new_connection = true;
                        continue;
                    }
                    let kind = failure_kind(&error, &connection);
                    if is_new && kind != FailureKind::Malformed {
                        reach::note_failed(self, &entry);
                    }
                    return Err(failed(kind));
                }
            };
            if is_new {
                reach::note_answered(self, &entry.service);
            }
            connection.framing_limit().reset();
            let (parts, body) = response.into_parts();
            let head = http_headers::decode_server_response(parts.status.as_u16(), &parts.headers);
            self.record_head(&entry, sent_at, &head);
            check_request_id(request, &head, is_new)?;
            return Ok(OpenResponse {
                status: parts.status,
                headers: parts.headers,
                head,
                body,
                connection,
                version: entry.software_version(),
            });
        }
    }

    /// Entry of a server that may get a request; a run may also continue at an engine that leaves, which
    /// has its memory.
    fn entry_for(&self, server: &ServerName, resume: &ResumePoint) -> Option<ServerEntry> {
        let state = self.state.borrow();
        let registry = state.registry();
        if resume.moved_from.is_some() {
            registry.get(server).cloned()
        } else {
            registry.usable(server).cloned()
        }
    }

    /// Whether a new connection can carry a request; one that is reset after the request was written leaves
    /// open whether the request has run.
    async fn is_sound(&self, entry: &ServerEntry, connection: &mut PooledConnection) -> bool {
        let is_proven = self.reach.borrow().is_proven(self.now(), &entry.service);
        is_proven || connection.is_kept().await
    }

    /// Address of the engine that prefilled prompt parts are copied from, if it still takes requests.
    fn copy_source(&self, choice: &ServerChoice) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let entry = state.registry().usable(choice.copy_from.as_ref()?)?;
        let is_paused = state.pause_left(self.now(), entry).is_some();
        (!is_paused).then_some(entry.address)
    }

    /// Records what the head of a response says of the server; `entry` is the one by which the request
    /// was sent.
    fn record_head(self: &Rc<Self>, entry: &ServerEntry, sent_at: Timestamp, head: &ServerHeaders) {
        let now = self.now();
        let server = &entry.id;
        if head.state == ServerState::Draining {
            peers::note_leaving(self, &entry.start());
        }
        if let Some(wait) = head.retry_after {
            self.record_pause(&entry.start(), wait);
        }
        let mut state = self.state.borrow_mut();
        if state.note_brittle(now, &entry.service, sent_at, head.brittle) {
            let number = match head.brittle {
                BrittleState::Brittle(number) => number.to_string(),
                BrittleState::Sound | BrittleState::Untold => "none".to_owned(),
            };
            LogEvent::ServersBrittle.log(&[
                ("service", &entry.service),
                ("server", server),
                ("rejections_per_s", &number),
            ]);
        }
        state.note_progress(now, server);
        if let Some(load) = head.load {
            state.note_report(now, server, load);
        }
        // A rejection that names no limit does not tell whether the server still has one.
        if head.not_run && head.rate_limit_per_s.is_none() {
            return;
        }
        if state.note_limit(now, server, sent_at, head.rate_limit_per_s) {
            drop(state);
            peers::push_limit(self, server);
            let limit = head.rate_limit_per_s;
            let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            LogEvent::ServerLimited.log(&[("server", server), ("limit_per_s", &limit)]);
        }
    }

    fn record_pause(&self, start: &ServerStart, wait: Duration) {
        let begins = self.state.borrow_mut().note_pause(self.now(), start, wait);
        if begins {
            LogEvent::ServerPaused
                .log(&[("server", &start.server), ("wait_ms", &wait.as_millis())]);
        }
    }

    async fn read_body(&self, response: &mut OpenResponse) -> Result<Bytes, AttemptError> {
        let mut buffer = ResponseBuffer::new(self);
        while let Some(data) = response.next_data().await.map_err(AttemptError::Failed)? {
            if !buffer.push(&data) {
                return Err(AttemptError::Failed(FailureKind::Malformed));
            }
        }
        Ok(buffer.into_bytes())
    }

    /// Reads the body of a response and returns its connection to the pool.
    pub(crate) async fn buffer_response(
        &self,
        mut response: OpenResponse,
        deadline: Timestamp,
    ) -> Result<BufferedResponse, AttemptError> {
        let body = self.read_body(&mut response);
        let timeout = deadline.saturating_sub(self.now());
        let body = match verbenahinge_http::timeout(timeout, body).await {
            Ok(body) => body?,
            Err(_) => return Err(AttemptError::TimeUp),
        };
        response
            .connection
            .release(response.head.idle_timeout, response.head.closes_connection);
        Ok(BufferedResponse {
            status: response.status,
            headers: response.headers,
            head: response.head,
            body,
        })
    }
}

/// Rejects a response that does not belong to the request that was sent.
///
/// A rejection that names no request is believed on a new connection only: on one that carried other requests,
/// a faulty server may have sent an earlier rejection once more.
fn check_request_id(
    request: &CallerRequest,
    head: &ServerHeaders,
    is_new_connection: bool,
) -> Result<(), AttemptError> {
    let matches_request = match (&request.id, &head.request_id) {
        (Some(sent), Some(echoed)) => sent == echoed,
        (Some(_), None) => head.not_run && is_new_connection,
        (None, _) => true,
    };
    if matches_request {
        return Ok(());
    }
    log::debug!(
        "response carries request ID {:?}, but {:?} was sent",
        head.request_id,
        request.id
    );
    Err(AttemptError::Failed(FailureKind::Malformed))
}

/// Returns the time after which a request that has no complete response is tried at another server
/// too; `None` if it waits for this one alone.
pub(crate) fn response_timeout(call: &Call, can_retry: bool) -> Option<Duration> {
    /// Multiple of the latency target; most responses take a fraction of one target.
    const TARGET_FACTOR: u32 = 3;
    let is_idempotent = call.route.kind == RouteKind::Idempotent;
    (can_retry && is_idempotent).then(|| call.route.latency_target * TARGET_FACTOR)
}
