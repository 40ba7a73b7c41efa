//! Final answers to requests that are not served.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::Verdict;

/// Reason for the refusal of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    IntoStaticStr,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The latency target cannot be met with the capacity available to the class.
    Overloaded,
    /// The client account has reached its limit on requests in flight.
    AccountLimit,
    /// No backend server of the pool is available.
    NoServer,
    /// The backend server failed, and a retry is not allowed or no longer useful.
    ServerFailed,
    /// The request is not run again, because backend servers crashed while running it.
    Quarantined,
    /// The same content was running during a crash, and it is now running elsewhere or is not
    /// repeatable.
    Suspect,
    /// An earlier request with the same idempotency key has been accepted.
    Duplicate,
    /// The table service did not confirm the claim of the request in time.
    StoreUnavailable,
    /// The VM is shutting down.
    Draining,
    /// The declaration in force has no such pool, class or client account.
    Unknown,
}

/// Final answer to a request that is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether a backend server may have started the request.
    pub verdict: Verdict,
    /// Time after which the caller should retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal for a request that has not run.
    #[must_use]
    pub const fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Sets the verdict.
    #[must_use]
    pub const fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
