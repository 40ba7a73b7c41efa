//! Handling of failed attempts: resume, retry or refusal, and ejection of backend servers.

use std::time::Duration;

use super::Node;
use super::request_state::{Phase, RunningAttempt};
use super::timer::Timer;
use crate::declaration::PoolKind;
use crate::hash::{hash64, mix64};
use crate::quarantine::QuarantineStatus;
use crate::retry::may_retry;
use crate::server_health::{HealthStatus, exceeds_ejection_limit};
use crate::{
    Action, Attempt, CrashId, DispatchMode, FailureKind, PoolName, Refusal, RefusalReason,
    RequestId, ServerName, Verdict,
};

/// Number of dispatches, resumes included, from which a failed request is not retried.
const RETRY_ATTEMPT_LIMIT: Attempt = 6;

/// Maximum number of consecutive attempts to resume a stream. A server that is exiting accepts and
/// drops one or two connections before it refuses new ones.
const MAX_RESUMES: u32 = 3;

/// How long a request that may have run, or whose answer has begun, may wait for another attempt.
pub(super) const RETRY_QUEUE_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    pub(super) fn handle_attempt_failure(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        kind: FailureKind,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.running_attempt(attempt).is_none() {
            return;
        }
        state.verdict = state.verdict.combine(kind.verdict());
        let pool_name = state.request.pool.clone();
        let Some(running) = self.end_attempt(id) else {
            return;
        };
        if self.may_resume(id, &running, kind) {
            self.resume(id, &running);
            return;
        }
        if kind.may_still_run() {
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
                server: running.server.clone(),
            });
        }
        self.record_server_failure(&pool_name, &running, kind);
        self.record_crash(id, &pool_name, &running, kind);
        self.retry_or_refuse(id, &running, kind);
        self.dispatch_queued(&pool_name);
    }

    /// Returns whether to resume the stream of an interrupted attempt on the same backend server.
    fn may_resume(&self, id: RequestId, running: &RunningAttempt, kind: FailureKind) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let is_engine = self
            .pools
            .get(&state.request.pool)
            .is_some_and(|pool| pool.kind == PoolKind::Engine);
        let is_interrupted = matches!(kind, FailureKind::ConnectionLost | FailureKind::Silent);
        // A process that is exiting still accepts connections and drops them again.
        let is_exiting = running.resuming
            && !running.has_frames
            && kind == FailureKind::ConnectionLost
            && state.resume_count < MAX_RESUMES;
        is_engine && is_interrupted && (state.resume_count == 0 || is_exiting)
    }

    fn resume(&mut self, id: RequestId, running: &RunningAttempt) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.resume_count == 0 {
            state.stream_attempt = running.attempt;
        }
        state.resume_count += 1;
        let mode = DispatchMode::Resume {
            delivered: state.next_seq,
            stream: state.stream_attempt,
        };
        self.start_attempt(id, running.server.clone(), mode, running.suspect, false);
    }

    fn record_server_failure(
        &mut self,
        pool_name: &PoolName,
        running: &RunningAttempt,
        kind: FailureKind,
    ) {
        if !kind.suggests_server_down() {
            return;
        }
        let now = self.now;
        let seed = mix64(self.options.vm, hash64(running.server.as_bytes()));
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let limit_exceeded = exceeds_ejection_limit(pool.ejected_count(), pool.servers.len());
        let Some(server) = pool.servers.get_mut(&running.server) else {
            return;
        };
        let immediate = kind == FailureKind::ConnectFailed;
        let already_ejected = matches!(server.health.status(), HealthStatus::Ejected { .. });
        if !server.health.record_failure(immediate) || already_ejected || limit_exceeded {
            return;
        }
        let until = server.health.eject(now, seed);
        pool.reindex_server(now, &running.server);
        let timer = Timer::Readmit(pool_name.clone(), running.server.clone());
        self.set_timer(until, timer);
        self.actions.push(Action::HealthChanged {
            server: running.server.clone(),
            up: false,
        });
    }

    /// Readmits an ejected backend server; the next failure ejects it for longer.
    pub(super) fn readmit_server(&mut self, pool_name: &PoolName, name: &ServerName) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let Some(server) = pool.servers.get_mut(name) else {
            return;
        };
        server.health.readmit();
        pool.reindex_server(self.now, name);
        self.actions.push(Action::HealthChanged {
            server: name.clone(),
            up: true,
        });
        self.dispatch_queued(pool_name);
    }

    /// Records a crash against a request's fingerprint if its backend server crashed.
    ///
    /// For an engine, only a stream that cannot be resumed because the server is gone or has
    /// restarted counts as a crash; a lost connection alone does not. For a plain service, which
    /// has no streams to resume, a lost connection counts.
    fn record_crash(
        &mut self,
        id: RequestId,
        pool: &PoolName,
        running: &RunningAttempt,
        kind: FailureKind,
    ) {
        let crashed = match kind {
            FailureKind::ConnectFailed | FailureKind::Rejected => running.resuming,
            FailureKind::ConnectionLost => !self.is_engine(pool),
            FailureKind::NotSent
            | FailureKind::ServerError
            | FailureKind::Silent
            | FailureKind::Malformed => false,
        };
        if !crashed {
            return;
        }
        let crash = self.crash_id(pool, &running.server);
        if let Some(state) = self.requests.get(&id) {
            let fingerprint = state.request.fingerprint;
            if self.quarantine.record_crash(self.now, fingerprint, crash) {
                // Sent immediately, because the caller may retry the request through another VM.
                self.send_digest(false);
            }
        }
    }

    fn is_engine(&self, pool: &PoolName) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|pool| pool.kind == PoolKind::Engine)
    }

    fn crash_id(&self, pool: &PoolName, server: &ServerName) -> CrashId {
        let incarnation = self
            .pools
            .get(pool)
            .and_then(|pool| pool.servers.get(server))
            .and_then(|server| server.health.incarnation())
            .unwrap_or(0);
        mix64(hash64(server.as_bytes()), incarnation)
    }

    fn retry_or_refuse(&mut self, id: RequestId, running: &RunningAttempt, kind: FailureKind) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let fingerprint = state.request.fingerprint;
        let verdict = state.verdict;
        let status = self.quarantine.status(fingerprint);
        if status == QuarantineStatus::Quarantined {
            let refusal = Refusal::new(RefusalReason::Quarantined).verdict(verdict);
            self.refuse_accepted(id, refusal);
            return;
        }
        let allowed = may_retry(verdict, state.request.repeatable);
        let exempt_from_budget = !kind.retry_adds_load() && !running.resuming;
        let possible = allowed && state.attempts < RETRY_ATTEMPT_LIMIT;
        let pool = self.pools.get_mut(&state.request.pool);
        let within_budget =
            exempt_from_budget || possible && pool.is_some_and(|pool| pool.budget.try_withdraw());
        if !possible || !within_budget {
            let refusal = Refusal::new(RefusalReason::ServerFailed).verdict(verdict);
            self.refuse_accepted(id, refusal);
            return;
        }
        if !state.tried_servers.contains(&running.server) {
            state.tried_servers.push(running.server.clone());
        }
        state.resume_count = 0;
        if verdict == Verdict::MayHaveRun {
            state.deadline = now + RETRY_QUEUE_TIMEOUT;
        }
        let deadline = state.deadline.max(now);
        let suspect_claim = state.suspect_claim;
        state.phase = Phase::Claiming;
        self.set_timer(deadline, Timer::QueueDeadline(id));
        if status == QuarantineStatus::Suspect && !suspect_claim {
            self.claim_suspect(id, fingerprint);
            return;
        }
        self.enqueue(id, true);
    }
}
