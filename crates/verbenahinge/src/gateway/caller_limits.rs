//! Limits on callers that are in force.
//!
//! Connections outlive configurations, so each reads the limits when it needs them. See
//! `docs/design/caller-connections.md`.

use std::time::Duration;

use actix_rt::time::Instant;
use tokio::sync::watch;
use verbenahinge_core::gateway::CallerLimits;

/// Limits that apply until a configuration sets others.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Limits of one configuration and the time since which this VM applies them.
#[derive(Clone, Copy, Debug)]
struct LimitsInForce {
    limits: CallerLimits,
    since: Instant,
}

/// Limits in force, and notifications of their changes.
pub(crate) struct LimitsFeed {
    in_force: watch::Sender<LimitsInForce>,
}

impl LimitsFeed {
    pub(crate) fn new() -> Self {
        let in_force = LimitsInForce {
            limits: DEFAULT_LIMITS,
            since: Instant::now(),
        };
        Self {
            in_force: watch::Sender::new(in_force),
        }
    }

    /// Brings the limits of a configuration into force; `None` stands for the default ones.
    pub(crate) fn set(&self, limits: Option<CallerLimits>) {
        let limits = limits.unwrap_or(DEFAULT_LIMITS);
        self.in_force.send_if_modified(|in_force| {
            let is_changed = in_force.limits != limits;
            if is_changed {
                let since = Instant::now();
                *in_force = LimitsInForce { limits, since };
            }
            is_changed
        });
    }

    pub(crate) fn limits(&self) -> CallerLimits {
        self.in_force.borrow().limits
    }

    /// Returns when a connection that has been idle since `start` ends.
    pub(crate) fn idle_deadline(&self, start: Instant, config_delay: Duration) -> Option<Instant> {
        let in_force = self.in_force.borrow();
        // The start of a head may have arrived before the last response was complete.
        let timeout = in_force
            .limits
            .idle_timeout
            .max(in_force.limits.head_timeout);
        in_force.deadline(start, timeout, config_delay)
    }

    /// Returns when a request head that has begun to arrive at `start` is given up.
    pub(crate) fn head_deadline(&self, start: Instant, config_delay: Duration) -> Option<Instant> {
        let in_force = self.in_force.borrow();
        in_force.deadline(start, in_force.limits.head_timeout, config_delay)
    }

    /// Returns a receiver that is notified when the limits change.
    pub(crate) fn changes(&self) -> watch::Receiver<impl Sized> {
        self.in_force.subscribe()
    }
}

impl LimitsInForce {
    /// Returns when a timeout ends; `None` if never.
    ///
    /// Callers may follow a newer configuration for up to `config_delay` before this VM has it, and an
    /// older one for as long after that.
    fn deadline(
        &self,
        start: Instant,
        timeout: Duration,
        config_delay: Duration,
    ) -> Option<Instant> {
        let end = start.checked_add(timeout)?;
        end.max(self.since).checked_add(config_delay)
    }
}
