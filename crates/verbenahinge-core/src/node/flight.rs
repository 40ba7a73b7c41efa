//! State of one request between its arrival and its final answer.

use std::time::Duration;

use crate::admission::Ticket;
use crate::{Attempt, Request, ServerName, Tier, Timestamp, Verdict};

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for the table service to confirm a claim.
    Claiming,
    /// Waits for a slot.
    Queued { ticket: Ticket },
    /// Waits for a backend server on which no other suspect runs.
    Isolated,
    /// Runs on a backend server.
    Running(Running),
}

/// The current attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Running {
    pub(super) server: ServerName,
    pub(super) attempt: Attempt,
    pub(super) started: Timestamp,
    pub(super) last_progress: Timestamp,
    pub(super) has_frames: bool,
    pub(super) resuming: bool,
    pub(super) suspect: bool,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) request: Request,
    pub(super) tier: Tier,
    pub(super) weight: u32,
    pub(super) first_token: Duration,
    pub(super) per_token: Duration,
    pub(super) deadline: Timestamp,
    /// From when on a request of a lower tier may be stopped for this one.
    pub(super) pressing_at: Timestamp,
    pub(super) phase: Phase,
    pub(super) attempts: Attempt,
    pub(super) tried: Vec<ServerName>,
    pub(super) verdict: Verdict,
    pub(super) next_seq: u64,
    pub(super) delivered_tokens: u32,
    pub(super) charged: u64,
    /// Attempt that made the stream which is looked for.
    pub(super) stream: Attempt,
    /// Times that it was looked for.
    pub(super) resumes: u32,
    pub(super) claimed: bool,
    pub(super) suspect_claim: bool,
}

impl Flight {
    /// From when on any request of a lower tier may be stopped for this one.
    pub(super) fn last_call_at(&self) -> Timestamp {
        let left = self.deadline.saturating_sub(self.pressing_at);
        self.pressing_at + left / 2
    }

    /// Says whether the caller has received a part of the answer.
    pub(super) const fn has_begun(&self) -> bool {
        self.next_seq > 0
    }

    /// The current attempt, if this is it.
    pub(super) fn running(&mut self, attempt: Attempt) -> Option<&mut Running> {
        match &mut self.phase {
            Phase::Running(running) if running.attempt == attempt => Some(running),
            _ => None,
        }
    }
}
