//! Final answers of a request, and the line that tells how it ended.

use std::fmt::Display;
use std::time::Duration;

use http_body_util::Full;
use hyper::{Response, StatusCode};
use verbenahinge_core::Verdict;
use verbenahinge_core::gateway::{PlacementError, Prompt, RETRY_AFTER_MIN, retry_after};
use verbenahinge_platform::http_headers;

use super::Flight;
use crate::event_log::LogEvent;
use crate::gateway::answer::{AnswerBody, CallerAnswer, own_answer};
use crate::gateway::attempt::{AttemptError, WholeAnswer};

/// Time after which a caller is asked to come back when no server can be used.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(400);

impl Flight {
    /// Passes a whole answer on as it came.
    pub(crate) fn pass_on(mut self, server: &str, answer: WholeAnswer) -> CallerAnswer {
        let mut response = Response::new(AnswerBody::Whole(Full::new(answer.body)));
        *response.status_mut() = answer.status;
        *response.headers_mut() = http_headers::without_hop_by_hop(&answer.headers);
        self.finish("answered", Some(server), Some(answer.status), &"");
        if answer.status.is_success() {
            let mut state = self.gateway.state.borrow_mut();
            state.note_completed(self.call.fingerprint);
        }
        response
    }

    /// Answers a request that no server is chosen for.
    pub(crate) fn refuse(self, reason: PlacementError) -> CallerAnswer {
        let excess = match reason {
            PlacementError::NoServer => NO_SERVER_PAUSE,
            PlacementError::TooLate(wait) | PlacementError::Yields(wait) => {
                wait.saturating_sub(self.call.route.latency_target)
            }
            PlacementError::Full => RETRY_AFTER_MIN,
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
        let read_cost = choice.map_or(0.0, |choice| choice.prefill_cost);
        let copy_from = choice.and_then(|choice| choice.copy_from.as_deref());
        let prompt = self.call.prompt.as_ref().map_or(0, Prompt::prefix_key);
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
            .record_end(&self.call.route.name, account, outcome, first, total);
    }
}
