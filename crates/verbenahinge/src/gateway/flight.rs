//! The way of one request through the gateway, up to its final answer.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::{Response, StatusCode};
use verbenahinge_core::gateway::{Call, Choice, NoChoice, Prompt, RETRY_AFTER_MIN, retry_after};
use verbenahinge_core::{FailureKind, ServerName, Timestamp, Verdict};
use verbenahinge_platform::head;

use super::Gateway;
use super::answer::{AnswerBody, CallerAnswer, own_answer};
use super::attempt::{AttemptError, CallerRequest, InFlight, WholeAnswer, plain_patience};
use super::{peers, relay};
use crate::event_log::LogEvent;

/// Time after which a caller is asked to come back when no server can be used.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(400);

/// Servers whose load is asked for at first; more would each need the shared parts in memory.
const ASKED_SERVERS: usize = 2;

/// Times that the load of more servers is asked for.
const ASK_ROUNDS: usize = 1;

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
    choice: Option<Choice>,
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
    /// Where VMs are too many for each to know the load of all servers, it is asked for, first
    /// for the few that suit the prompt best, then for a few more.
    pub(crate) async fn place(&self) -> Result<Choice, NoChoice> {
        let now = self.gateway.now();
        if self.call.prompt.is_none() || !self.gateway.peers.is_large(now) {
            let mut state = self.gateway.state.borrow_mut();
            return state.place(now, &self.call, &self.tried);
        }
        let ranked = {
            let mut state = self.gateway.state.borrow_mut();
            state.rank(now, &self.call, &self.tried)
        };
        let mut result = Err(NoChoice::NoServer);
        for round in 1..=ASK_ROUNDS {
            let asked = &ranked[..ranked.len().min(round * ASKED_SERVERS)];
            peers::ask_load(&self.gateway, asked, &self.call).await;
            let state = self.gateway.state.borrow();
            result = state.place_among(self.gateway.now(), &self.call, asked);
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Takes note that an attempt begins.
    pub(crate) fn begin(&mut self, choice: &Choice) -> InFlight {
        self.sends += 1;
        self.choice = Some(choice.clone());
        self.tried.push(choice.server.clone());
        let in_flight = InFlight::new(&self.gateway, &self.call, choice);
        peers::tell_load(&self.gateway, &choice.server);
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
        self.verdict = self.verdict.and(kind.verdict());
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
                .check_crash(server.clone(), self.call.fingerprint);
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

    async fn attempt_plain(&self, choice: &Choice) -> Result<WholeAnswer, AttemptError> {
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
        if !answer.head.signed {
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

    /// Passes a whole answer on as it came.
    pub(crate) fn pass_on(mut self, server: &str, answer: WholeAnswer) -> CallerAnswer {
        let mut response = Response::new(AnswerBody::Whole(Full::new(answer.body)));
        *response.status_mut() = answer.status;
        *response.headers_mut() = head::end_to_end(&answer.headers);
        self.finish("answered", Some(server), Some(answer.status), &"");
        if answer.status.is_success() {
            let mut state = self.gateway.state.borrow_mut();
            state.note_completed(self.call.fingerprint);
        }
        response
    }

    /// Answers a request that no server is chosen for.
    pub(crate) fn refuse(self, reason: NoChoice) -> CallerAnswer {
        let excess = match reason {
            NoChoice::NoServer => NO_SERVER_PAUSE,
            NoChoice::TooLate(wait) | NoChoice::Yields(wait) => {
                wait.saturating_sub(self.call.route.target)
            }
            NoChoice::Full => RETRY_AFTER_MIN,
        };
        if self.verdict == Verdict::MayHaveRun {
            return self.own(StatusCode::BAD_GATEWAY, None, &format!("{reason:?}"));
        }
        let left = self.call.time_left(self.gateway.now());
        let delay = retry_after(excess, left, self.call.id);
        self.own(
            StatusCode::SERVICE_UNAVAILABLE,
            Some(delay),
            &format!("{reason:?}"),
        )
    }

    /// Answers a request whose attempts failed.
    pub(crate) fn give_up(self, error: AttemptError) -> CallerAnswer {
        let cause = match error {
            AttemptError::Failed(kind) => kind.to_string(),
            AttemptError::TimeUp => "time_up".to_owned(),
        };
        if self.verdict == Verdict::NotRun {
            let left = self.call.time_left(self.gateway.now());
            let delay = retry_after(RETRY_AFTER_MIN, left, self.call.id);
            return self.own(StatusCode::SERVICE_UNAVAILABLE, Some(delay), &cause);
        }
        let status = match error {
            AttemptError::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            AttemptError::Failed(_) => StatusCode::BAD_GATEWAY,
        };
        self.own(status, None, &cause)
    }

    fn own(mut self, status: StatusCode, delay: Option<Duration>, cause: &str) -> CallerAnswer {
        let delay_ms = delay.map_or(0, |delay| delay.as_millis());
        let outcome = if self.verdict == Verdict::NotRun {
            "refused"
        } else {
            "failed"
        };
        let detail = format!("{cause} retry_after_ms={delay_ms}");
        self.finish(outcome, None, Some(status), &detail);
        let message = format!("request {outcome}: {cause}");
        own_answer(status, self.request.id.as_deref(), delay, &message)
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

    /// Logs and counts the end of the request.
    pub(crate) fn finish(
        &mut self,
        outcome: &str,
        server: Option<&str>,
        status: Option<StatusCode>,
        detail: &dyn Display,
    ) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.gateway.now();
        let total = now.saturating_sub(self.call.arrived);
        let first = self
            .first_event_at
            .map_or(total, |at| at.saturating_sub(self.call.arrived));
        let choice = self.choice.as_ref();
        let expected_wait = choice.map_or(Duration::ZERO, |choice| choice.expected_wait);
        let read_cost = choice.map_or(0.0, |choice| choice.read_cost);
        let copy_from = choice.and_then(|choice| choice.copy_from.as_deref());
        let prompt = self.call.prompt.as_ref().map_or(0, Prompt::shared_key);
        let account = self
            .call
            .account
            .as_ref()
            .map_or("-", |account| &*account.name);
        LogEvent::RequestEnded.log(&[
            ("request_id", &self.id()),
            ("outcome", &outcome),
            ("status", &status.map_or(0, |status| status.as_u16())),
            ("route", &self.call.route.name),
            ("account", &account),
            ("server", &server.unwrap_or("-")),
            ("attempts", &self.sends),
            ("verdict", &self.verdict),
            ("first_ms", &first.as_millis()),
            ("total_ms", &total.as_millis()),
            ("expected_ms", &expected_wait.as_millis()),
            ("priority", &self.call.priority()),
            ("read_tokens", &format!("{read_cost:.0}")),
            ("copy_from", &copy_from.unwrap_or("-")),
            ("prompt", &format!("{prompt:x}")),
            ("config", &self.gateway.state.borrow().config_version()),
            ("detail", detail),
        ]);
        self.gateway
            .metrics
            .note_end(&self.call.route.name, account, outcome, first, total);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.finish("caller_gone", None, None, &"");
    }
}
