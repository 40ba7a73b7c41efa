//! Frames of answers and the end of answers.

use std::sync::Arc;

use super::Node;
use super::dispatch::progress_limit;
use super::flight::Phase;
use super::timer::Timer;
use crate::{Action, Attempt, FailureKind, Frame, RequestId};

/// Frames of each answer that are all samples, so that a straggler shows soon.
const EARLY_SAMPLE_FRAMES: u64 = 3;

/// Frames between two samples of a server's pace.
const PACE_SAMPLE_FRAMES: u64 = 8;

impl Node {
    pub(super) fn frame(&mut self, frame: Frame) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&frame.request) else {
            return;
        };
        let next_seq = flight.next_seq;
        let prompt_tokens = flight.request.prompt_tokens;
        let Some(running) = flight.running(frame.attempt) else {
            return;
        };
        if frame.seq < next_seq {
            return;
        }
        if frame.seq > next_seq {
            self.attempt_failed(frame.request, frame.attempt, FailureKind::Malformed);
            return;
        }
        let first = !running.has_frames;
        let interval = now.saturating_sub(running.last_progress);
        let resuming = running.resuming;
        let server = running.server.clone();
        running.has_frames = true;
        running.last_progress = now;
        flight.next_seq += 1;
        flight.delivered_tokens += frame.tokens;
        self.out.push(Action::Relay(frame.request));
        let pool_name = flight.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        if first {
            if !resuming {
                pool.estimates.saw_first_token(prompt_tokens, interval);
            }
            return;
        }
        if !is_pace_sample(frame) {
            return;
        }
        pool.saw_pace(interval);
        if let Some(state) = pool.servers.get_mut(&server) {
            state.liveness.record_frame_interval(now, interval);
        }
    }

    pub(super) fn finished(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        outcome: Option<Arc<str>>,
    ) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let tokens = flight.delivered_tokens;
        let fingerprint = flight.request.fingerprint;
        let prompt_tokens = flight.request.prompt_tokens;
        let claimed = flight.claimed && !flight.suspect_claim;
        let Some(running) = flight.running(attempt) else {
            return;
        };
        let server = running.server.clone();
        let hold = now.saturating_sub(running.started);
        let unframed = !running.has_frames;
        let pool_name = flight.request.pool.clone();
        if let Some(pool) = self.pools.get_mut(&pool_name) {
            pool.estimates.saw_end(hold, tokens);
            if unframed {
                pool.estimates.saw_first_token(prompt_tokens, hold);
            }
            if let Some(state) = pool.servers.get_mut(&server) {
                state.liveness.record_success();
            }
        }
        self.quarantine.completed(fingerprint);
        if claimed {
            self.claims.complete(now, request, outcome);
            self.schedule_claims();
        }
        self.remove_flight(request);
        self.out.push(Action::Finish(request));
        self.pump(&pool_name);
    }

    pub(super) fn check_progress(&mut self, request: RequestId) {
        let now = self.now;
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let Phase::Running(running) = &flight.phase else {
            return;
        };
        let due = running.last_progress + progress_limit(flight, running);
        if due > now {
            self.set_timer(due, Timer::Progress(request));
            return;
        }
        let attempt = running.attempt;
        self.attempt_failed(request, attempt, FailureKind::Silent);
    }
}

/// Says whether a frame is used to measure the pace: the first few, and some of the others.
const fn is_pace_sample(frame: Frame) -> bool {
    let early = frame.seq > 1 && frame.seq <= EARLY_SAMPLE_FRAMES;
    frame.tokens > 0 && (early || frame.seq.is_multiple_of(PACE_SAMPLE_FRAMES))
}
