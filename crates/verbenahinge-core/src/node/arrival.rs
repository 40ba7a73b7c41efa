//! Arrival of a request: checks, early refusal, claim, queue.

use std::time::Duration;

use super::Node;
use super::flight::{Flight, Phase};
use super::timer::Timer;
use crate::claims::{IDEMPOTENCY_KEY_TTL, SUSPECT_CLAIM_TTL};
use crate::declaration::tier_index;
use crate::hash::jitter;
use crate::quarantine::QuarantineStatus;
use crate::table::RowKey;
use crate::{Action, Fingerprint, Refusal, RefusalReason, Request, RequestId, Timestamp, Verdict};

/// Time for which requests of a tier wait before the prediction may refuse others.
///
/// Peers learn within it that the tier waits and stop admitting lower ones, so that nothing of
/// a higher tier is refused while a lower one is admitted elsewhere.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time after which a refused duplicate or quarantined caller should come back.
const DUPLICATE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which a caller with a crashing request should come back.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(10);

/// Span over which callers of a draining VM are spread.
const DRAIN_RETRY_SPAN: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn arrived(&mut self, request: Request) {
        let id = request.id;
        if self.draining {
            let delay = jitter(request.fingerprint, DRAIN_RETRY_SPAN);
            let refusal = Refusal::new(RefusalReason::Draining).retry_after(delay);
            self.refuse_unseen(id, refusal);
            return;
        }
        let Some(flight) = self.new_flight(request) else {
            self.refuse_unseen(id, Refusal::new(RefusalReason::Unknown));
            return;
        };
        if let Some(refusal) = self.early_refusal(&flight) {
            self.refuse_unseen(id, refusal);
            return;
        }
        *self
            .account_flights
            .entry(flight.request.account.clone())
            .or_default() += 1;
        self.flights.insert(id, flight);
        self.start(id);
    }

    fn refuse_unseen(&mut self, request: RequestId, refusal: Refusal) {
        self.out.push(Action::Refuse { request, refusal });
    }

    fn new_flight(&self, request: Request) -> Option<Flight> {
        let declaration = &self.config.in_force().declaration;
        let class = declaration.classes.get(&request.class)?;
        let account = declaration.accounts.get(&request.account)?;
        let pool = self.pools.get(&request.pool)?;
        let expected = pool.estimates.first_token(request.prompt_tokens);
        let patience = class.first_token().saturating_sub(expected);
        Some(Flight {
            tier: class.tier,
            weight: account.weight,
            first_token: class.first_token(),
            per_token: class.per_token(),
            deadline: self.now + patience,
            pressing_at: self.now + patience * 2 / 3,
            phase: Phase::Claiming,
            attempts: 0,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            next_seq: 0,
            delivered_tokens: 0,
            charged: 0,
            stream: 0,
            resumes: 0,
            claimed: false,
            suspect_claim: false,
            request,
        })
    }

    /// Decides at once about a request whose target cannot be met.
    fn early_refusal(&mut self, flight: &Flight) -> Option<Refusal> {
        if self.quarantine.status(flight.request.fingerprint) == QuarantineStatus::Quarantined {
            let refusal = Refusal::new(RefusalReason::Quarantined);
            return Some(refusal.retry_after(QUARANTINE_RETRY_AFTER));
        }
        if self.is_over_account_limit(flight) {
            let hold = self.pools.get(&flight.request.pool)?.estimates.hold();
            return Some(Refusal::new(RefusalReason::AccountLimit).retry_after(hold));
        }
        let now = self.now;
        let pool = self.pools.get_mut(&flight.request.pool)?;
        let progress = &mut pool.progress[tier_index(flight.tier)];
        progress.demand_since.get_or_insert(now);
        let settled = progress
            .waiting_since
            .is_some_and(|since| since + SETTLE_TIME <= now);
        if !settled {
            return None;
        }
        let position = pool
            .queue
            .tier(flight.tier)
            .position(&flight.request.account, flight.weight);
        let wait = pool.expected_wait(now, flight.tier, position);
        if now.saturating_add(wait) <= flight.deadline {
            return None;
        }
        let delay = pool.reserve_retry_after(now, flight.tier);
        Some(Refusal::new(RefusalReason::Overloaded).retry_after(delay))
    }

    fn is_over_account_limit(&self, flight: &Flight) -> bool {
        let declaration = &self.config.in_force().declaration;
        let limit = declaration
            .accounts
            .get(&flight.request.account)
            .and_then(|account| account.max_in_flight);
        let used = self.account_flights.get(&flight.request.account);
        limit.is_some_and(|limit| used.copied().unwrap_or(0) >= limit)
    }

    /// Claims what must be claimed and queues the rest.
    fn start(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let deadline = flight.deadline.max(self.now);
        let fingerprint = flight.request.fingerprint;
        let key = flight.request.idempotency_key.clone();
        let account = flight.request.account.clone();
        let repeatable = flight.request.repeatable;
        self.set_timer(deadline, Timer::QueueDeadline(id));
        if self.quarantine.status(fingerprint) == QuarantineStatus::Suspect {
            if repeatable {
                self.claim_suspect(id, fingerprint);
            } else {
                self.refuse_later(id, Refusal::new(RefusalReason::Suspect));
            }
            return;
        }
        if let (false, Some(key)) = (repeatable, key) {
            self.claim_key(
                id,
                RowKey::from(format!("claim/{account}/{key}")),
                IDEMPOTENCY_KEY_TTL,
            );
            return;
        }
        self.enqueue(id, false);
    }

    /// Claims the right to run a suspect; only one VM holds it at a time.
    pub(super) fn claim_suspect(&mut self, id: RequestId, fingerprint: Fingerprint) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.phase = Phase::Claiming;
            flight.suspect_claim = true;
        }
        self.claim_key(
            id,
            RowKey::from(format!("suspect/{fingerprint:016x}")),
            SUSPECT_CLAIM_TTL,
        );
    }

    /// Puts a request into the queue of its pool; a retry goes before the others.
    pub(super) fn enqueue(&mut self, id: RequestId, front: bool) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let pool_name = flight.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        pool.enqueue(flight, front);
        let progress = &mut pool.progress[tier_index(flight.tier)];
        progress.demand_since.get_or_insert(self.now);
        self.pump(&pool_name);
    }

    pub(super) fn queue_deadline(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.deadline > self.now {
            return;
        }
        let reason = match flight.phase {
            Phase::Running(_) => return,
            Phase::Claiming => RefusalReason::StoreUnavailable,
            Phase::Queued { .. } | Phase::Isolated => RefusalReason::Overloaded,
        };
        let refusal = Refusal::new(reason).verdict(flight.verdict);
        self.refuse_later(id, refusal);
    }

    /// Refuses a request that has been accepted before, with a time to come back.
    pub(super) fn refuse_later(&mut self, id: RequestId, refusal: Refusal) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let tier = flight.tier;
        let pool_name = flight.request.pool.clone();
        let delay = match refusal.reason {
            RefusalReason::Quarantined => QUARANTINE_RETRY_AFTER,
            RefusalReason::Duplicate | RefusalReason::Suspect => DUPLICATE_RETRY_AFTER,
            _ => self.return_delay(&pool_name, tier),
        };
        self.remove_flight(id);
        let refusal = refusal.retry_after(delay);
        self.out.push(Action::Refuse {
            request: id,
            refusal,
        });
        self.pump(&pool_name);
    }

    fn return_delay(&mut self, pool: &str, tier: crate::Tier) -> Duration {
        let now: Timestamp = self.now;
        match self.pools.get_mut(pool) {
            Some(pool) => pool.reserve_retry_after(now, tier),
            None => DUPLICATE_RETRY_AFTER,
        }
    }

    pub(super) fn caller_gone(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let pool = flight.request.pool.clone();
        if let Phase::Running(running) = &flight.phase {
            self.out.push(Action::Cancel {
                request: id,
                attempt: running.attempt,
                server: running.server.clone(),
            });
        }
        self.remove_flight(id);
        self.pump(&pool);
    }
}
