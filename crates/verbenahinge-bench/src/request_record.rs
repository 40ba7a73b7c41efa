//! Timing, token counts and result of each request of a run.

use std::time::Duration;

use verbenahinge_core::declaration::Class;
use verbenahinge_core::{RefusalReason, Timestamp, Verdict};

use crate::trace::Arrival;

/// Refusal as received by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalRecord {
    /// Time of the refusal.
    pub at: Timestamp,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run, as told to the caller.
    pub verdict: Verdict,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Reason why a request missed the targets of its class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetMiss {
    /// The request was refused.
    Refused,
    /// The first token was late or missing, or the answer did not end.
    Late,
    /// The time per token exceeded the target.
    Slow,
}

/// Request of a run and what happened to it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Arrival that sent the request.
    pub arrival: Arrival,
    /// Number of times that the caller had resubmitted the request.
    pub resubmissions: u32,
    /// Number of dispatches, without those that resumed a stream.
    pub dispatches: u32,
    /// Time at which the first token reached the caller.
    pub first_token: Option<Timestamp>,
    /// Time at which the answer ended.
    pub end: Option<Timestamp>,
    /// Number of output tokens that reached the caller.
    pub delivered_tokens: u32,
    /// Number of output tokens that engines generated.
    pub generated_tokens: u32,
    /// Number of prompt tokens that engines prefilled.
    pub prefilled_tokens: u32,
    /// Number of prompt tokens that the first prefill processed.
    pub first_prefill_tokens: Option<u32>,
    /// Refusals; more than one is a bug in the router.
    pub refusals: Vec<RefusalRecord>,
    /// Number of times that the answer ended; more than one is a bug in the router.
    pub end_count: u32,
    /// Whether the caller gave up or its VM failed.
    pub caller_gone: bool,
}

impl RequestRecord {
    pub(crate) const fn new(arrival: Arrival, resubmissions: u32) -> Self {
        Self {
            arrival,
            resubmissions,
            dispatches: 0,
            first_token: None,
            end: None,
            delivered_tokens: 0,
            generated_tokens: 0,
            prefilled_tokens: 0,
            first_prefill_tokens: None,
            refusals: Vec::new(),
            end_count: 0,
            caller_gone: false,
        }
    }

    /// Returns whether the answer met the targets of its class.
    #[must_use]
    pub fn meets_targets(&self, class: &Class) -> bool {
        self.target_miss(class).is_none()
    }

    /// Returns why the request missed the targets of its class; `None` if it met them.
    #[must_use]
    pub fn target_miss(&self, class: &Class) -> Option<TargetMiss> {
        if !self.refusals.is_empty() {
            return Some(TargetMiss::Refused);
        }
        let (Some(first), Some(end)) = (self.first_token, self.end) else {
            return Some(TargetMiss::Late);
        };
        if first > self.arrival.at + class.first_token() {
            return Some(TargetMiss::Late);
        }
        let intervals = self.delivered_tokens.saturating_sub(1);
        let slow = end.saturating_sub(first) > class.per_token() * intervals;
        slow.then_some(TargetMiss::Slow)
    }

    /// Number of prefilled and generated tokens that were of no use to the caller.
    ///
    /// All of them if the answer missed its targets, else those beyond the delivered tokens and the
    /// first prefill.
    #[must_use]
    pub fn wasted_tokens(&self, class: &Class) -> u32 {
        let computed = self.generated_tokens + self.prefilled_tokens;
        if !self.meets_targets(class) {
            return computed;
        }
        let useful = self.delivered_tokens + self.first_prefill_tokens.unwrap_or(0);
        computed.saturating_sub(useful)
    }

    /// Returns whether the request was answered, refused or abandoned by its caller.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.end.is_some() || !self.refusals.is_empty() || self.caller_gone
    }
}
