//! Last order of one subject.

use std::time::Duration;

use super::{OrderOutcome, ServerCounts};
use crate::Timestamp;

/// Time until an order is repeated or tried again after a refusal that does not concern its zone.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time until servers that were unavailable are ordered again.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// Time beyond the boot time after which servers that have not registered are missing.
const BOOT_MARGIN: Duration = Duration::from_secs(2);

/// Time after which the registry shows whether a release without a response was carried out.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Last order of one subject, and what became of it.
#[derive(Clone, Debug, Default)]
pub(super) struct SubjectState {
    /// Number of servers of the last order that was accepted, or present before there was one.
    pub(super) desired: u32,
    /// Whether an order has been accepted.
    pub(super) was_ordered: bool,
    /// Number of an order without a response.
    pub(super) unanswered: Option<u32>,
    unanswered_at: Timestamp,
    /// Time of the last order of more servers that was accepted.
    accepted_at: Option<Timestamp>,
    /// Servers that leave at short notice.
    reclaimed: u32,
    /// Time since which fewer servers are registered than were ordered.
    lacking_since: Option<Timestamp>,
    retry_at: Timestamp,
    unavailable_until: Timestamp,
}

impl SubjectState {
    /// State of a subject whose last order may not have been sent.
    pub(super) fn restored(now: Timestamp, desired: u32, counts: ServerCounts) -> Self {
        Self {
            desired: desired.max(counts.present()),
            was_ordered: true,
            unanswered: Some(desired),
            unanswered_at: now,
            ..Self::default()
        }
    }

    /// Records what became of an order.
    pub(super) fn note(&mut self, now: Timestamp, desired: u32, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => {
                if desired >= self.desired {
                    self.accepted_at = Some(now);
                }
                self.desired = desired;
                self.was_ordered = true;
                self.unanswered = None;
            }
            OrderOutcome::Unavailable => {
                self.unanswered = None;
                self.unavailable_until = now + UNAVAILABLE_RETRY;
            }
            OrderOutcome::Delayed => self.retry_at = now + RETRY_DELAY,
            OrderOutcome::Unanswered => {
                self.unanswered = Some(desired);
                self.unanswered_at = now;
                self.retry_at = now + RETRY_DELAY;
            }
        }
    }

    /// Whether an order may be sent now.
    pub(super) fn may_order(&self, now: Timestamp) -> bool {
        self.retry_at <= now && self.unavailable_until <= now
    }

    /// Servers that are present or may still come or go.
    pub(super) fn most_present(&self, counts: ServerCounts) -> u32 {
        let unanswered = self.unanswered.unwrap_or(0);
        self.desired.max(counts.present()).max(unanswered)
    }

    /// Servers of a count that stay if an order without a response is carried out.
    pub(super) fn remaining(&self, count: u32) -> u32 {
        let unanswered = self.unanswered.unwrap_or(u32::MAX);
        count.min(self.desired).min(unanswered)
    }

    /// Servers that stay or are about to register.
    pub(super) fn expected(&self, now: Timestamp, counts: ServerCounts, boot: Duration) -> u32 {
        if self.is_booting(now, boot) {
            self.remaining(u32::MAX)
        } else {
            self.remaining(counts.present())
        }
    }

    /// Notes the registered servers.
    pub(super) fn observe(&mut self, now: Timestamp, counts: ServerCounts) {
        if counts.present() >= self.desired {
            self.lacking_since = None;
        } else if self.lacking_since.is_none() {
            self.lacking_since = Some(now);
        }
    }

    /// Whether ordered servers have not registered in time, or have gone for longer than a restart takes.
    pub(super) fn lacks_servers(&self, now: Timestamp, boot: Duration) -> bool {
        let lacking_since = self.lacking_since;
        self.unanswered.is_none()
            && !self.is_booting(now, boot)
            && lacking_since.is_some_and(|since| since + boot + BOOT_MARGIN <= now)
    }

    fn is_booting(&self, now: Timestamp, boot: Duration) -> bool {
        let accepted_at = self.accepted_at;
        accepted_at.is_some_and(|at| at + boot + BOOT_MARGIN > now)
    }

    /// Notes how many servers leave at short notice; returns whether there are more than before.
    ///
    /// Entries of servers that are gone may stay for a while, which is no other reclaim.
    pub(super) const fn note_leaving(&mut self, reclaimed: u32) -> bool {
        let is_more = reclaimed > self.reclaimed;
        self.reclaimed = reclaimed;
        is_more
    }

    /// Records that the servers of the subject are reclaimed: none is to be had for a while.
    pub(super) fn note_reclaimed(&mut self, until: Timestamp) {
        self.accepted_at = None;
        self.avoid_until(until);
    }

    /// Orders no servers before a time.
    pub(super) fn avoid_until(&mut self, until: Timestamp) {
        self.unavailable_until = self.unavailable_until.max(until);
    }

    /// Settles a release without a response by what the registry says of it.
    ///
    /// It is not repeated, since the load may have changed; the release is decided anew.
    pub(super) fn settle(&mut self, now: Timestamp, counts: ServerCounts) {
        if let Some(unanswered) = self.unanswered
            && unanswered < self.desired
            && self.unanswered_at + SETTLE_TIME <= now
        {
            self.desired = counts.present().clamp(unanswered, self.desired);
            self.unanswered = None;
        }
    }
}
