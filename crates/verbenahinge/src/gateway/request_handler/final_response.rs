//! Final responses to a request, and the log event and metrics for its outcome.

use std::fmt::Display;
use std::time::Duration;

use http_body_util::Full;
use hyper::{Response, StatusCode};
use verbenahinge_core::gateway::{PlacementError, Prompt, RETRY_AFTER_MIN, retry_after};
use verbenahinge_core::{FailureKind, Verdict};
use verbenahinge_platform::http_headers;

use super::RequestHandler;
use super::attempts::Unserved;
use crate::event_log::LogEvent;
use crate::gateway::attempt::{AttemptError, BufferedResponse};
use crate::gateway::crash_check;
use crate::gateway::response::{CallerResponse, ResponseBody, error_response};

/// Delay used to compute `Retry-After` when no server is available.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);

impl RequestHandler {
    /// Forwards the buffered response of a server, without its hop-by-hop headers.
    pub(crate) fn forward_response(
        mut self,
        server: &str,
        buffered: BufferedResponse,
    ) -> CallerResponse {
        let mut response = Response::new(ResponseBody::Buffered(Full::new(buffered.body)));
        *response.status_mut() = buffered.status;
        *response.headers_mut() = http_headers::without_hop_by_hop(&buffered.headers);
        self.record_outcome("answered", Some(server), Some(buffered.status), &"");
        if buffered.status.is_success() {
            let sent_at = self.sent_at(server);
            crash_check::record_success(&self.gateway, sent_at, &self.call.suspects());
        }
        response
    }

    /// Responds to a request for which no server could be selected.
    fn respond_unplaced(self, reason: PlacementError) -> CallerResponse {
        let excess = match reason {
            PlacementError::NoServer
            | PlacementError::NoServerOfVersion
            | PlacementError::UnknownVersion => NO_SERVER_RETRY_DELAY,
            PlacementError::Limited(wait) => wait.min(self.call.time_left(self.gateway.now())),
            PlacementError::TooLate(wait) | PlacementError::Yields(wait) => {
                wait.saturating_sub(self.call.route.latency_target)
            }
            PlacementError::Full | PlacementError::CrashSuspect => RETRY_AFTER_MIN,
            PlacementError::Quarantined(time_left) => time_left,
        };
        let cause = format!("{reason:?}");
        if self.verdict == Verdict::MayHaveRun {
            return self.respond_with_error(StatusCode::BAD_GATEWAY, None, &cause);
        }
        let time_left = self.call.time_left(self.gateway.now());
        let delay = match reason {
            PlacementError::Quarantined(time_left) => time_left,
            _ => retry_after(excess, time_left, self.call.id),
        };
        self.respond_with_error(StatusCode::SERVICE_UNAVAILABLE, Some(delay), &cause)
    }

    /// Responds to a request that no server has answered; the failure of a server is forwarded as it
    /// is.
    pub(crate) fn respond_unserved(self, unserved: Unserved<BufferedResponse>) -> CallerResponse {
        match unserved {
            Unserved::Unplaced(reason) => self.respond_unplaced(reason),
            Unserved::Failed(
                AttemptError::Failed(FailureKind::ServerError),
                Some((server, response)),
            ) => self.forward_response(&server, response),
            Unserved::Failed(error, _) => self.respond_failed(error),
        }
    }

    /// Responds to a request whose attempts failed.
    pub(crate) fn respond_failed(self, error: AttemptError) -> CallerResponse {
        let cause = match error {
            AttemptError::Failed(kind) => kind.to_string(),
            AttemptError::TimeUp => "time_up".to_owned(),
        };
        if self.verdict == Verdict::NotRun {
            let now = self.gateway.now();
            let pause = self.gateway.state.borrow().service_pause(now, &self.call);
            let time_left = self.call.time_left(now);
            let excess = pause.unwrap_or(RETRY_AFTER_MIN).min(time_left);
            let delay = retry_after(excess, time_left, self.call.id);
            return self.respond_with_error(StatusCode::SERVICE_UNAVAILABLE, Some(delay), &cause);
        }
        let status = match error {
            AttemptError::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            AttemptError::Failed(_) => StatusCode::BAD_GATEWAY,
        };
        self.respond_with_error(status, None, &cause)
    }

    fn respond_with_error(
        mut self,
        status: StatusCode,
        delay: Option<Duration>,
        cause: &str,
    ) -> CallerResponse {
        let delay_ms = delay.map_or(0, |delay| delay.as_millis());
        let outcome = if self.verdict == Verdict::NotRun {
            "refused"
        } else {
            "failed"
        };
        let mut detail = format!("{cause} retry_after_ms={delay_ms}");
        if self.survey.servers > 0 {
            detail = format!("{detail} {}", self.survey);
        }
        self.record_outcome(outcome, None, Some(status), &detail);
        let message = format!("request {outcome}: {cause}");
        error_response(status, self.request.id.as_deref(), delay, &message)
    }

    /// Logs the outcome of the request and records it in the metrics, unless this was done before.
    pub(crate) fn record_outcome(
        &mut self,
        outcome: &str,
        server: Option<&str>,
        status: Option<StatusCode>,
        detail: &dyn Display,
    ) {
        if self.is_outcome_recorded {
            return;
        }
        self.is_outcome_recorded = true;
        let now = self.gateway.now();
        let total_time = now.saturating_sub(self.call.arrived);
        let time_to_first_event = self
            .first_event_at
            .map_or(total_time, |at| at.saturating_sub(self.call.arrived));
        let choice = self.choice.as_ref();
        let expected_wait = choice.map_or(Duration::ZERO, |choice| choice.expected_wait);
        let longest_gap = self.gaps.longest();
        let predicted_gap = choice.and_then(|choice| choice.expected_gap);
        let expected_gap = predicted_gap.unwrap_or_default();
        if let (Some(predicted_gap), false) = (predicted_gap, longest_gap.is_zero()) {
            let metrics = &self.gateway.metrics;
            metrics.record_gap_error(&self.call.route.name, predicted_gap, longest_gap);
        }
        let prefill_cost = choice.map_or(0.0, |choice| choice.prefill_cost);
        let copy_from = choice.and_then(|choice| choice.copy_from.as_deref());
        let prefix_key = self.call.prompt.as_ref().map_or(0, Prompt::prefix_key);
        let account = self
            .call
            .account
            .as_ref()
            .map_or("-", |account| &*account.name);
        LogEvent::RequestEnded.log(&[
            ("request_id", &self.log_id()),
            ("outcome", &outcome),
            ("status", &status.map_or(0, |status| status.as_u16())),
            ("route", &self.call.route.name),
            ("account", &account),
            ("server", &server.unwrap_or("-")),
            ("attempts", &self.attempt_count),
            ("verdict", &self.verdict),
            ("first_ms", &time_to_first_event.as_millis()),
            ("total_ms", &total_time.as_millis()),
            ("expected_ms", &expected_wait.as_millis()),
            ("gap_ms", &longest_gap.as_millis()),
            ("expected_gap_ms", &expected_gap.as_millis()),
            ("priority", &self.call.priority()),
            ("read_tokens", &format!("{prefill_cost:.0}")),
            ("copy_from", &copy_from.unwrap_or("-")),
            ("prompt", &format!("{prefix_key:x}")),
            ("config", &self.gateway.state.borrow().config_version()),
            ("detail", detail),
        ]);
        self.gateway.metrics.record_end(
            &self.call.route.name,
            account,
            outcome,
            time_to_first_event,
            total_time,
        );
    }
}
