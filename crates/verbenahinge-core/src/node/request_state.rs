//! State of a request from its arrival to its final answer.

use std::time::Duration;

use crate::admission::Ticket;
use crate::{Attempt, Request, ServerName, Tier, Timestamp, Verdict};

/// Processing phase of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for the table service to confirm a claim, or is between two other phases.
    Claiming,
    /// Waits in the queue of its pool for a slot.
    Queued { ticket: Ticket },
    /// A suspect that waits for a backend server on which this VM runs no other suspect.
    AwaitingIsolation,
    /// Has been dispatched to a backend server.
    Running(RunningAttempt),
}

/// An attempt that has been dispatched and has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunningAttempt {
    pub(super) server: ServerName,
    pub(super) attempt: Attempt,
    pub(super) started_at: Timestamp,
    pub(super) last_progress_at: Timestamp,
    pub(super) has_frames: bool,
    pub(super) resuming: bool,
    pub(super) suspect: bool,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) request: Request,
    pub(super) tier: Tier,
    pub(super) weight: u32,
    pub(super) first_token_target: Duration,
    pub(super) per_token_target: Duration,
    pub(super) deadline: Timestamp,
    /// Time from which this request may preempt one of a lower tier that loses no more work.
    pub(super) urgent_at: Timestamp,
    pub(super) phase: Phase,
    pub(super) attempts: Attempt,
    pub(super) tried_servers: Vec<ServerName>,
    pub(super) verdict: Verdict,
    pub(super) next_seq: u64,
    pub(super) delivered_tokens: u32,
    pub(super) charged_cost: u64,
    /// Attempt that opened the stream to resume.
    pub(super) stream_attempt: Attempt,
    /// Number of attempts to resume the stream.
    pub(super) resume_count: u32,
    pub(super) claimed: bool,
    pub(super) suspect_claim: bool,
}

impl RequestState {
    /// Time from which this request may take a contested slot, or preempt one of a lower tier even
    /// if that loses more work: halfway between `urgent_at` and the deadline.
    pub(super) fn critical_at(&self) -> Timestamp {
        let left = self.deadline.saturating_sub(self.urgent_at);
        self.urgent_at + left / 2
    }

    /// Returns whether the caller has received a part of the answer.
    pub(super) const fn has_delivered_frames(&self) -> bool {
        self.next_seq > 0
    }

    /// Returns the running attempt if it has this number.
    pub(super) fn running_attempt(&mut self, attempt: Attempt) -> Option<&mut RunningAttempt> {
        match &mut self.phase {
            Phase::Running(running) if running.attempt == attempt => Some(running),
            _ => None,
        }
    }
}
