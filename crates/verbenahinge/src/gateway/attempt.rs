//! One attempt to have a request served by one backend server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use verbenahinge_core::gateway::{Call, RouteKind, ServerChoice};
use verbenahinge_core::{FailureKind, ServerName, Timestamp};
use verbenahinge_platform::http_headers::{self, ForwardHeaders, ServerHeaders};

use super::Gateway;
use super::connections::Lease;

/// Largest answer of a plain service that is held until it is whole.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// A request as the caller sent it, with its whole body.
pub(crate) struct CallerRequest {
    pub(crate) id: Option<String>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) last_event: Option<u64>,
}

/// Why an attempt gave no answer to pass on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// The attempt failed; the kind says whether it may have run.
    Failed(FailureKind),
    /// Nothing useful arrived before the caller's or the route's time was up.
    TimeUp,
}

/// Head of a backend server's answer, with the connection that brings its body.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: ServerHeaders,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
}

/// A whole answer of a backend server.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: ServerHeaders,
    pub(crate) body: Bytes,
}

/// Takes note that an attempt has left its server, however it ends.
pub(crate) struct InFlight {
    gateway: Rc<Gateway>,
    call: u64,
    server: ServerName,
}

impl InFlight {
    pub(crate) fn new(gateway: &Rc<Gateway>, call: &Call, choice: &ServerChoice) -> Self {
        let now = gateway.now();
        gateway.state.borrow_mut().note_sent(now, call, choice);
        Self {
            gateway: Rc::clone(gateway),
            call: call.id,
            server: choice.server.clone(),
        }
    }

    pub(crate) const fn server(&self) -> &ServerName {
        &self.server
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.note_ended(self.call, &self.server);
    }
}

impl Gateway {
    /// Sends a request to a server and waits for the head of the answer.
    pub(crate) async fn open_answer(
        self: &Rc<Self>,
        call: &Call,
        request: &CallerRequest,
        choice: &ServerChoice,
        last_event: Option<u64>,
        until: Timestamp,
    ) -> Result<OpenAnswer, AttemptError> {
        let failed = AttemptError::Failed;
        let server = &choice.server;
        let priority = call.prompt.as_ref().map(|_| {
            let state = self.state.borrow();
            let priority = call.priority();
            let routing = state.routing();
            routing.map_or(usize::from(priority), |routing| routing.rank_of(priority))
        });
        let (entry, copy_from) = {
            let state = self.state.borrow();
            let source = choice.copy_from.as_ref();
            let source = source.and_then(|source| state.registry().get(source));
            let entry = state.registry().get(server).cloned();
            (entry, source.map(|entry| entry.address))
        };
        let Some(entry) = entry else {
            return Err(failed(FailureKind::ConnectFailed));
        };
        // A connection that was closed meanwhile takes nothing; the next one is tried then.
        let mut must_open = false;
        loop {
            let leased = if must_open {
                self.connections.open(server, entry.address).await
            } else {
                self.connections.lease(server, entry.address).await
            };
            let mut lease = leased.map_err(|_| failed(FailureKind::ConnectFailed))?;
            let time_left = call.time_left(self.now());
            if time_left.is_zero() {
                return Err(AttemptError::TimeUp);
            }
            let forward = ForwardHeaders {
                time_left,
                server,
                account: call.account.as_ref().map(|account| &*account.name),
                priority,
                copy_from,
                last_event,
            };
            let mut outgoing = Request::new(Full::new(request.body.clone()));
            *outgoing.method_mut() = request.method.clone();
            *outgoing.uri_mut() = request.target.clone();
            *outgoing.headers_mut() =
                http_headers::encode_forwarded_request(&request.headers, &forward);
            let is_fresh = lease.is_fresh();
            let Some(sender) = lease.sender() else {
                return Err(failed(FailureKind::ConnectFailed));
            };
            let left = until.saturating_sub(self.now());
            let sent = actix_rt::time::timeout(left, sender.try_send_request(outgoing)).await;
            let answer = match sent {
                Err(_) => return Err(AttemptError::TimeUp),
                Ok(Ok(answer)) => answer,
                Ok(Err(mut error)) => {
                    if error.take_message().is_some() && !is_fresh {
                        must_open = true;
                        continue;
                    }
                    let kind = if error.message().is_some() {
                        FailureKind::ConnectFailed
                    } else if error.error().is_parse() {
                        FailureKind::Malformed
                    } else {
                        FailureKind::ConnectionLost
                    };
                    return Err(failed(kind));
                }
            };
            let (parts, body) = answer.into_parts();
            let head = http_headers::decode_server_response(parts.status.as_u16(), &parts.headers);
            self.note_head(server, &head);
            check_owner(request, &head)?;
            return Ok(OpenAnswer {
                status: parts.status,
                headers: parts.headers,
                head,
                body,
                lease,
            });
        }
    }

    fn note_head(&self, server: &ServerName, head: &ServerHeaders) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.note_progress(now, server);
        if let Some(load) = head.load {
            state.note_report(now, server, load);
        }
    }

    /// Reads the rest of an answer and gives its connection back.
    pub(crate) async fn read_whole(
        &self,
        answer: OpenAnswer,
        until: Timestamp,
    ) -> Result<WholeAnswer, AttemptError> {
        let body = Limited::new(answer.body, ANSWER_LIMIT_BYTES).collect();
        let left = until.saturating_sub(self.now());
        let body = match actix_rt::time::timeout(left, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(AttemptError::Failed(FailureKind::ConnectionLost)),
            Err(_) => return Err(AttemptError::TimeUp),
        };
        answer
            .lease
            .give_back(answer.head.idle_timeout, answer.head.closes_connection);
        Ok(WholeAnswer {
            status: answer.status,
            headers: answer.headers,
            head: answer.head,
            body,
        })
    }
}

/// Refuses answers that do not belong to the request that was sent.
fn check_owner(request: &CallerRequest, head: &ServerHeaders) -> Result<(), AttemptError> {
    let belongs = match (&request.id, &head.request_id) {
        (Some(sent), Some(echoed)) => sent == echoed,
        (Some(_), None) => head.not_run,
        (None, _) => true,
    };
    if belongs {
        return Ok(());
    }
    log::debug!(
        "an answer to {:?} came for {:?}",
        head.request_id,
        request.id
    );
    Err(AttemptError::Failed(FailureKind::Malformed))
}

/// Time after which a plain server that did not answer is given up for another one.
pub(crate) fn plain_patience(call: &Call, may_retry: bool) -> Duration {
    /// Several targets; most answers take a fraction of one.
    const TARGETS: u32 = 3;
    if may_retry && call.route.kind == RouteKind::Idempotent {
        call.route.latency_target * TARGETS
    } else {
        Duration::MAX
    }
}
