//! Relays a stream of events from a backend server to a caller.
//!
//! Only complete events are forwarded, so that an interrupted stream can resume at another server
//! after the last event that the caller has received.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use verbenahinge_core::gateway::ServerChoice;
use verbenahinge_core::{FailureKind, ServerName, Timestamp};
use verbenahinge_platform::http_headers;

use super::attempt::{AttemptError, AttemptGuard, BufferedResponse, OpenResponse};
use super::event_splitter::{EventSplitter, RawEvent};
use super::request_handler::{RequestHandler, RetryDecision};
use super::response::{CallerResponse, IncompleteResponse, ResponseBody};

/// Minimum time without data from a server after which a resumable stream moves to another server;
/// callers wait at least two seconds for the next event.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1100);

/// Stall timeout as a multiple of the route's target for the gap between events.
const STALL_GAP_FACTOR: u32 = 2;

/// Multiple of the server's expected wait that is added to the stall timeout until the response
/// starts.
const EXPECTED_WAIT_FACTOR: f64 = 2.0;

/// Stream of events received from one server.
struct ServerStream {
    response: Option<OpenResponse>,
    attempt_guard: AttemptGuard,
    splitter: EventSplitter,
    stall_timeout: Duration,
}

/// Next item of a [`ServerStream`].
enum StreamItem {
    Event(RawEvent),
    End,
}

impl ServerStream {
    /// Waits for the next complete event or the end of the stream.
    async fn next_item(&mut self, handler: &RequestHandler) -> Result<StreamItem, AttemptError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(StreamItem::Event(event));
            }
            let Some(response) = &mut self.response else {
                return Err(AttemptError::Failed(FailureKind::ConnectionLost));
            };
            let frame = read_frame(
                response,
                handler,
                self.attempt_guard.server(),
                self.stall_timeout,
            );
            let Some(frame) = frame.await? else {
                if self.splitter.has_incomplete_event() {
                    return Err(AttemptError::Failed(FailureKind::Malformed));
                }
                return Ok(StreamItem::End);
            };
            if !self.splitter.push(&frame) {
                return Err(AttemptError::Failed(FailureKind::Malformed));
            }
        }
    }

    /// Returns the connection to the pool after the end of the stream.
    fn release_connection(&mut self) {
        if let Some(response) = self.response.take() {
            let OpenResponse {
                connection, head, ..
            } = response;
            connection.release(head.idle_timeout, head.closes_connection);
        }
    }

    /// Closes the connection, so that the server stops working on the request.
    fn close(&mut self) {
        self.response = None;
        self.splitter = EventSplitter::default();
    }
}

async fn read_frame(
    response: &mut OpenResponse,
    handler: &RequestHandler,
    server: &ServerName,
    stall_timeout: Duration,
) -> Result<Option<Bytes>, AttemptError> {
    let gateway = &handler.gateway;
    let started_at = gateway.now();
    loop {
        let now = gateway.now();
        let deadline = handler.response_deadline();
        if now >= deadline {
            return Err(AttemptError::TimeUp);
        }
        let timeout = deadline.saturating_sub(now).min(stall_timeout);
        match verbenahinge_http::timeout(timeout, response.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                gateway
                    .state
                    .borrow_mut()
                    .note_progress(gateway.now(), server);
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(_))) => return Err(AttemptError::Failed(FailureKind::ConnectionLost)),
            Ok(None) => return Ok(None),
            Err(_) if is_silent(handler, server, started_at, stall_timeout) => {
                return Err(AttemptError::Failed(FailureKind::Silent));
            }
            Err(_) => {}
        }
    }
}

/// Returns whether a resumable stream should leave a server that has sent nothing, for any request,
/// for the stall timeout.
fn is_silent(
    handler: &RequestHandler,
    server: &ServerName,
    started_at: Timestamp,
    stall_timeout: Duration,
) -> bool {
    if !handler.call.route.resumable {
        return false;
    }
    let now = handler.gateway.now();
    let state = handler.gateway.state.borrow();
    let last_progress_at = state
        .last_progress(server)
        .unwrap_or(started_at)
        .max(started_at);
    now.saturating_sub(last_progress_at) >= stall_timeout
}

fn stall_timeout_for(handler: &RequestHandler) -> Duration {
    let gap = handler.call.route.gap_target.unwrap_or(MIN_STALL_TIMEOUT);
    MIN_STALL_TIMEOUT.max(gap * STALL_GAP_FACTOR)
}

/// Response of a server to a request for a stream.
enum ServerReply {
    Stream(Box<ServerStream>),
    Buffered(Box<BufferedResponse>),
}

/// Sends the request to a server and waits for the head of the response.
async fn open_stream(
    handler: &mut RequestHandler,
    choice: &ServerChoice,
    last_event: Option<u64>,
) -> Result<ServerReply, AttemptError> {
    let attempt_guard = handler.begin_attempt(choice);
    let handler = &*handler;
    let gateway = Rc::clone(&handler.gateway);
    let server = &choice.server;
    let started_at = gateway.now();
    let stall_timeout = stall_timeout_for(handler);
    let initial_stall_timeout = stall_timeout + choice.expected_wait.mul_f64(EXPECTED_WAIT_FACTOR);
    let deadline = handler.response_deadline();
    let pending_response = gateway.send_request(
        &handler.call,
        &handler.request,
        choice,
        last_event,
        deadline,
    );
    tokio::pin!(pending_response);
    let response = loop {
        match verbenahinge_http::timeout(initial_stall_timeout, &mut pending_response).await {
            Ok(response) => break response?,
            Err(_) if is_silent(handler, server, started_at, initial_stall_timeout) => {
                return Err(AttemptError::Failed(FailureKind::Silent));
            }
            Err(_) => {}
        }
    };
    if response.status.is_success() && response.head.has_signature && !response.head.not_run {
        return Ok(ServerReply::Stream(Box::new(ServerStream {
            response: Some(response),
            attempt_guard,
            splitter: EventSplitter::default(),
            stall_timeout,
        })));
    }
    gateway
        .buffer_response(response, deadline)
        .await
        .map(|response| ServerReply::Buffered(Box::new(response)))
}

/// Serves a request whose response is a stream of events.
pub(super) async fn serve(mut handler: RequestHandler) -> CallerResponse {
    loop {
        let choice = match handler.select_server().await {
            Ok(choice) => choice,
            Err(reason) => return handler.respond_unplaced(reason),
        };
        let server = choice.server.clone();
        let last_event = handler.request.last_event;
        let error = match open_stream(&mut handler, &choice, last_event).await {
            Ok(ServerReply::Stream(mut upstream)) => match upstream.next_item(&handler).await {
                Ok(StreamItem::Event(event)) => {
                    handler.record_first_event(&server);
                    return start_response(handler, upstream, Some(event));
                }
                Ok(StreamItem::End) => return start_response(handler, upstream, None),
                Err(error) => error,
            },
            Ok(ServerReply::Buffered(response)) => match handler.check_response(&server, &response)
            {
                None => return handler.forward_response(&server, *response),
                Some(kind) => match handler.handle_failure(&server, AttemptError::Failed(kind)) {
                    RetryDecision::Retry => continue,
                    RetryDecision::GiveUp(_) if kind == FailureKind::ServerError => {
                        return handler.forward_response(&server, *response);
                    }
                    RetryDecision::GiveUp(error) => return handler.respond_failed(error),
                },
            },
            Err(error) => error,
        };
        match handler.handle_failure(&server, error) {
            RetryDecision::Retry => {}
            RetryDecision::GiveUp(error) => return handler.respond_failed(error),
        }
    }
}

fn start_response(
    handler: RequestHandler,
    upstream: Box<ServerStream>,
    first_event: Option<RawEvent>,
) -> CallerResponse {
    let mut headers = HeaderMap::new();
    let mut status = StatusCode::OK;
    if let Some(response) = &upstream.response {
        headers = http_headers::without_hop_by_hop(&response.headers);
        status = response.status;
    }
    // A stream that resumes at another server may have a different length.
    headers.remove(CONTENT_LENGTH);
    let relay = Relay {
        handler,
        upstream,
        last_event: None,
        pending_event: first_event,
        has_failed: false,
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_chunk().await?;
        Some((item, relay))
    });
    let mut response = Response::new(ResponseBody::Stream(Box::pin(events)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Stream to the caller, read from one server after another.
struct Relay {
    handler: RequestHandler,
    upstream: Box<ServerStream>,
    last_event: Option<u64>,
    pending_event: Option<RawEvent>,
    has_failed: bool,
}

impl Relay {
    /// Returns the next bytes for the caller; `None` after the end of the stream or an error.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        if self.has_failed {
            return None;
        }
        loop {
            let item = match self.pending_event.take() {
                Some(event) => Ok(StreamItem::Event(event)),
                None => self.upstream.next_item(&self.handler).await,
            };
            let error = match item {
                Ok(StreamItem::Event(event)) if self.is_duplicate(&event) => continue,
                Ok(StreamItem::Event(event)) => return Some(Ok(self.merge_buffered_events(event))),
                Ok(StreamItem::End) => {
                    self.complete();
                    return None;
                }
                Err(error) => error,
            };
            if !self.resume(error).await {
                self.has_failed = true;
                let server = self.upstream.attempt_guard.server().clone();
                let detail = format!("{error:?} last_event={:?}", self.last_event);
                self.handler.record_outcome(
                    "broken_off",
                    Some(&server),
                    Some(StatusCode::OK),
                    &detail,
                );
                return Some(Err(IncompleteResponse));
            }
        }
    }

    /// Returns whether the caller has already received an event.
    fn is_duplicate(&self, event: &RawEvent) -> bool {
        event.id.is_some() && event.id <= self.last_event
    }

    /// Appends the events that are already buffered to the first one.
    fn merge_buffered_events(&mut self, first_event: RawEvent) -> Bytes {
        self.last_event = first_event.id.or(self.last_event);
        let mut chunk: Option<BytesMut> = None;
        while let Some(event) = self.upstream.splitter.next_event() {
            if self.is_duplicate(&event) {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            chunk
                .get_or_insert_with(|| BytesMut::from(&first_event.bytes[..]))
                .extend_from_slice(&event.bytes);
        }
        chunk.map_or(first_event.bytes, BytesMut::freeze)
    }

    fn complete(&mut self) {
        let server = self.upstream.attempt_guard.server().clone();
        {
            let mut state = self.handler.gateway.state.borrow_mut();
            let now = self.handler.gateway.now();
            state.note_answer(now, &server, true);
        }
        let fingerprint = self.handler.call.fingerprint;
        self.handler.gateway.record_completion(fingerprint);
        self.upstream.release_connection();
        self.handler
            .record_outcome("answered", Some(&server), Some(StatusCode::OK), &"");
    }

    /// Resumes at another server after the last event that the caller has received; returns whether
    /// that succeeded.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let mut server = self.upstream.attempt_guard.server().clone();
        let mut error = error;
        loop {
            // Close the old connection first, so that the previous server stops working on the
            // request.
            self.upstream.close();
            match self.handler.handle_failure(&server, error) {
                RetryDecision::Retry if self.handler.call.route.resumable => {}
                RetryDecision::Retry | RetryDecision::GiveUp(_) => return false,
            }
            let Ok(choice) = self.handler.select_server().await else {
                return false;
            };
            server = choice.server.clone();
            let last_event = self.last_event.or(self.handler.request.last_event);
            error = match open_stream(&mut self.handler, &choice, last_event).await {
                Ok(ServerReply::Stream(upstream)) => {
                    self.upstream = upstream;
                    return true;
                }
                Ok(ServerReply::Buffered(response)) => {
                    let kind = self.handler.check_response(&server, &response);
                    AttemptError::Failed(kind.unwrap_or(FailureKind::Malformed))
                }
                Err(error) => error,
            };
        }
    }
}
