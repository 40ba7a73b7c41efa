//! Handles one request: selects servers, retries failed attempts and sends the final response.

mod crashes;
mod final_response;

use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{Call, PlacementError, ServerChoice};
use verbenahinge_core::{FailureKind, ServerName, Timestamp, Verdict};

use self::crashes::CrashWatch;
use super::Gateway;
use super::attempt::{
    AttemptError, AttemptGuard, BufferedResponse, CallerRequest, attempt_timeout,
};
use super::response::CallerResponse;
use super::{peers, relay};
use crate::event_log::LogEvent;

/// Maximum number of servers whose load is queried for one request; with more, each of them would
/// need the shared prompt parts in memory.
const MAX_QUERIED_SERVERS: usize = 2;

/// Maximum number of servers for which a request asks for a permit; each query takes a network round
/// trip.
const MAX_PERMIT_QUERIES: usize = 2;

/// Time reserved before the deadline for the final response to reach the caller.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Counts a request as in flight until its response is complete, so that a shutdown waits for it.
pub(crate) struct RequestGuard {
    gateway: Rc<Gateway>,
}

impl RequestGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        let count = &gateway.requests_in_flight;
        count.set(count.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let count = &self.gateway.requests_in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

/// A request, the attempts made for it so far and what is known about their outcome.
pub(crate) struct RequestHandler {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) call: Call,
    pub(crate) request: CallerRequest,
    tried_servers: Vec<ServerName>,
    /// Number of attempts, without those that failed to connect.
    attempt_count: u32,
    verdict: Verdict,
    first_event_at: Option<Timestamp>,
    choice: Option<ServerChoice>,
    is_outcome_recorded: bool,
    crash_watch: CrashWatch,
    _guard: RequestGuard,
}

/// How a request continues after a failed attempt.
pub(crate) enum RetryDecision {
    /// Try another server.
    Retry,
    /// Send the final response.
    GiveUp(AttemptError),
}

impl RequestHandler {
    pub(crate) fn new(guard: RequestGuard, call: Call, request: CallerRequest) -> Self {
        Self {
            gateway: Rc::clone(&guard.gateway),
            call,
            request,
            tried_servers: Vec::new(),
            attempt_count: 0,
            verdict: Verdict::NotRun,
            first_event_at: None,
            choice: None,
            is_outcome_recorded: false,
            crash_watch: CrashWatch::default(),
            _guard: guard,
        }
    }

    /// Returns the time by which the final response must be sent.
    pub(crate) fn response_deadline(&self) -> Timestamp {
        self.call.deadline.saturating_sub(RESPONSE_MARGIN)
    }

    /// Selects a server for the next attempt.
    ///
    /// In a deployment with too many VMs for each to know the load of every server, queries the
    /// load of the few servers that rank best for the prompt.
    ///
    /// There, a request to a rate-limited server also needs a permit.
    pub(crate) async fn select_server(&self) -> Result<ServerChoice, PlacementError> {
        self.check_suspects().await?;
        let mut excluded = self.tried_servers.clone();
        for _ in 0..MAX_PERMIT_QUERIES {
            let choice = self.choose_server(&excluded).await?;
            let needs_permit = {
                let state = self.gateway.state.borrow();
                state.needs_permit(&choice.server)
            };
            if !needs_permit || peers::request_permit(&self.gateway, &choice.server).await {
                return Ok(choice);
            }
            excluded.push(choice.server);
        }
        excluded.extend(self.gateway.state.borrow().limited_servers().cloned());
        match self.choose_server(&excluded).await {
            Err(PlacementError::NoServer) => {
                let now = self.gateway.now();
                let mut state = self.gateway.state.borrow_mut();
                Err(state.refuse_limited(now, &self.call))
            }
            choice => choice,
        }
    }

    async fn choose_server(&self, excluded: &[ServerName]) -> Result<ServerChoice, PlacementError> {
        let now = self.gateway.now();
        if self.call.prompt.is_none() || !self.gateway.peers.is_large_fleet(now) {
            let mut state = self.gateway.state.borrow_mut();
            return state.choose_server(now, &self.call, excluded);
        }
        let ranked = {
            let mut state = self.gateway.state.borrow_mut();
            state.rank_engines(now, &self.call, excluded, MAX_QUERIED_SERVERS)
        };
        peers::query_load(&self.gateway, &ranked, &self.call).await;
        let state = self.gateway.state.borrow();
        state.choose_among(self.gateway.now(), &self.call, &ranked)
    }

    /// Records the start of an attempt at the chosen server.
    pub(crate) fn begin_attempt(&mut self, choice: &ServerChoice) -> AttemptGuard {
        self.attempt_count += 1;
        self.choice = Some(choice.clone());
        self.tried_servers.push(choice.server.clone());
        self.note_attempt(&choice.server);
        let attempt_guard = AttemptGuard::new(&self.gateway, &self.call, choice);
        peers::send_load(&self.gateway, &choice.server);
        attempt_guard
    }

    pub(crate) fn record_first_event(&mut self, server: &str) {
        let now = self.gateway.now();
        self.first_event_at.get_or_insert(now);
        self.gateway
            .state
            .borrow_mut()
            .note_first_token(now, self.call.id, server);
        self.note_first_event_from(server);
    }

    /// Records a failed attempt and decides whether to retry.
    pub(crate) fn handle_failure(
        &mut self,
        server: &ServerName,
        error: AttemptError,
    ) -> RetryDecision {
        let now = self.gateway.now();
        let AttemptError::Failed(kind) = error else {
            self.verdict = Verdict::MayHaveRun;
            return RetryDecision::GiveUp(error);
        };
        self.verdict = self.verdict.combine(kind.verdict());
        if kind == FailureKind::ConnectFailed {
            self.attempt_count = self.attempt_count.saturating_sub(1);
        }
        let ejected = {
            let mut state = self.gateway.state.borrow_mut();
            state.note_failure(now, server, kind)
        };
        LogEvent::AttemptFailed.log(&[
            ("request_id", &self.log_id()),
            ("server", server),
            ("failure", &kind),
            ("attempt", &self.attempt_count),
            ("after_ms", &self.elapsed_ms()),
        ]);
        if ejected {
            LogEvent::ServerEjected.log(&[("server", server), ("failure", &kind)]);
        }
        if kind == FailureKind::ConnectionLost {
            self.note_lost_connection(server);
        }
        let allows_retry = {
            let state = self.gateway.state.borrow();
            let guard = state.crash_guard();
            guard.allows_retry(&self.call.suspects(), kind)
        };
        if allows_retry && self.try_spend_retry() && self.response_deadline() > now {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp(error)
        }
    }

    /// Returns whether the route and the retry budget allow another attempt, and if so spends one
    /// retry of the budget.
    fn try_spend_retry(&self) -> bool {
        if self.attempt_count >= self.call.route.max_attempts {
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

    /// Serves a request whose response is read completely before it is forwarded.
    pub(crate) async fn serve_buffered(mut self) -> CallerResponse {
        loop {
            let choice = match self.select_server().await {
                Ok(choice) => choice,
                Err(reason) => return self.respond_unplaced(reason),
            };
            let server = choice.server.clone();
            let attempt_guard = self.begin_attempt(&choice);
            let result = self.attempt_buffered(&choice).await;
            drop(attempt_guard);
            let error = match result {
                Ok(response) => match self.check_response(&server, &response) {
                    None => return self.forward_response(&server, response),
                    Some(kind) => match self.handle_failure(&server, AttemptError::Failed(kind)) {
                        RetryDecision::Retry => continue,
                        RetryDecision::GiveUp(_) if kind == FailureKind::ServerError => {
                            return self.forward_response(&server, response);
                        }
                        RetryDecision::GiveUp(error) => error,
                    },
                },
                Err(error) => match self.handle_failure(&server, error) {
                    RetryDecision::Retry => continue,
                    RetryDecision::GiveUp(error) => error,
                },
            };
            return self.respond_failed(error);
        }
    }

    async fn attempt_buffered(
        &self,
        choice: &ServerChoice,
    ) -> Result<BufferedResponse, AttemptError> {
        let now = self.gateway.now();
        let can_retry = self.attempt_count < self.call.route.max_attempts;
        let attempt_deadline = now.saturating_add(attempt_timeout(&self.call, can_retry));
        let deadline = self.response_deadline().min(attempt_deadline);
        let gateway = &self.gateway;
        let attempt = async {
            let open = gateway
                .send_request(&self.call, &self.request, choice, None, deadline)
                .await?;
            gateway.buffer_response(open, deadline).await
        };
        let result = attempt.await;
        match result {
            Err(AttemptError::TimeUp) if deadline < self.response_deadline() => {
                Err(AttemptError::Failed(FailureKind::Silent))
            }
            other => other,
        }
    }

    /// Returns why a response counts as a failure; otherwise records a success of the server.
    pub(crate) fn check_response(
        &self,
        server: &str,
        response: &BufferedResponse,
    ) -> Option<FailureKind> {
        let status = response.status.as_u16();
        if response.head.not_run {
            return Some(FailureKind::Rejected);
        }
        if !response.head.has_signature {
            return Some(FailureKind::Malformed);
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            // Forwarding this status would tell the caller that the request did not run.
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

    /// Serves a request whose response is a stream of events.
    pub(crate) async fn serve_stream(self) -> CallerResponse {
        relay::serve(self).await
    }

    /// Returns the request ID for log events, or `-` if the caller sent none.
    pub(crate) fn log_id(&self) -> String {
        self.request.id.clone().unwrap_or_else(|| "-".to_owned())
    }

    fn elapsed_ms(&self) -> u128 {
        let now = self.gateway.now();
        now.saturating_sub(self.call.arrived).as_millis()
    }
}

impl Drop for RequestHandler {
    fn drop(&mut self) {
        self.record_cancellation();
        self.record_outcome("caller_gone", None, None, &"");
    }
}
