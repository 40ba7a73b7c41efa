//! A request of a caller while the gateway handles it.

use std::sync::Arc;
use std::time::Duration;

use super::routing::combine_priorities;
use super::{Account, Priority, Prompt, Route, ServerEntry, ServiceName, SoftwareVersion, Suspect};
use crate::{Fingerprint, Timestamp};

/// Identifies a call within one process.
pub type CallId = u64;

/// A request of a caller while the gateway handles it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the call within this process.
    pub id: CallId,
    /// Route of the request as of its arrival.
    pub route: Arc<Route>,
    /// Service that handles the request.
    pub service: ServiceName,
    /// Client account of the caller, unless the route is public.
    pub account: Option<Arc<Account>>,
    /// Prompt, if the service consists of inference engines.
    pub prompt: Option<Prompt>,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// Time at which the request arrived.
    pub arrived: Timestamp,
    /// Time since which the caller waits for the next event: the arrival, or the latest event that it
    /// received.
    pub waiting_since: Timestamp,
    /// Time at which the caller or the route stops waiting, whichever is first.
    pub deadline: Timestamp,
    /// Software version that began the stream which the request continues; `None` if any server may run
    /// the request.
    pub version: Option<SoftwareVersion>,
}

/// Share of a route's timeout; a caller that grants less time is assumed to be retrying.
const RETRY_TIMEOUT_SHARE: f64 = 0.97;

/// Minimum time that callers wait for the next event of a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Patience of callers as a multiple of the route's target.
const PATIENCE_TARGET_FACTOR: u32 = 4;

impl Call {
    /// Priority of the request; that of the client account ranks before that of the route.
    #[must_use]
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref().and_then(|account| account.priority);
        combine_priorities(account, self.route.priority)
    }

    /// What the request may crash a backend server with.
    #[must_use]
    pub fn suspects(&self) -> Vec<Suspect> {
        let mut suspects = self.waiting_suspects();
        suspects.extend(self.stream_suspect());
        suspects
    }

    /// What the request may crash a backend server with until its response begins there.
    #[must_use]
    pub fn waiting_suspects(&self) -> Vec<Suspect> {
        match &self.prompt {
            Some(prompt) => Suspect::of_prompt(self.fingerprint, prompt),
            None => vec![Suspect::request(self.fingerprint)],
        }
    }

    /// What a request with a prompt may crash a backend server with after its first event.
    #[must_use]
    pub fn stream_suspect(&self) -> Option<Suspect> {
        let has_prompt = self.prompt.is_some();
        has_prompt.then(|| Suspect::stream(self.fingerprint))
    }

    /// Returns whether a server has the software version that the request needs, if any.
    #[must_use]
    pub fn may_run_at(&self, entry: &ServerEntry) -> bool {
        self.version
            .is_none_or(|version| version == entry.software_version())
    }

    /// Time until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns whether the caller has probably spent part of its time on an earlier attempt.
    ///
    /// Callers that retry after a refusal grant less time than the route does.
    #[must_use]
    pub fn is_likely_retry(&self) -> bool {
        let granted = self.deadline.saturating_sub(self.arrived);
        granted < self.route.timeout.mul_f64(RETRY_TIMEOUT_SHARE)
    }

    /// Returns whether the caller has received part of the response.
    #[must_use]
    pub fn is_resumption(&self) -> bool {
        self.waiting_since > self.arrived
    }

    /// Longest wait for the next event, counted from `now`, before the caller is assumed to give up.
    #[must_use]
    pub fn patience(&self, now: Timestamp) -> Duration {
        let usual = MIN_PATIENCE.max(self.route.latency_target * PATIENCE_TARGET_FACTOR);
        let waited = now.saturating_sub(self.waiting_since);
        usual.saturating_sub(waited).min(self.time_left(now))
    }
}
