//! The way of one request through the gateway, up to its final answer.

mod ending;

use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{Call, PlacementError, ServerChoice};
use verbenahinge_core::{FailureKind, ServerName, Timestamp, Verdict};

use super::Gateway;
use super::answer::CallerAnswer;
use super::attempt::{AttemptError, CallerRequest, InFlight, WholeAnswer, plain_patience};
use super::{peers, relay};
use crate::event_log::LogEvent;

/// Servers whose load is asked for; more would each need the shared parts in memory.
const ASKED_SERVERS: usize = 2;

/// Time kept back from the deadline, in which the final answer reaches the caller.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Counts a request for as long as its answer is not complete, so that a shutdown waits for it.
pub(crate) struct InService {
    gateway: Rc<Gateway>,
}

impl InService {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        let count = &gateway.requests_in_flight;
        count.set(count.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for InService {
    fn drop(&mut self) {
        let count = &self.gateway.requests_in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

/// One request on its way.
pub(crate) struct Flight {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) call: Call,
    pub(crate) request: CallerRequest,
    tried: Vec<ServerName>,
    sends: u32,
    verdict: Verdict,
    first_event_at: Option<Timestamp>,
    choice: Option<ServerChoice>,
    is_finished: bool,
    _in_service: InService,
}

/// What follows from a failed attempt.
pub(crate) enum Next {
    /// Another server is tried.
    Retry,
    /// The request gets its final answer.
    GiveUp(AttemptError),
}

impl Flight {
    pub(crate) fn new(in_service: InService, call: Call, request: CallerRequest) -> Self {
        Self {
            gateway: Rc::clone(&in_service.gateway),
            call,
            request,
            tried: Vec::new(),
            sends: 0,
            verdict: Verdict::NotRun,
            first_event_at: None,
            choice: None,
            is_finished: false,
            _in_service: in_service,
        }
    }

    /// Moment by which the final answer has to be on its way.
    pub(crate) fn until(&self) -> Timestamp {
        self.call.deadline.saturating_sub(ANSWER_MARGIN)
    }

    /// Picks a server for the next attempt.
    ///
    /// Where VMs are too many for each to know the load of all servers, it is asked for, for the
    /// few that suit the prompt best.
    pub(crate) async fn place(&self) -> Result<ServerChoice, PlacementError> {
        let now = self.gateway.now();
        if self.call.prompt.is_none() || !self.gateway.peers.is_large_fleet(now) {
            let mut state = self.gateway.state.borrow_mut();
            return state.choose_server(now, &self.call, &self.tried);
        }
        let ranked = {
            let mut state = self.gateway.state.borrow_mut();
            state.rank_engines(now, &self.call, &self.tried, ASKED_SERVERS)
        };
        peers::query_load(&self.gateway, &ranked, &self.call).await;
        let state = self.gateway.state.borrow();
        state.choose_among(self.gateway.now(), &self.call, &ranked)
    }

    /// Takes note that an attempt begins.
    pub(crate) fn begin(&mut self, choice: &ServerChoice) -> InFlight {
        self.sends += 1;
        self.choice = Some(choice.clone());
        self.tried.push(choice.server.clone());
        let in_flight = InFlight::new(&self.gateway, &self.call, choice);
        peers::send_load(&self.gateway, &choice.server);
        in_flight
    }

    pub(crate) fn note_first_event(&mut self, server: &str) {
        let now = self.gateway.now();
        self.first_event_at.get_or_insert(now);
        let mut state = self.gateway.state.borrow_mut();
        state.note_first_token(now, self.call.id, server);
    }

    /// Decides what follows from a failed attempt.
    pub(crate) fn after_failure(&mut self, server: &ServerName, error: AttemptError) -> Next {
        let now = self.gateway.now();
        let AttemptError::Failed(kind) = error else {
            self.verdict = Verdict::MayHaveRun;
            return Next::GiveUp(error);
        };
        self.verdict = self.verdict.combine(kind.verdict());
        if kind == FailureKind::ConnectFailed {
            self.sends = self.sends.saturating_sub(1);
        }
        let ejected = {
            let mut state = self.gateway.state.borrow_mut();
            state.note_failure(now, server, kind)
        };
        LogEvent::AttemptFailed.log(&[
            ("request_id", &self.id()),
            ("server", server),
            ("failure", &kind),
            ("attempt", &self.sends),
            ("after_ms", &self.elapsed_ms()),
        ]);
        if ejected {
            LogEvent::ServerEjected.log(&[("server", server), ("failure", &kind)]);
        }
        if kind == FailureKind::ConnectionLost {
            self.gateway
                .detect_crash(server.clone(), self.call.fingerprint);
        }
        if self.may_retry() && self.until() > now {
            Next::Retry
        } else {
            Next::GiveUp(error)
        }
    }

    /// Says whether rules and budget allow another attempt.
    fn may_retry(&self) -> bool {
        if self.sends >= self.call.route.max_attempts {
            return false;
        }
        let is_allowed = match self.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.call.route.is_repeatable(),
        };
        if !is_allowed {
            return false;
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        state.spend_retry(now, &self.call)
    }

    /// Serves a request of a plain service.
    pub(crate) async fn serve_plain(mut self) -> CallerAnswer {
        loop {
            let choice = match self.place().await {
                Ok(choice) => choice,
                Err(reason) => return self.refuse(reason),
            };
            let server = choice.server.clone();
            let in_flight = self.begin(&choice);
            let result = self.attempt_plain(&choice).await;
            drop(in_flight);
            let error = match result {
                Ok(answer) => match self.judge(&server, &answer) {
                    None => return self.pass_on(&server, answer),
                    Some(kind) => match self.after_failure(&server, AttemptError::Failed(kind)) {
                        Next::Retry => continue,
                        Next::GiveUp(_) if kind == FailureKind::ServerError => {
                            return self.pass_on(&server, answer);
                        }
                        Next::GiveUp(error) => error,
                    },
                },
                Err(error) => match self.after_failure(&server, error) {
                    Next::Retry => continue,
                    Next::GiveUp(error) => error,
                },
            };
            return self.give_up(error);
        }
    }

    async fn attempt_plain(&self, choice: &ServerChoice) -> Result<WholeAnswer, AttemptError> {
        let now = self.gateway.now();
        let may_retry = self.sends < self.call.route.max_attempts;
        let patience = now.saturating_add(plain_patience(&self.call, may_retry));
        let until = self.until().min(patience);
        let gateway = &self.gateway;
        let attempt = async {
            let open = gateway
                .open_answer(&self.call, &self.request, choice, None, until)
                .await?;
            gateway.read_whole(open, until).await
        };
        let result = attempt.await;
        match result {
            Err(AttemptError::TimeUp) if until < self.until() => {
                Err(AttemptError::Failed(FailureKind::Silent))
            }
            other => other,
        }
    }

    /// Says how a whole answer failed, if it did.
    pub(crate) fn judge(&self, server: &str, answer: &WholeAnswer) -> Option<FailureKind> {
        let status = answer.status.as_u16();
        if answer.head.not_run {
            return Some(FailureKind::Rejected);
        }
        if !answer.head.has_signature {
            return Some(FailureKind::Malformed);
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            // Passed on, the status would promise that the request did not run.
            return Some(FailureKind::Malformed);
        }
        let now = self.gateway.now();
        if status >= 500 {
            return Some(FailureKind::ServerError);
        }
        self.gateway
            .state
            .borrow_mut()
            .note_answer(now, server, true);
        None
    }

    /// Serves a request whose answer is a stream of events.
    pub(crate) async fn serve_stream(self) -> CallerAnswer {
        relay::serve(self).await
    }

    pub(crate) fn id(&self) -> String {
        self.request.id.clone().unwrap_or_else(|| "-".to_owned())
    }

    fn elapsed_ms(&self) -> u128 {
        let now = self.gateway.now();
        now.saturating_sub(self.call.arrived).as_millis()
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.finish("caller_gone", None, None, &"");
    }
}
