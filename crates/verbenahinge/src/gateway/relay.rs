//! Relays a stream of events from a backend server to a caller.
//!
//! Only complete events are forwarded, so that an interrupted stream can resume at another server
//! after the last event that the caller has received. A silent server keeps its connection until
//! another one runs the request, since it may be sound and go on.

mod continuation;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use verbenahinge_core::gateway::ServerChoice;
use verbenahinge_core::{FailureKind, ServerName, Timestamp};
use verbenahinge_platform::http_headers;

use super::attempt::{AttemptError, BufferedResponse, OpenResponse, ResumePoint};
use super::attempt_race::{AttemptRace, RunStart, RunningAttempt, SignOfLife, SilenceTimeout};
use super::event_splitter::RawEvent;
use super::request_handler::RequestHandler;
use super::request_handler::attempts::{RetryDecision, Unserved};
use super::response::{CallerResponse, IncompleteResponse, ResponseBody};
use super::server_stream::{ServerStream, StreamItem};
use super::stream_moves::MovingStream;

/// Minimum time without data from a server after which a resumable stream is tried at another server
/// too; callers wait at least two seconds for the next event.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1100);

/// Stall timeout as a multiple of the route's target for the gap between events.
const STALL_GAP_FACTOR: u32 = 2;

/// Multiple of the server's expected wait that is added to the stall timeout until the response
/// starts.
const EXPECTED_WAIT_FACTOR: f64 = 2.0;

/// Returns the time without data after which a stream is tried at another server too; `None` if it
/// must not run twice.
fn stall_timeout(handler: &RequestHandler) -> Option<Duration> {
    let route = &handler.call.route;
    let gap = route.gap_target.unwrap_or(MIN_STALL_TIMEOUT);
    route
        .resumable
        .then(|| MIN_STALL_TIMEOUT.max(gap * STALL_GAP_FACTOR))
}

/// Response of a server to a request for a stream.
enum ServerReply {
    /// A stream and its first item.
    Stream(Box<ServerStream>, StreamItem),
    Buffered(Box<BufferedResponse>),
}

/// Sends the request to a server, to be answered from the event after `last_event`.
fn start_stream(
    handler: &mut RequestHandler,
    choice: &ServerChoice,
    last_event: Option<u64>,
) -> RunningAttempt<ServerReply> {
    let resume = ResumePoint {
        last_event,
        ..ResumePoint::default()
    };
    let attempt_guard = handler.begin_attempt(choice);
    let deadline = handler.response_deadline();
    let (gateway, call, request) = handler.shared_parts();
    let silence_timeout = stall_timeout(handler).map(|timeout| {
        let timeout = timeout + choice.expected_wait.mul_f64(EXPECTED_WAIT_FACTOR);
        SilenceTimeout::new(&gateway, timeout, SignOfLife::AnyData)
    });
    let server = choice.server.clone();
    let choice = choice.clone();
    let run_start = RunStart::default();
    let begun = run_start.clone();
    let attempt = RunningAttempt::new(server, silence_timeout, async move {
        let response = gateway
            .send_request(&call, &request, &choice, &resume, deadline)
            .await?;
        if !is_stream(&response) {
            let response = gateway.buffer_response(response, deadline).await?;
            return Ok(ServerReply::Buffered(Box::new(response)));
        }
        begun.record(gateway.now());
        let stream = ServerStream::new(gateway, response, attempt_guard, deadline);
        read_reply(Box::new(stream)).await
    });
    attempt.run_start(run_start)
}

fn is_stream(response: &OpenResponse) -> bool {
    response.status.is_success() && response.head.has_signature && !response.head.not_run
}

/// Waits for the next item of a stream until the deadline, however long the server is silent.
async fn read_reply(mut stream: Box<ServerStream>) -> Result<ServerReply, AttemptError> {
    let item = stream.next_item(None).await?;
    Ok(ServerReply::Stream(stream, item))
}

/// Returns why a reply counts as a failure; otherwise records what it shows.
fn check_reply(
    handler: &RequestHandler,
    server: &ServerName,
    reply: &ServerReply,
) -> Option<FailureKind> {
    match reply {
        ServerReply::Stream(_, StreamItem::Event(_)) => {
            handler.record_first_token(server);
            None
        }
        ServerReply::Stream(stream, StreamItem::End) => {
            let is_lost = handler.request.last_event.is_none() && stream.ends_with_connection();
            is_lost.then_some(FailureKind::ConnectionLost)
        }
        ServerReply::Buffered(response) => handler.check_response(server, response),
    }
}

/// Returns why a reply in the middle of a stream counts as a failure.
///
/// While a silent server may still go on, the end of the stream is believed from that server alone.
fn check_resumed(
    handler: &RequestHandler,
    server: &ServerName,
    reply: &ServerReply,
    silent_server: Option<&ServerName>,
) -> Option<FailureKind> {
    let kind = check_reply(handler, server, reply);
    let is_usable = match reply {
        ServerReply::Stream(_, StreamItem::Event(_)) => true,
        ServerReply::Stream(_, StreamItem::End) => {
            silent_server.is_none_or(|silent| silent == server)
        }
        ServerReply::Buffered(_) => false,
    };
    kind.or((!is_usable).then_some(FailureKind::Malformed))
}

/// Serves a request whose response is a stream of events.
pub(super) async fn serve(mut handler: RequestHandler) -> CallerResponse {
    if let Err(reason) = handler.find_stream_version().await {
        return handler.respond_unserved(Unserved::Unplaced(reason));
    }
    let last_event = handler.request.last_event;
    let result = handler
        .run_attempts(
            AttemptRace::new(),
            true,
            |handler, choice| start_stream(handler, choice, last_event),
            check_reply,
        )
        .await;
    match result {
        Ok((_, ServerReply::Stream(stream, first_item))) => {
            if let StreamItem::Event(_) = &first_item {
                handler.note_first_event();
                handler.note_stream_version(stream.version());
            }
            start_response(handler, stream, first_item)
        }
        Ok((server, ServerReply::Buffered(response))) => {
            handler.forward_response(&server, *response)
        }
        Err(unserved) => handler.relay_or_respond(buffered_only(unserved)).await,
    }
}

/// Drops the output of a failed attempt unless it is a buffered response.
fn buffered_only(unserved: Unserved<ServerReply>) -> Unserved<BufferedResponse> {
    match unserved {
        Unserved::Unplaced(reason) => Unserved::Unplaced(reason),
        Unserved::Failed(error, Some((server, ServerReply::Buffered(response)))) => {
            Unserved::Failed(error, Some((server, *response)))
        }
        Unserved::Failed(error, _) => Unserved::Failed(error, None),
    }
}

fn start_response(
    handler: RequestHandler,
    stream: Box<ServerStream>,
    first_item: StreamItem,
) -> CallerResponse {
    let status = stream.status();
    let mut headers = http_headers::without_hop_by_hop(stream.headers());
    // A stream that resumes at another server may have a different length.
    headers.remove(CONTENT_LENGTH);
    let arrived = handler.call.arrived;
    let moving = match &first_item {
        StreamItem::Event(event) => MovingStream::begin(&handler, stream.server(), event.id),
        StreamItem::End => None,
    };
    let relay = Relay {
        moving,
        server: stream.server().clone(),
        handler,
        upstream: Some(stream),
        last_event: None,
        last_event_at: arrived,
        pending_item: Some(first_item),
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
    /// Dropped first, so that copies of the run are freed.
    moving: Option<MovingStream>,
    handler: RequestHandler,
    /// Server of the latest item.
    server: ServerName,
    /// `None` after a failure or the end.
    upstream: Option<Box<ServerStream>>,
    last_event: Option<u64>,
    last_event_at: Timestamp,
    pending_item: Option<StreamItem>,
    has_failed: bool,
}

impl Relay {
    /// Returns the next bytes for the caller; `None` after the end of the stream or an error.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        if self.has_failed {
            return None;
        }
        loop {
            let item = match self.pending_item.take() {
                Some(item) => Ok(item),
                None => self.next_item().await,
            };
            match item {
                Ok(StreamItem::Event(event)) if self.is_duplicate(&event) => {}
                Ok(StreamItem::Event(event)) => return Some(Ok(self.merge_buffered_events(event))),
                Ok(StreamItem::End) => {
                    self.complete();
                    return None;
                }
                Err(error) => {
                    self.has_failed = true;
                    self.moving = None;
                    let detail = format!("{error:?} last_event={:?}", self.last_event);
                    self.handler.record_outcome(
                        "broken_off",
                        Some(&self.server),
                        Some(StatusCode::OK),
                        &detail,
                    );
                    return Some(Err(IncompleteResponse));
                }
            }
        }
    }

    /// Returns whether the caller has already received an event.
    fn is_duplicate(&self, event: &RawEvent) -> bool {
        event.id.is_some() && event.id <= self.last_event
    }

    /// Appends the events that are already buffered to the first one.
    fn merge_buffered_events(&mut self, first_event: RawEvent) -> Bytes {
        self.last_event_at = self.handler.gateway.now();
        self.last_event = first_event.id.or(self.last_event);
        let mut events = 1;
        let mut chunk: Option<BytesMut> = None;
        while let Some(event) = self.next_buffered_event() {
            if self.is_duplicate(&event) {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            events += 1;
            chunk
                .get_or_insert_with(|| BytesMut::from(&first_event.bytes[..]))
                .extend_from_slice(&event.bytes);
        }
        self.handler.note_events(&self.server, events);
        if let Some(moving) = &self.moving {
            moving.note_events(events);
        }
        chunk.map_or(first_event.bytes, BytesMut::freeze)
    }

    fn next_buffered_event(&mut self) -> Option<RawEvent> {
        self.upstream.as_mut()?.next_buffered_event()
    }

    fn complete(&mut self) {
        self.moving = None;
        {
            let mut state = self.handler.gateway.state.borrow_mut();
            let now = self.handler.gateway.now();
            state.note_answer(now, &self.server, true);
        }
        self.handler.note_stream_end(&self.server);
        if let Some(stream) = self.upstream.take() {
            stream.release_connection();
        }
        self.handler
            .record_outcome("answered", Some(&self.server), Some(StatusCode::OK), &"");
    }

    /// Waits for the next item of the server, or of another one if the server fails or is silent.
    async fn next_item(&mut self) -> Result<StreamItem, AttemptError> {
        let (stream, mut error) = loop {
            let Some(mut stream) = self.upstream.take() else {
                return Err(AttemptError::Failed(FailureKind::ConnectionLost));
            };
            match self.read(&mut stream).await {
                Ok(item) => {
                    self.upstream = Some(stream);
                    return Ok(item);
                }
                Err(error) if error == AttemptError::Failed(FailureKind::ConnectionLost) => {
                    // The connection is closed before the request continues elsewhere.
                    drop(stream);
                    match self.continue_moved(error).await {
                        Ok(None) => {}
                        Ok(Some(item)) => return Ok(item),
                        Err(error) => break (None, error),
                    }
                }
                Err(error) => break (Some(stream), error),
            }
        };
        self.moving = None;
        let mut race = AttemptRace::new();
        let is_silent = error == AttemptError::Failed(FailureKind::Silent);
        let needs_attempt = match stream.filter(|_| is_silent) {
            Some(stream) => {
                let server = self.server.clone();
                race.push(RunningAttempt::silent(server, read_reply(stream)));
                self.handler.handle_silence(&self.server)
            }
            // The server has stopped working on the request before another one begins.
            None => match self.handler.handle_failure(&self.server, error) {
                RetryDecision::Retry => true,
                RetryDecision::GiveUp(last) => {
                    error = last;
                    return Err(error);
                }
            },
        };
        self.resume(race, needs_attempt, error).await
    }

    /// Continues the stream after the last event that the caller has received, with the first server
    /// that has one.
    async fn resume(
        &mut self,
        race: AttemptRace<ServerReply>,
        needs_attempt: bool,
        error: AttemptError,
    ) -> Result<StreamItem, AttemptError> {
        let last_event = self.last_event.or(self.handler.request.last_event);
        let silent_server = (!race.is_empty()).then(|| self.server.clone());
        Rc::make_mut(&mut self.handler.call).waiting_since = self.last_event_at;
        let result = self
            .handler
            .run_attempts(
                race,
                needs_attempt,
                |handler, choice| start_stream(handler, choice, last_event),
                |handler, server, reply| {
                    check_resumed(handler, server, reply, silent_server.as_ref())
                },
            )
            .await;
        match result {
            Ok((server, ServerReply::Stream(stream, item))) => {
                if server != self.server {
                    self.handler.gaps.change_engine();
                }
                self.server = server;
                self.upstream = Some(stream);
                let last_event = match &item {
                    StreamItem::Event(event) => event.id,
                    StreamItem::End => None,
                };
                self.moving = MovingStream::begin(&self.handler, &self.server, last_event);
                Ok(item)
            }
            Ok((_, ServerReply::Buffered(_))) | Err(Unserved::Unplaced(_)) => Err(error),
            Err(Unserved::Failed(error, _)) => Err(error),
        }
    }
}
