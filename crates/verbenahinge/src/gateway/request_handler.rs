//! Handles one request: selects servers, retries failed attempts and sends the final response.

pub(crate) mod attempts;
mod crashes;
mod final_response;
mod stream_version;
mod usage_count;

use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{
    Call, EngineSearch, PlacementError, PlacementSurvey, ServerChoice, StreamGaps,
};
use verbenahinge_core::{FailureKind, ServerName, Timestamp, Verdict};

use self::attempts::Unserved;
use self::crashes::CrashWatch;
use self::usage_count::UsageCounter;
use super::Gateway;
use super::attempt::{
    AttemptGuard, BufferedResponse, CallerRequest, ResumePoint, response_timeout,
};
use super::attempt_race::{AttemptRace, RunningAttempt, SignOfLife, SilenceTimeout};
use super::response::CallerResponse;
use super::{peers, relay};

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
    pub(crate) call: Rc<Call>,
    pub(crate) request: Rc<CallerRequest>,
    tried_servers: Vec<ServerName>,
    /// Number of attempts, without those that failed to connect.
    attempt_count: u32,
    /// Number of attempts that failed to connect.
    connect_failures: u32,
    pub(crate) verdict: Verdict,
    first_event_at: Option<Timestamp>,
    /// Gaps between the events of the stream.
    pub(crate) gaps: StreamGaps,
    choice: Option<ServerChoice>,
    /// Why the last search found no server.
    survey: PlacementSurvey,
    is_outcome_recorded: bool,
    crash_watch: CrashWatch,
    usage_counter: UsageCounter,
    _guard: RequestGuard,
}

impl RequestHandler {
    pub(crate) fn new(guard: RequestGuard, call: Call, request: CallerRequest) -> Self {
        Self {
            gateway: Rc::clone(&guard.gateway),
            call: Rc::new(call),
            request: Rc::new(request),
            tried_servers: Vec::new(),
            attempt_count: 0,
            connect_failures: 0,
            verdict: Verdict::NotRun,
            first_event_at: None,
            gaps: StreamGaps::new(),
            choice: None,
            survey: PlacementSurvey::default(),
            is_outcome_recorded: false,
            crash_watch: CrashWatch::default(),
            usage_counter: UsageCounter::default(),
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
    /// load of the few servers that rank best for the prompt, and of more if these are not suitable.
    ///
    /// There, a request to a rate-limited server also needs a permit.
    pub(crate) async fn select_server(&mut self) -> Result<ServerChoice, PlacementError> {
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

    async fn choose_server(
        &mut self,
        excluded: &[ServerName],
    ) -> Result<ServerChoice, PlacementError> {
        let now = self.gateway.now();
        if self.call.prompt.is_some() && self.gateway.peers.is_large_fleet(now) {
            return self.search_engine(excluded).await;
        }
        if let Some(choice) = self.choose_sampled(excluded).await {
            return Ok(choice);
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        let choice = state.choose_server(now, &self.call, excluded);
        if choice.is_err() {
            self.survey = state.survey(now, &self.call, excluded, &[], &[]);
        }
        choice
    }

    /// Chooses among a few plain servers whose load is queried, where load is kept even; `None` elsewhere,
    /// or if none of them is suitable.
    async fn choose_sampled(&mut self, excluded: &[ServerName]) -> Option<ServerChoice> {
        let now = self.gateway.now();
        let sample = {
            let state = self.gateway.state.borrow();
            state.plain_sample(now, &self.call, excluded)
        };
        if sample.is_empty() {
            return None;
        }
        peers::query_load(&self.gateway, &sample, &self.call).await;
        let now = self.gateway.now();
        let state = self.gateway.state.borrow();
        state.choose_among(now, &self.call, &sample).ok()
    }

    /// Searches for an engine in a fleet whose VMs query the load of engines.
    async fn search_engine(
        &mut self,
        excluded: &[ServerName],
    ) -> Result<ServerChoice, PlacementError> {
        let mut search = EngineSearch::new(excluded.to_vec());
        let mut refusal = None;
        loop {
            let engines = {
                let now = self.gateway.now();
                let mut state = self.gateway.state.borrow_mut();
                search.next_engines(now, &mut state, &self.call)
            };
            if engines.is_empty() {
                break;
            }
            peers::query_load(&self.gateway, &engines, &self.call).await;
            let now = self.gateway.now();
            let state = self.gateway.state.borrow();
            match search.choose(now, &state, &self.call) {
                Err(reason) if EngineSearch::may_continue(reason) => refusal = Some(reason),
                // The queried engines have left or paused in the meantime.
                Err(_) => {
                    refusal = None;
                    break;
                }
                choice => return choice,
            }
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        self.survey = search.survey(now, &state, &self.call);
        if let Some(reason) = refusal {
            return Err(reason);
        }
        if search.queried().is_empty() {
            return Err(state.refuse_unplaced(now, &self.call));
        }
        state.choose_server(now, &self.call, excluded)
    }
    /// Records the start of an attempt at the chosen server.
    pub(crate) fn begin_attempt(&mut self, choice: &ServerChoice) -> AttemptGuard {
        self.attempt_count += 1;
        self.choice = Some(choice.clone());
        self.tried_servers.push(choice.server.clone());
        self.note_attempt(&choice.server);
        self.note_usage_attempt(choice);
        let attempt_guard = AttemptGuard::new(&self.gateway, &self.call, choice);
        peers::send_load(&self.gateway, &choice.server);
        attempt_guard
    }

    /// Records that the run of the request is about to continue at a server that has its memory, which is no
    /// further attempt. `None` if the request has no server yet.
    pub(crate) fn begin_continuation(
        &mut self,
        server: &ServerName,
    ) -> Option<(ServerChoice, AttemptGuard)> {
        let choice = ServerChoice {
            server: server.clone(),
            prefill_cost: 0.0,
            expected_wait: Duration::ZERO,
            copy_from: None,
            ..self.choice.clone()?
        };
        self.tried_servers.push(server.clone());
        self.note_attempt(server);
        let guard = AttemptGuard::new(&self.gateway, &self.call, &choice);
        peers::send_load(&self.gateway, server);
        Some((choice, guard))
    }

    /// Records that some events of the stream arrived together.
    pub(crate) fn note_events(&mut self, server: &str, events: u32) {
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        state.note_events(now, server, events, &mut self.gaps);
    }

    /// Records the time of the first event for the caller.
    pub(crate) fn note_first_event(&mut self) {
        let now = self.gateway.now();
        self.first_event_at.get_or_insert(now);
    }

    /// Records that a server has begun to answer.
    pub(crate) fn record_first_token(&self, server: &str) {
        let now = self.gateway.now();
        self.gateway
            .state
            .borrow_mut()
            .note_first_token(now, self.call.id, server);
        self.note_first_event_from(server);
    }

    /// Serves a request whose response is read completely before it is forwarded.
    pub(crate) async fn serve_buffered(mut self) -> CallerResponse {
        let result = self
            .run_attempts(
                AttemptRace::new(),
                true,
                Self::start_buffered,
                |handler, server, response| handler.check_response(server, response),
            )
            .await;
        match result {
            Ok((server, response)) => self.forward_response(&server, response),
            Err(unserved) => self.relay_or_respond(unserved).await,
        }
    }

    /// Hands a request that could not be served over to another VM, or sends its final response.
    pub(crate) async fn relay_or_respond(
        self,
        unserved: Unserved<BufferedResponse>,
    ) -> CallerResponse {
        match self.relay_if_cut_off().await {
            Ok(response) => response,
            Err(handler) => handler.respond_unserved(unserved),
        }
    }

    /// Whether this VM is cut off from the servers of the request.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.gateway.reach.borrow().is_cut_off(&self.call.service)
    }

    /// Whether a connection for the request could not be opened, or was not kept.
    pub(crate) const fn has_failed_to_connect(&self) -> bool {
        self.connect_failures > 0
    }

    /// Whether no server has received the request.
    pub(crate) fn has_reached_no_server(&self) -> bool {
        self.attempt_count == 0 && self.verdict == Verdict::NotRun
    }

    fn start_buffered(&mut self, choice: &ServerChoice) -> RunningAttempt<BufferedResponse> {
        let guard = self.begin_attempt(choice);
        let can_retry = self.attempt_count < self.call.route.max_attempts;
        let silence_timeout = response_timeout(&self.call, can_retry)
            .map(|timeout| SilenceTimeout::new(&self.gateway, timeout, SignOfLife::Response));
        let deadline = self.response_deadline();
        let (gateway, call, request) = self.shared_parts();
        let choice = choice.clone();
        let server = choice.server.clone();
        RunningAttempt::new(server, silence_timeout, async move {
            let _guard = guard;
            let open = gateway
                .send_request(&call, &request, &choice, &ResumePoint::default(), deadline)
                .await?;
            gateway.buffer_response(open, deadline).await
        })
    }

    /// What an attempt needs while the handler goes on.
    pub(crate) fn shared_parts(&self) -> (Rc<Gateway>, Rc<Call>, Rc<CallerRequest>) {
        (
            Rc::clone(&self.gateway),
            Rc::clone(&self.call),
            Rc::clone(&self.request),
        )
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

    pub(crate) fn elapsed_ms(&self) -> u128 {
        let now = self.gateway.now();
        now.saturating_sub(self.call.arrived).as_millis()
    }
}

impl Drop for RequestHandler {
    fn drop(&mut self) {
        self.record_cancellation();
        let outcome = if self.gateway.is_ending.get() {
            "cut_off"
        } else {
            "caller_gone"
        };
        self.record_outcome(outcome, None, None, &"");
    }
}
