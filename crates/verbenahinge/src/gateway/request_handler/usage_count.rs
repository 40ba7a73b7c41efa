//! Counts a request once it has begun to run at a backend server.

use std::collections::BTreeMap;

use verbenahinge_core::gateway::{RouteKind, ServerChoice};
use verbenahinge_core::{ServerName, Timestamp};

use super::RequestHandler;
use crate::boot_clock::boot_time;
use crate::gateway::usage;

#[derive(Clone, Copy, Debug)]
struct UsageAttempt {
    /// Boot time at which the request was sent.
    sent_at: Timestamp,
    prefill_cost: f64,
}

/// Attempts of a request, and whether it has been counted.
#[derive(Debug, Default)]
pub(super) struct UsageCounter {
    attempts: BTreeMap<ServerName, UsageAttempt>,
    is_counted: bool,
}

impl RequestHandler {
    /// Notes that the request is sent to a server.
    pub(super) fn note_usage_attempt(&mut self, choice: &ServerChoice) {
        if !self.gateway.duties.are_on() || self.usage_counter.is_counted {
            return;
        }
        let attempt = UsageAttempt {
            sent_at: boot_time(),
            prefill_cost: choice.prefill_cost,
        };
        let server = choice.server.clone();
        self.usage_counter.attempts.insert(server, attempt);
    }

    /// Counts the request when the first bytes of its response have come from a server that ran it.
    ///
    /// A stream that a caller takes up again was counted when it began.
    pub(super) fn count_usage(&mut self, server: &ServerName) {
        let is_resumed =
            self.request.last_event.is_some() || self.request.resumed_request.is_some();
        if is_resumed || self.usage_counter.is_counted {
            return;
        }
        let Some(attempt) = self.usage_counter.attempts.get(server).copied() else {
            return;
        };
        self.usage_counter.is_counted = true;
        self.usage_counter.attempts.clear();
        let began_at = match self.call.route.kind {
            RouteKind::Stream => boot_time(),
            RouteKind::Idempotent | RouteKind::AtMostOnce => attempt.sent_at,
        };
        usage::count_begun(&self.gateway, &self.call, began_at, attempt.prefill_cost);
    }
}
