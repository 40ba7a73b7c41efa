//! Keeps the requests that this VM sends to one server within its share of the server's limit.
//!
//! Load pattern: a server in need names how many requests per second it takes from all VMs together,
//! and callers are spread unevenly over the VMs. See `docs/design/limits.md`.

use std::time::Duration;

use crate::Timestamp;

/// Time that an allowance may build up over, if that is more than one request.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Longest time over which a VM outside the server's group counts its chance to send.
const MAX_CHANCE_TIME: Duration = Duration::from_secs(1);

/// Smallest limit that is kept, so that a request now and then tells when the limit ends.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// Limit that a server named, or that it had stopped naming one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    at: Timestamp,
    limit_per_s: Option<f64>,
}

/// Share of a server's limit that a VM may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) enum LimitShare {
    /// The VM belongs to the group that uses the server, and sends at a steady rate.
    Member {
        /// Requests per second.
        per_s: f64,
    },
    /// The VM sends a request now and then, so that it learns when the limit ends.
    Outsider {
        /// Requests per second, on average.
        per_s: f64,
        /// Number from 0 to 1 that decides whether this request is one of them.
        draw: f64,
    },
}

/// Limit of one server as known to this VM, and what it may still send.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct RateLimiter {
    /// What this VM has seen in answers of the server.
    own: Option<Observation>,
    /// Latest observation of another VM.
    heard: Option<Observation>,
    allowance: f64,
    refilled_at: Timestamp,
    is_open: bool,
    wait: Duration,
}

impl RateLimiter {
    /// Creates the state of a server that has named no limit.
    pub(in crate::gateway) const fn new() -> Self {
        Self {
            own: None,
            heard: None,
            allowance: 0.0,
            refilled_at: Duration::ZERO,
            is_open: true,
            wait: Duration::ZERO,
        }
    }

    fn latest(&self) -> Option<Observation> {
        match (self.own, self.heard) {
            (Some(own), Some(heard)) if heard.at > own.at => Some(heard),
            (Some(own), _) => Some(own),
            (None, heard) => heard,
        }
    }

    /// Requests per second that the server takes from all VMs together; `None` if any number.
    pub(in crate::gateway) fn limit_per_s(&self) -> Option<f64> {
        let limit_per_s = self.latest()?.limit_per_s?;
        Some(limit_per_s.max(MIN_LIMIT_PER_S))
    }

    /// Records an answer to a request that was sent at `sent_at`.
    ///
    /// An answer without a limit ends it only if its request was sent after the limit was last named,
    /// since answers may overtake each other.
    pub(in crate::gateway) fn note_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        limit_per_s: Option<f64>,
    ) {
        let ends = |latest: Observation| latest.limit_per_s.is_some() && latest.at < sent_at;
        if limit_per_s.is_some() || self.latest().is_some_and(ends) {
            self.own = Some(Observation {
                at: now,
                limit_per_s,
            });
        }
    }

    /// Records what another VM saw `age` ago.
    pub(in crate::gateway) fn note_heard(
        &mut self,
        now: Timestamp,
        limit_per_s: Option<f64>,
        age: Duration,
    ) {
        let at = now.saturating_sub(age);
        if self.heard.is_none_or(|heard| heard.at < at) {
            self.heard = Some(Observation { at, limit_per_s });
        }
    }

    /// What this VM has seen itself, and how long ago, for other VMs.
    pub(in crate::gateway) fn own_observation(
        &self,
        now: Timestamp,
    ) -> Option<(Option<f64>, Duration)> {
        let own = self.own?;
        Some((own.limit_per_s, now.saturating_sub(own.at)))
    }

    /// Updates the allowance before a decision.
    pub(in crate::gateway) fn refill(&mut self, now: Timestamp, share: LimitShare) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        match share {
            LimitShare::Member { per_s } => {
                let most = (per_s * BURST_TIME.as_secs_f64()).max(1.0);
                self.allowance = (self.allowance + per_s * elapsed.as_secs_f64()).min(most);
                self.is_open = self.allowance >= 1.0;
                let missing = (1.0 - self.allowance).max(0.0);
                self.wait = wait_for(missing, per_s);
            }
            LimitShare::Outsider { per_s, draw } => {
                let elapsed = elapsed.min(MAX_CHANCE_TIME);
                self.allowance = 0.0;
                self.is_open = draw < per_s * elapsed.as_secs_f64();
                self.wait = wait_for(1.0, per_s);
            }
        }
    }

    /// Ends the limit's effect on decisions.
    pub(in crate::gateway) const fn open(&mut self) {
        self.is_open = true;
        self.wait = Duration::ZERO;
    }

    /// Records a request that is sent to the server.
    pub(in crate::gateway) fn note_sent(&mut self) {
        if self.limit_per_s().is_some() {
            self.allowance = (self.allowance - 1.0).max(0.0);
            self.is_open = self.allowance >= 1.0;
        }
    }

    /// Whether the server may get a request now.
    pub(in crate::gateway) const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Time until the server may get a request again.
    pub(in crate::gateway) const fn wait(&self) -> Duration {
        self.wait
    }
}

fn wait_for(requests: f64, per_s: f64) -> Duration {
    Duration::try_from_secs_f64(requests / per_s).unwrap_or(Duration::MAX)
}
