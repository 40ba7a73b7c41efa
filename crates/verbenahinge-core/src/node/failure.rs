//! What follows when an attempt fails: resume, retry, or an honest final answer.

use std::time::Duration;

use super::Node;
use super::flight::{Phase, Running};
use super::timer::Timer;
use crate::declaration::PoolKind;
use crate::hash::{hash64, mix64};
use crate::quarantine::Standing;
use crate::retry::may_retry;
use crate::server_health::{HealthStatus, exceeds_ejection_limit};
use crate::{
    Action, Attempt, CrashId, DispatchMode, FailureKind, PoolName, Refusal, RefusalReason,
    RequestId, ServerName, Verdict,
};

/// Dispatches of one request at the most.
const ATTEMPT_LIMIT: Attempt = 6;

/// Times that a stream is looked for on its server; a server that ends cuts one or two of them
/// before it takes no connections any more.
const RESUME_LIMIT: u32 = 3;

/// Time that a request whose first attempt failed waits for another.
pub(super) const RETRY_PATIENCE: Duration = Duration::from_secs(10);

impl Node {
    pub(super) fn attempt_failed(&mut self, id: RequestId, attempt: Attempt, kind: FailureKind) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.running(attempt).is_none() {
            return;
        }
        flight.verdict = flight.verdict.combine(kind.verdict());
        let pool_name = flight.request.pool.clone();
        let Some(running) = self.vacate(id) else {
            return;
        };
        if self.may_resume(id, &running, kind) {
            self.resume(id, &running);
            return;
        }
        if kind.may_still_run() {
            self.out.push(Action::Cancel {
                request: id,
                attempt,
                server: running.server.clone(),
            });
        }
        self.blame_server(&pool_name, &running, kind);
        self.note_crash(id, &pool_name, &running, kind);
        self.retry_or_refuse(id, &running, kind);
        self.pump(&pool_name);
    }

    /// Says whether the stream of a lost connection is to be looked for on its server.
    fn may_resume(&self, id: RequestId, running: &Running, kind: FailureKind) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return false;
        };
        let is_engine = self
            .pools
            .get(&flight.request.pool)
            .is_some_and(|pool| pool.kind == PoolKind::Engine);
        let is_cut = matches!(kind, FailureKind::ConnectionLost | FailureKind::Silent);
        // A process that is ending still accepts connections, and cuts them again.
        let is_ending = running.resuming
            && !running.has_frames
            && kind == FailureKind::ConnectionLost
            && flight.resumes < RESUME_LIMIT;
        is_engine && is_cut && (flight.resumes == 0 || is_ending)
    }

    fn resume(&mut self, id: RequestId, running: &Running) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.resumes == 0 {
            flight.stream = running.attempt;
        }
        flight.resumes += 1;
        let mode = DispatchMode::Resume {
            delivered: flight.next_seq,
            stream: flight.stream,
        };
        self.occupy(id, running.server.clone(), mode, running.suspect, false);
    }

    fn blame_server(&mut self, pool_name: &PoolName, running: &Running, kind: FailureKind) {
        if !kind.suggests_server_down() {
            return;
        }
        let now = self.now;
        let seed = mix64(self.options.vm, hash64(running.server.as_bytes()));
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let at_fault = exceeds_ejection_limit(pool.ejected(), pool.servers.len());
        let Some(server) = pool.servers.get_mut(&running.server) else {
            return;
        };
        let definite = kind == FailureKind::ConnectFailed;
        let already = matches!(server.liveness.status(), HealthStatus::Ejected { .. });
        if !server.liveness.record_failure(definite) || already || at_fault {
            return;
        }
        let until = server.liveness.eject(now, seed);
        pool.refresh(now, &running.server);
        let timer = Timer::Probe(pool_name.clone(), running.server.clone());
        self.set_timer(until, timer);
        self.out.push(Action::HealthChanged {
            server: running.server.clone(),
            up: false,
        });
    }

    /// Lets an ejected server take requests again; the next failure ejects it for longer.
    pub(super) fn probe_server(&mut self, pool_name: &PoolName, name: &ServerName) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let Some(server) = pool.servers.get_mut(name) else {
            return;
        };
        server.liveness.readmit();
        pool.refresh(self.now, name);
        self.out.push(Action::HealthChanged {
            server: name.clone(),
            up: true,
        });
        self.pump(pool_name);
    }

    /// Makes a request a suspect if the server died under it.
    ///
    /// A stream that cannot be resumed because its server is gone or has restarted shows a
    /// crash; a cut connection alone does not.
    fn note_crash(&mut self, id: RequestId, pool: &PoolName, running: &Running, kind: FailureKind) {
        let crashed = match kind {
            FailureKind::ConnectFailed | FailureKind::Rejected => running.resuming,
            FailureKind::ConnectionLost => !self.is_engine(pool),
            FailureKind::ServerError | FailureKind::Silent | FailureKind::Malformed => false,
        };
        if !crashed {
            return;
        }
        let crash = self.crash_id(pool, &running.server);
        if let Some(flight) = self.flights.get(&id) {
            let fingerprint = flight.request.fingerprint;
            if self.quarantine.record(self.now, fingerprint, crash) {
                // At once, because the caller may send the request again through another VM.
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
            .and_then(|server| server.liveness.incarnation())
            .unwrap_or(0);
        mix64(hash64(server.as_bytes()), incarnation)
    }

    fn retry_or_refuse(&mut self, id: RequestId, running: &Running, kind: FailureKind) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let fingerprint = flight.request.fingerprint;
        let verdict = flight.verdict;
        let standing = self.quarantine.standing(fingerprint);
        if standing == Standing::Quarantined {
            let refusal = Refusal::new(RefusalReason::Quarantined).verdict(verdict);
            self.refuse_later(id, refusal);
            return;
        }
        let allowed = may_retry(verdict, flight.request.repeatable);
        let free = !kind.retry_adds_load() && !running.resuming;
        let possible = allowed && flight.attempts < ATTEMPT_LIMIT;
        let pool = self.pools.get_mut(&flight.request.pool);
        let affordable = free || possible && pool.is_some_and(|pool| pool.budget.try_withdraw());
        if !possible || !affordable {
            let refusal = Refusal::new(RefusalReason::ServerFailed).verdict(verdict);
            self.refuse_later(id, refusal);
            return;
        }
        if !flight.tried.contains(&running.server) {
            flight.tried.push(running.server.clone());
        }
        flight.resumes = 0;
        if verdict == Verdict::MayHaveRun {
            flight.deadline = now + RETRY_PATIENCE;
        }
        let deadline = flight.deadline.max(now);
        let claimed = flight.suspect_claim;
        flight.phase = Phase::Claiming;
        self.set_timer(deadline, Timer::QueueDeadline(id));
        if standing == Standing::Suspect && !claimed {
            self.claim_suspect(id, fingerprint);
            return;
        }
        self.enqueue(id, true);
    }
}
