//! Frames of answers, completed answers and the progress timeout.

use std::sync::Arc;

use super::Node;
use super::dispatch::progress_timeout;
use super::request_state::Phase;
use super::timer::Timer;
use crate::{Action, Attempt, FailureKind, Frame, RequestId};

/// Frames from sequence number 2 to this one are all sampled, to detect stragglers early.
const EARLY_SAMPLE_MAX_SEQ: u64 = 3;

/// After the early frames, one frame out of this many is sampled.
const SAMPLE_STRIDE_FRAMES: u64 = 8;

impl Node {
    pub(super) fn handle_frame(&mut self, frame: Frame) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&frame.request) else {
            return;
        };
        let next_seq = state.next_seq;
        let prompt_tokens = state.request.prompt_tokens;
        let Some(running) = state.running_attempt(frame.attempt) else {
            return;
        };
        if frame.seq < next_seq {
            return;
        }
        if frame.seq > next_seq {
            self.handle_attempt_failure(frame.request, frame.attempt, FailureKind::Malformed);
            return;
        }
        let first = !running.has_frames;
        let interval = now.saturating_sub(running.last_progress_at);
        let resuming = running.resuming;
        let server = running.server.clone();
        running.has_frames = true;
        running.last_progress_at = now;
        state.next_seq += 1;
        state.delivered_tokens += frame.tokens;
        self.actions.push(Action::Relay(frame.request));
        let pool_name = state.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        if first {
            if !resuming {
                pool.estimates.record_first_token(prompt_tokens, interval);
            }
            return;
        }
        if !is_token_interval_sample(frame) {
            return;
        }
        pool.record_frame_interval(interval);
        if let Some(server_state) = pool.servers.get_mut(&server) {
            server_state.health.record_frame_interval(now, interval);
        }
    }

    pub(super) fn handle_finished(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        outcome: Option<Arc<str>>,
    ) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let tokens = state.delivered_tokens;
        let fingerprint = state.request.fingerprint;
        let prompt_tokens = state.request.prompt_tokens;
        let key_claimed = state.claimed && !state.suspect_claim;
        let Some(running) = state.running_attempt(attempt) else {
            return;
        };
        let server = running.server.clone();
        let slot_time = now.saturating_sub(running.started_at);
        let no_frames = !running.has_frames;
        let pool_name = state.request.pool.clone();
        if let Some(pool) = self.pools.get_mut(&pool_name) {
            pool.estimates.record_completion(slot_time, tokens);
            if no_frames {
                pool.estimates.record_first_token(prompt_tokens, slot_time);
            }
            if let Some(server_state) = pool.servers.get_mut(&server) {
                server_state.health.record_success();
            }
        }
        self.quarantine.record_completion(fingerprint);
        if key_claimed {
            self.claims.complete(now, request, outcome);
            self.schedule_claims();
        }
        self.remove_request(request);
        self.actions.push(Action::Finish(request));
        self.dispatch_queued(&pool_name);
    }

    pub(super) fn check_progress(&mut self, request: RequestId) {
        let now = self.now;
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let Phase::Running(running) = &state.phase else {
            return;
        };
        let due = running.last_progress_at + progress_timeout(state, running);
        if due > now {
            self.set_timer(due, Timer::ProgressCheck(request));
            return;
        }
        let attempt = running.attempt;
        self.handle_attempt_failure(request, attempt, FailureKind::Silent);
    }
}

/// Returns whether the time since the previous frame is a sample of the time between tokens.
const fn is_token_interval_sample(frame: Frame) -> bool {
    let early = frame.seq > 1 && frame.seq <= EARLY_SAMPLE_MAX_SEQ;
    frame.tokens > 0 && (early || frame.seq.is_multiple_of(SAMPLE_STRIDE_FRAMES))
}
