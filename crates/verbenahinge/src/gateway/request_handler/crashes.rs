//! What crashes of servers mean for a request that waits for its first event.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hyper::StatusCode;
use verbenahinge_core::gateway::{CrashRefusal, LostRun, PlacementError, RouteKind};
use verbenahinge_core::{CrashId, FailureKind, ServerName, Timestamp};

use super::RequestHandler;
use crate::gateway::crash_check::{self, CrashCheck};
use crate::gateway::response::{CallerResponse, error_response};

/// Servers that a request was sent to, and whether it is given up because of its suspects.
#[derive(Default)]
pub(super) struct CrashWatch {
    /// Crash that would end the run of each server that the request was sent to, as of that time.
    crash_ids: BTreeMap<ServerName, CrashId>,
    /// Time of the last attempt at each server.
    sent_at: BTreeMap<ServerName, Timestamp>,
    /// Servers from which an event has arrived.
    first_events: RefCell<BTreeSet<ServerName>>,
    pending_check: RefCell<Option<CrashCheck>>,
    cancellation: Rc<Cancellation>,
}

/// Shared with the task that gives the request up.
#[derive(Default)]
struct Cancellation {
    has_attempt: Cell<bool>,
    refusal: Cell<Option<CrashRefusal>>,
}

impl Cancellation {
    /// Final status: an engine may have begun to run what was sent to it.
    fn status(&self) -> StatusCode {
        if self.has_attempt.get() {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

impl RequestHandler {
    /// Serves the request; gives a prompt up as soon as one of its suspects is refused, unless its
    /// response has begun.
    ///
    /// Closing the connection before the first event saves the engine.
    pub(crate) async fn serve(self) -> CallerResponse {
        let gateway = Rc::clone(&self.gateway);
        let suspects = self.call.suspects();
        let request_id = self.request.id.clone();
        let cancellation = Rc::clone(&self.crash_watch.cancellation);
        let has_prompt = self.call.prompt.is_some();
        let mut served = Box::pin(async move {
            let handler = match self.relay_if_cut_off().await {
                Ok(response) => return response,
                Err(handler) => handler,
            };
            match handler.call.route.kind {
                RouteKind::Stream => handler.serve_stream().await,
                RouteKind::Idempotent | RouteKind::AtMostOnce => handler.serve_buffered().await,
            }
        });
        let refusal = tokio::select! {
            biased;
            response = &mut served => return response,
            refusal = crash_check::until_refused(&gateway, &suspects), if has_prompt => refusal,
        };
        cancellation.refusal.set(Some(refusal));
        // Dropping the handler closes its connections and records the outcome.
        drop(served);
        let status = cancellation.status();
        let delay = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(refusal.time_left);
        let message = crash_check::refusal_message(&refusal);
        error_response(status, request_id.as_deref(), delay, message)
    }

    /// Records the outcome of a request that was given up because of its suspects.
    pub(super) fn record_cancellation(&mut self) {
        let cancellation = Rc::clone(&self.crash_watch.cancellation);
        let Some(refusal) = cancellation.refusal.get() else {
            return;
        };
        let status = cancellation.status();
        let outcome = if status == StatusCode::SERVICE_UNAVAILABLE {
            "refused"
        } else {
            "failed"
        };
        let detail = format!("{:?}", PlacementError::Quarantined(refusal.time_left));
        self.record_outcome(outcome, None, Some(status), &detail);
    }

    /// Notes that the request is about to be handed over to another VM, which may run it.
    pub(crate) fn note_relayed(&self) {
        self.crash_watch.cancellation.has_attempt.set(true);
    }

    /// Notes that the request is about to be sent to a server.
    pub(super) fn note_attempt(&mut self, server: &ServerName) {
        let crash = self.gateway.state.borrow().crash_id(server);
        self.crash_watch.crash_ids.insert(server.clone(), crash);
        let now = self.gateway.now();
        self.crash_watch.sent_at.insert(server.clone(), now);
        self.crash_watch.cancellation.has_attempt.set(true);
    }

    /// Time at which the request was last sent to a server.
    pub(super) fn sent_at(&self, server: &str) -> Timestamp {
        let sent_at = self.crash_watch.sent_at.get(server);
        sent_at.copied().unwrap_or_default()
    }

    /// Notes an event from a server; the first one clears the suspects of a prompt.
    pub(super) fn note_first_event_from(&self, server: &str) {
        let mut first_events = self.crash_watch.first_events.borrow_mut();
        if first_events.insert(server.into()) && self.call.prompt.is_some() {
            let sent_at = self.sent_at(server);
            crash_check::record_success(&self.gateway, sent_at, &self.call.waiting_suspects());
        }
    }

    /// Notes that a stream is complete, which clears the suspects that its first event did not clear.
    pub(crate) fn note_stream_end(&self, server: &str) {
        let suspects = match self.call.stream_suspect() {
            Some(stream) => vec![stream],
            None => self.call.suspects(),
        };
        crash_check::record_success(&self.gateway, self.sent_at(server), &suspects);
    }

    /// Has a server checked whose connection broke.
    ///
    /// A part of a prompt crashes an engine before the first event; after it, only the whole request may.
    pub(super) fn note_lost_connection(&self, server: &ServerName) {
        let Some(&crash) = self.crash_watch.crash_ids.get(server) else {
            return;
        };
        let has_begun = self.crash_watch.first_events.borrow().contains(server);
        let (suspects, is_close) = match self.call.stream_suspect() {
            Some(stream) if has_begun => {
                let state = self.gateway.state.borrow();
                let is_suspected = state.crash_guard().is_suspected(stream.fingerprint);
                (vec![stream], is_suspected)
            }
            Some(_) => (self.call.waiting_suspects(), true),
            None => (self.call.waiting_suspects(), false),
        };
        let run = LostRun::new(self.sent_at(server), suspects);
        let check = crash_check::check_crash(&self.gateway, server, crash, run);
        if is_close {
            self.crash_watch.pending_check.replace(Some(check));
        }
    }

    /// Waits for the check of a server that the request was lost with, and refuses the request if it
    /// may be to blame.
    pub(super) async fn check_suspects(&self) -> Result<(), PlacementError> {
        let check = self.crash_watch.pending_check.take();
        let was_lost = check.is_some();
        if let Some(check) = check {
            check.wait().await;
        }
        let suspects = self.call.suspects();
        let now = self.gateway.now();
        let state = self.gateway.state.borrow();
        if let Some(refusal) = state.crash_refusal(now, &suspects) {
            return Err(PlacementError::Quarantined(refusal.time_left));
        }
        let guard = state.crash_guard();
        if was_lost && !guard.allows_retry(&suspects, FailureKind::ConnectionLost) {
            return Err(PlacementError::CrashSuspect);
        }
        Ok(())
    }
}
