//! Attempts to serve a request: failures, silent servers and retries.

use std::rc::Rc;
use std::time::Duration;

use strum::IntoStaticStr;
use verbenahinge_core::gateway::{PlacementError, ServerChoice};
use verbenahinge_core::{FailureKind, ServerName, Verdict};

use super::RequestHandler;
use crate::event_log::LogEvent;
use crate::gateway::attempt::AttemptError;
use crate::gateway::attempt_race::{AttemptRace, EndedAttempt, RaceEvent, RunningAttempt};

/// Time between two looks for a server for a request whose own one is silent.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Failure of a server that has answered.
const SERVER_ERROR: AttemptError = AttemptError::Failed(FailureKind::ServerError);

/// Failed connections of one request after which another attempt still costs no retry.
const MAX_FREE_CONNECTS: u32 = 3;

/// How a request continues after a failed attempt.
pub(crate) enum RetryDecision {
    /// Try another server.
    Retry,
    /// Send the final response, unless another attempt is in flight.
    GiveUp(AttemptError),
}

/// Why a request is not tried at another server.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum NoRetry {
    /// The deadline has passed.
    Deadline,
    /// The route allows no further attempt.
    Attempts,
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The request may crash servers.
    Crashes,
    /// The retry budget is used up.
    Budget,
    /// Another attempt is in flight.
    Running,
    /// This VM is cut off from the servers, so that another one has to handle the request.
    CutOff,
}

/// Why no attempt produced a response to forward.
pub(crate) enum Unserved<T> {
    /// No server could be selected, and no attempt was in flight.
    Unplaced(PlacementError),
    /// The last attempt failed; holds its server and output if there was one.
    Failed(AttemptError, Option<(ServerName, T)>),
}

impl RequestHandler {
    /// Records a failed attempt and decides whether to retry.
    pub(crate) fn handle_failure(
        &mut self,
        server: &ServerName,
        error: AttemptError,
    ) -> RetryDecision {
        self.record_failure(server, error);
        let AttemptError::Failed(kind) = error else {
            return RetryDecision::GiveUp(error);
        };
        let is_cut_off = kind == FailureKind::ConnectFailed && self.is_cut_off();
        let retry = if is_cut_off && self.has_reached_no_server() {
            Err(NoRetry::CutOff)
        } else if self.may_try_free(kind) {
            Ok(())
        } else {
            self.try_spend_retry(kind)
        };
        self.log_failure(server, kind, retry);
        match retry {
            Ok(()) => RetryDecision::Retry,
            Err(_) => RetryDecision::GiveUp(error),
        }
    }

    /// Whether another attempt costs the servers nothing, as the failed one has not reached any.
    fn may_try_free(&self, kind: FailureKind) -> bool {
        let is_free = match kind {
            FailureKind::NotSent => true,
            FailureKind::ConnectFailed => self.connect_failures <= MAX_FREE_CONNECTS,
            _ => false,
        };
        is_free && self.response_deadline() > self.gateway.now()
    }

    fn log_failure(&self, server: &ServerName, kind: FailureKind, retry: Result<(), NoRetry>) {
        LogEvent::AttemptFailed.log(&[
            ("request_id", &self.log_id()),
            ("server", server),
            ("failure", &kind),
            ("attempt", &self.attempt_count),
            ("after_ms", &self.elapsed_ms()),
            ("retry", &retry.map_or_else(Into::<&str>::into, |()| "yes")),
        ]);
    }

    /// Records a failed attempt.
    fn record_failure(&mut self, server: &ServerName, error: AttemptError) {
        let AttemptError::Failed(kind) = error else {
            self.verdict = Verdict::MayHaveRun;
            return;
        };
        self.verdict = self.verdict.combine(kind.verdict());
        if matches!(kind, FailureKind::ConnectFailed | FailureKind::NotSent) {
            self.attempt_count = self.attempt_count.saturating_sub(1);
        }
        if kind == FailureKind::ConnectFailed {
            self.connect_failures += 1;
        }
        if kind != FailureKind::NotSent {
            self.note_server_failure(server, kind);
        }
        if kind == FailureKind::ConnectionLost {
            self.note_lost_connection(server);
        }
    }

    fn note_server_failure(&self, server: &ServerName, kind: FailureKind) {
        let ejected = {
            let mut state = self.gateway.state.borrow_mut();
            state.note_failure(self.gateway.now(), server, kind)
        };
        if ejected {
            LogEvent::ServerEjected.log(&[("server", server), ("failure", &kind)]);
        }
    }

    /// Records that the server of an attempt is silent, and returns whether to try another server
    /// beside it.
    pub(crate) fn handle_silence(&mut self, server: &ServerName) -> bool {
        let kind = FailureKind::Silent;
        self.verdict = self.verdict.combine(kind.verdict());
        let retry = self.try_spend_retry(kind);
        LogEvent::AttemptSilent.log(&[
            ("request_id", &self.log_id()),
            ("server", server),
            ("attempt", &self.attempt_count),
            ("after_ms", &self.elapsed_ms()),
            ("retry", &retry.map_or_else(Into::<&str>::into, |()| "yes")),
        ]);
        self.note_server_failure(server, kind);
        retry.is_ok()
    }

    /// Spends one retry of the budget, or returns why another attempt is not allowed.
    fn try_spend_retry(&self, kind: FailureKind) -> Result<(), NoRetry> {
        let now = self.gateway.now();
        let route = &self.call.route;
        if self.response_deadline() <= now {
            return Err(NoRetry::Deadline);
        }
        if self.attempt_count >= route.max_attempts {
            return Err(NoRetry::Attempts);
        }
        if self.verdict == Verdict::MayHaveRun && !route.is_repeatable() {
            return Err(NoRetry::NotRepeatable);
        }
        let mut state = self.gateway.state.borrow_mut();
        let guard = state.crash_guard();
        if !guard.allows_retry(&self.call.suspects(), kind) {
            return Err(NoRetry::Crashes);
        }
        if !state.spend_retry(now, &self.call) {
            return Err(NoRetry::Budget);
        }
        Ok(())
    }

    /// Runs attempts until one of them has an output that `check` accepts.
    ///
    /// An attempt whose server is silent stays in the race beside the next one.
    pub(crate) async fn run_attempts<T>(
        &mut self,
        mut race: AttemptRace<T>,
        mut needs_attempt: bool,
        start: impl Fn(&mut Self, &ServerChoice) -> RunningAttempt<T>,
        check: impl Fn(&Self, &ServerName, &T) -> Option<FailureKind>,
    ) -> Result<(ServerName, T), Unserved<T>> {
        let gateway = Rc::clone(&self.gateway);
        // Response of a server to forward if no other server is found.
        let mut last_response = None;
        let mut is_retry_spent = !self.tried_servers.is_empty();
        loop {
            if needs_attempt {
                match self.select_server().await {
                    Ok(choice) => race.push(start(self, &choice)),
                    Err(reason) => {
                        self.note_unplaced(reason, is_retry_spent);
                        if race.is_empty() {
                            return Err(last_response.map_or(Unserved::Unplaced(reason), |last| {
                                Unserved::Failed(SERVER_ERROR, Some(last))
                            }));
                        }
                        race.watch_again(&gateway, PLACEMENT_RETRY_INTERVAL);
                    }
                }
            }
            let ended = match race.next(&gateway).await {
                RaceEvent::Ended(ended) => ended,
                RaceEvent::Silent {
                    is_repeated: true, ..
                } => {
                    needs_attempt = self.try_spend_retry(FailureKind::Silent).is_ok();
                    is_retry_spent = needs_attempt;
                    continue;
                }
                RaceEvent::Silent { server, .. } => {
                    needs_attempt = self.handle_silence(&server);
                    is_retry_spent = needs_attempt;
                    continue;
                }
            };
            let EndedAttempt {
                server,
                result,
                was_silent,
            } = ended;
            let (error, output) = match result {
                Err(error) => (error, None),
                Ok(output) => match check(self, &server, &output) {
                    None => {
                        self.count_usage(&server);
                        if was_silent {
                            self.record_end_of_silence(&server);
                        }
                        return Ok((server, output));
                    }
                    Some(kind) => {
                        if kind == FailureKind::ServerError {
                            // The server has run the request and responded.
                            self.count_usage(&server);
                        }
                        (AttemptError::Failed(kind), Some((server.clone(), output)))
                    }
                },
            };
            if was_silent && !race.is_empty() && error != AttemptError::TimeUp {
                // The next attempt began when the server fell silent.
                self.record_failure(&server, error);
                if let AttemptError::Failed(kind) = error {
                    self.log_failure(&server, kind, Err(NoRetry::Running));
                }
                needs_attempt = false;
                continue;
            }
            match self.handle_failure(&server, error) {
                RetryDecision::Retry => {
                    needs_attempt = true;
                    is_retry_spent |= !matches!(
                        error,
                        AttemptError::Failed(FailureKind::NotSent | FailureKind::ConnectFailed)
                    );
                    last_response = output.filter(|_| error == SERVER_ERROR);
                }
                RetryDecision::GiveUp(AttemptError::Failed(_)) if !race.is_empty() => {
                    needs_attempt = false;
                }
                RetryDecision::GiveUp(error) => return Err(Unserved::Failed(error, output)),
            }
        }
    }

    fn record_end_of_silence(&self, server: &ServerName) {
        LogEvent::AttemptContinued.log(&[
            ("request_id", &self.log_id()),
            ("server", server),
            ("after_ms", &self.elapsed_ms()),
        ]);
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        state.note_answer(now, server, true);
    }

    /// Records that no server was found for a retry; the final response tells why there was none for a
    /// first attempt.
    fn note_unplaced(&self, reason: PlacementError, is_retry_spent: bool) {
        if self.tried_servers.is_empty() {
            return;
        }
        if is_retry_spent {
            self.gateway.state.borrow_mut().refund_retry(&self.call);
        }
        LogEvent::RetryUnplaced.log(&[
            ("request_id", &self.log_id()),
            ("reason", &format!("{reason:?}")),
            ("after_ms", &self.elapsed_ms()),
        ]);
    }
}
