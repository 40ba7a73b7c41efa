//! One request of a caller on its way through a gateway.

use std::sync::Arc;
use std::time::Duration;

use super::routing::combine_priorities;
use super::{Account, Priority, Prompt, Route, ServiceName};
use crate::{Fingerprint, Timestamp};

/// Identifies a call within one process.
pub type CallId = u64;

/// One request of a caller on its way through a gateway.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the call within this process.
    pub id: CallId,
    /// Route that the request takes; it stays the one at arrival.
    pub route: Arc<Route>,
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Client account of the caller, unless the route is public.
    pub account: Option<Arc<Account>>,
    /// Prompt, if the request goes to model engines.
    pub prompt: Option<Prompt>,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When the caller or the route stops waiting, whichever is first.
    pub deadline: Timestamp,
}

/// Part of a route's timeout under which the time that a caller grants says that it came back.
const RETURNED_BELOW: f64 = 0.97;

/// Shortest time for which callers wait for the first event of a stream.
const PATIENCE_MIN: Duration = Duration::from_secs(2);

/// Patience of callers in terms of the target of a route.
const PATIENCE_TARGETS: u32 = 4;

impl Call {
    /// Rank of the request; the client account's goes before the route's.
    #[must_use]
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref().and_then(|account| account.priority);
        combine_priorities(account, self.route.priority)
    }

    /// Time that is left at a moment.
    #[must_use]
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Says whether the caller has spent part of its time on an earlier try.
    ///
    /// Callers that come back after a refusal have less time than the route grants.
    #[must_use]
    pub fn has_returned(&self) -> bool {
        let granted = self.deadline.saturating_sub(self.arrived);
        granted < self.route.timeout.mul_f64(RETURNED_BELOW)
    }

    /// Longest wait for the first event after which the caller is still there.
    #[must_use]
    pub fn patience(&self, now: Timestamp) -> Duration {
        let usual = PATIENCE_MIN.max(self.route.latency_target * PATIENCE_TARGETS);
        let waited = now.saturating_sub(self.arrived);
        usual.saturating_sub(waited).min(self.time_left(now))
    }
}
