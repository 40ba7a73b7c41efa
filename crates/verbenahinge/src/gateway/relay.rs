//! Passes a stream of events on to a caller, event by event.
//!
//! Only whole events are passed on, so that a stream that breaks off can go on at another server
//! after the last event that the caller has.

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

use super::answer::{AnswerBody, BrokenOff, CallerAnswer};
use super::attempt::{AttemptError, InFlight, OpenAnswer, WholeAnswer};
use super::event_splitter::{EventSplitter, WireEvent};
use super::flight::{Flight, Next};

/// Silence of a server after which a stream that may be resumed goes on elsewhere; callers wait
/// two seconds at least for the next event.
const STALL_MIN: Duration = Duration::from_millis(1100);

/// Silence in terms of the longest pause that is on time.
const STALL_GAPS: u32 = 2;

/// Time for the first event in terms of the expected one, beyond which silence is suspicious.
const FIRST_EVENT_FACTOR: f64 = 2.0;

/// One stream that a server sends.
struct Source {
    answer: Option<OpenAnswer>,
    in_flight: InFlight,
    splitter: EventSplitter,
    stall: Duration,
}

enum Step {
    Event(WireEvent),
    End,
}

impl Source {
    /// Waits for the next whole event.
    async fn next_step(&mut self, flight: &Flight) -> Result<Step, AttemptError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Step::Event(event));
            }
            let Some(answer) = &mut self.answer else {
                return Err(AttemptError::Failed(FailureKind::ConnectionLost));
            };
            let frame = wait_frame(answer, flight, self.in_flight.server(), self.stall);
            let Some(frame) = frame.await? else {
                if self.splitter.has_partial() {
                    return Err(AttemptError::Failed(FailureKind::Malformed));
                }
                return Ok(Step::End);
            };
            if !self.splitter.push(&frame) {
                return Err(AttemptError::Failed(FailureKind::Malformed));
            }
        }
    }

    /// Gives the connection back after the whole stream.
    fn give_back(&mut self) {
        if let Some(answer) = self.answer.take() {
            let OpenAnswer { lease, head, .. } = answer;
            lease.give_back(head.idle_timeout, head.closes_connection);
        }
    }

    /// Closes the connection, so that the server stops its work.
    fn close(&mut self) {
        self.answer = None;
        self.splitter = EventSplitter::default();
    }
}

async fn wait_frame(
    answer: &mut OpenAnswer,
    flight: &Flight,
    server: &ServerName,
    stall: Duration,
) -> Result<Option<Bytes>, AttemptError> {
    let gateway = &flight.gateway;
    let began = gateway.now();
    loop {
        let now = gateway.now();
        let until = flight.until();
        if now >= until {
            return Err(AttemptError::TimeUp);
        }
        let left = until.saturating_sub(now).min(stall);
        match actix_rt::time::timeout(left, answer.body.frame()).await {
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
            Err(_) if is_silent(flight, server, began, stall) => {
                return Err(AttemptError::Failed(FailureKind::Silent));
            }
            Err(_) => {}
        }
    }
}

/// Says whether nothing at all has come from a server for too long.
fn is_silent(flight: &Flight, server: &ServerName, since: Timestamp, stall: Duration) -> bool {
    if !flight.call.route.resumable {
        return false;
    }
    let now = flight.gateway.now();
    let state = flight.gateway.state.borrow();
    let last = state.last_progress(server).unwrap_or(since).max(since);
    now.saturating_sub(last) >= stall
}

fn stall_of(flight: &Flight) -> Duration {
    let gap = flight.call.route.gap_target.unwrap_or(STALL_MIN);
    STALL_MIN.max(gap * STALL_GAPS)
}

/// What a server answered to a request for a stream.
enum Opened {
    Stream(Box<Source>),
    Other(WholeAnswer),
}

/// Sends the request to a server and waits for the head of the answer.
async fn open(
    flight: &mut Flight,
    choice: &ServerChoice,
    last_event: Option<u64>,
) -> Result<Opened, AttemptError> {
    let in_flight = flight.begin(choice);
    let flight = &*flight;
    let gateway = Rc::clone(&flight.gateway);
    let server = &choice.server;
    let began = gateway.now();
    let stall = stall_of(flight);
    let first_stall = stall + choice.expected_wait.mul_f64(FIRST_EVENT_FACTOR);
    let until = flight.until();
    let opening = gateway.open_answer(&flight.call, &flight.request, choice, last_event, until);
    tokio::pin!(opening);
    let answer = loop {
        match actix_rt::time::timeout(first_stall, &mut opening).await {
            Ok(answer) => break answer?,
            Err(_) if is_silent(flight, server, began, first_stall) => {
                return Err(AttemptError::Failed(FailureKind::Silent));
            }
            Err(_) => {}
        }
    };
    if answer.status.is_success() && answer.head.has_signature && !answer.head.not_run {
        return Ok(Opened::Stream(Box::new(Source {
            answer: Some(answer),
            in_flight,
            splitter: EventSplitter::default(),
            stall,
        })));
    }
    gateway.read_whole(answer, until).await.map(Opened::Other)
}

/// Serves a request whose answer is a stream of events.
pub(super) async fn serve(mut flight: Flight) -> CallerAnswer {
    loop {
        let choice = match flight.place().await {
            Ok(choice) => choice,
            Err(reason) => return flight.refuse(reason),
        };
        let server = choice.server.clone();
        let last_event = flight.request.last_event;
        let error = match open(&mut flight, &choice, last_event).await {
            Ok(Opened::Stream(mut source)) => match source.next_step(&flight).await {
                Ok(Step::Event(event)) => {
                    flight.note_first_event(&server);
                    return begin_answer(flight, source, Some(event));
                }
                Ok(Step::End) => return begin_answer(flight, source, None),
                Err(error) => error,
            },
            Ok(Opened::Other(answer)) => match flight.judge(&server, &answer) {
                None => return flight.pass_on(&server, answer),
                Some(kind) => match flight.after_failure(&server, AttemptError::Failed(kind)) {
                    Next::Retry => continue,
                    Next::GiveUp(_) if kind == FailureKind::ServerError => {
                        return flight.pass_on(&server, answer);
                    }
                    Next::GiveUp(error) => return flight.give_up(error),
                },
            },
            Err(error) => error,
        };
        match flight.after_failure(&server, error) {
            Next::Retry => {}
            Next::GiveUp(error) => return flight.give_up(error),
        }
    }
}

fn begin_answer(flight: Flight, source: Box<Source>, first: Option<WireEvent>) -> CallerAnswer {
    let mut headers = HeaderMap::new();
    let mut status = StatusCode::OK;
    if let Some(answer) = &source.answer {
        headers = http_headers::without_hop_by_hop(&answer.headers);
        status = answer.status;
    }
    // A stream that goes on elsewhere may have another length.
    headers.remove(CONTENT_LENGTH);
    let relay = Relay {
        flight,
        source,
        last_event: None,
        pending: first,
        is_broken: false,
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_chunk().await?;
        Some((item, relay))
    });
    let mut response = Response::new(AnswerBody::Stream(Box::pin(events)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A stream on its way to the caller.
struct Relay {
    flight: Flight,
    source: Box<Source>,
    last_event: Option<u64>,
    pending: Option<WireEvent>,
    is_broken: bool,
}

impl Relay {
    /// Returns the next bytes for the caller; `None` after the whole stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.is_broken {
            return None;
        }
        loop {
            let step = match self.pending.take() {
                Some(event) => Ok(Step::Event(event)),
                None => self.source.next_step(&self.flight).await,
            };
            let error = match step {
                Ok(Step::Event(event)) if self.is_repeated(&event) => continue,
                Ok(Step::Event(event)) => return Some(Ok(self.gather(event))),
                Ok(Step::End) => {
                    self.end();
                    return None;
                }
                Err(error) => error,
            };
            if !self.resume(error).await {
                self.is_broken = true;
                let server = self.source.in_flight.server().clone();
                let detail = format!("{error:?} last_event={:?}", self.last_event);
                self.flight
                    .finish("broken_off", Some(&server), Some(StatusCode::OK), &detail);
                return Some(Err(BrokenOff));
            }
        }
    }

    /// Says whether the caller already has an event.
    fn is_repeated(&self, event: &WireEvent) -> bool {
        event.id.is_some() && event.id <= self.last_event
    }

    /// Adds the events that have arrived as well.
    fn gather(&mut self, first: WireEvent) -> Bytes {
        self.last_event = first.id.or(self.last_event);
        let mut chunk: Option<BytesMut> = None;
        while let Some(event) = self.source.splitter.next_event() {
            if self.is_repeated(&event) {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            chunk
                .get_or_insert_with(|| BytesMut::from(&first.bytes[..]))
                .extend_from_slice(&event.bytes);
        }
        chunk.map_or(first.bytes, BytesMut::freeze)
    }

    fn end(&mut self) {
        let server = self.source.in_flight.server().clone();
        {
            let mut state = self.flight.gateway.state.borrow_mut();
            let now = self.flight.gateway.now();
            state.note_answer(now, &server, true);
            state.note_completed(self.flight.call.fingerprint);
        }
        self.source.give_back();
        self.flight
            .finish("answered", Some(&server), Some(StatusCode::OK), &"");
    }

    /// Goes on at another server after the last event that the caller has.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let mut server = self.source.in_flight.server().clone();
        let mut error = error;
        loop {
            // The old connection closes first, so that the server before stops its work.
            self.source.close();
            match self.flight.after_failure(&server, error) {
                Next::Retry if self.flight.call.route.resumable => {}
                Next::Retry | Next::GiveUp(_) => return false,
            }
            let Ok(choice) = self.flight.place().await else {
                return false;
            };
            server = choice.server.clone();
            let last_event = self.last_event.or(self.flight.request.last_event);
            error = match open(&mut self.flight, &choice, last_event).await {
                Ok(Opened::Stream(source)) => {
                    self.source = source;
                    return true;
                }
                Ok(Opened::Other(answer)) => {
                    let kind = self.flight.judge(&server, &answer);
                    AttemptError::Failed(kind.unwrap_or(FailureKind::Malformed))
                }
                Err(error) => error,
            };
        }
    }
}
