//! Handling of new requests: checks, early refusal, claims and queueing.

use std::time::Duration;

use super::Node;
use super::request_state::{Phase, RequestState};
use super::timer::Timer;
use crate::claims::{IDEMPOTENCY_KEY_TTL, SUSPECT_CLAIM_TTL};
use crate::declaration::tier_index;
use crate::hash::jitter;
use crate::quarantine::QuarantineStatus;
use crate::table::RowKey;
use crate::{Action, Fingerprint, Refusal, RefusalReason, Request, RequestId, Timestamp, Verdict};

/// How long a tier must have had waiting requests before new ones are refused by predicted wait.
///
/// Within this time peers learn that the tier is waiting and stop admitting lower tiers, so that
/// no request is refused while a request of a lower tier is admitted on another VM.
pub(super) const DEMAND_PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// Retry delay for duplicates and suspects, and for requests whose pool no longer exists.
const DUPLICATE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry delay for quarantined requests.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(10);

/// Range over which the retries of callers of a draining VM are spread.
const DRAIN_RETRY_JITTER: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn handle_arrival(&mut self, request: Request) {
        let id = request.id;
        if self.draining {
            let delay = jitter(request.fingerprint, DRAIN_RETRY_JITTER);
            let refusal = Refusal::new(RefusalReason::Draining).retry_after(delay);
            self.refuse_on_arrival(id, refusal);
            return;
        }
        let Some(state) = self.new_request_state(request) else {
            self.refuse_on_arrival(id, Refusal::new(RefusalReason::Unknown));
            return;
        };
        if let Some(refusal) = self.early_refusal(&state) {
            self.refuse_on_arrival(id, refusal);
            return;
        }
        *self
            .requests_per_account
            .entry(state.request.account.clone())
            .or_default() += 1;
        self.requests.insert(id, state);
        self.claim_or_enqueue(id);
    }

    fn refuse_on_arrival(&mut self, request: RequestId, refusal: Refusal) {
        self.actions.push(Action::Refuse { request, refusal });
    }

    fn new_request_state(&self, request: Request) -> Option<RequestState> {
        let declaration = &self.config.in_force().declaration;
        let class = declaration.classes.get(&request.class)?;
        let account = declaration.accounts.get(&request.account)?;
        let pool = self.pools.get(&request.pool)?;
        let expected = pool.estimates.first_token(request.prompt_tokens);
        let max_wait = class.first_token().saturating_sub(expected);
        Some(RequestState {
            tier: class.tier,
            weight: account.weight,
            first_token_target: class.first_token(),
            per_token_target: class.per_token(),
            deadline: self.now + max_wait,
            urgent_at: self.now + max_wait * 2 / 3,
            phase: Phase::Claiming,
            attempts: 0,
            tried_servers: Vec::new(),
            verdict: Verdict::NotRun,
            next_seq: 0,
            delivered_tokens: 0,
            charged_cost: 0,
            stream_attempt: 0,
            resume_count: 0,
            claimed: false,
            suspect_claim: false,
            request,
        })
    }

    /// Returns a refusal if the request is quarantined, its client account has reached its limit or
    /// the predicted wait goes beyond the deadline.
    fn early_refusal(&mut self, state: &RequestState) -> Option<Refusal> {
        if self.quarantine.status(state.request.fingerprint) == QuarantineStatus::Quarantined {
            let refusal = Refusal::new(RefusalReason::Quarantined);
            return Some(refusal.retry_after(QUARANTINE_RETRY_AFTER));
        }
        if self.is_over_account_limit(state) {
            let slot_time = self.pools.get(&state.request.pool)?.estimates.slot_time();
            return Some(Refusal::new(RefusalReason::AccountLimit).retry_after(slot_time));
        }
        let now = self.now;
        let pool = self.pools.get_mut(&state.request.pool)?;
        let tier_state = &mut pool.tier_states[tier_index(state.tier)];
        tier_state.demand_since.get_or_insert(now);
        let propagated = tier_state
            .waiting_since
            .is_some_and(|since| since + DEMAND_PROPAGATION_TIME <= now);
        if !propagated {
            return None;
        }
        let position = pool
            .queue
            .tier(state.tier)
            .position(&state.request.account, state.weight);
        let wait = pool.expected_wait(now, state.tier, position);
        if now.saturating_add(wait) <= state.deadline {
            return None;
        }
        let delay = pool.reserve_retry_after(now, state.tier);
        Some(Refusal::new(RefusalReason::Overloaded).retry_after(delay))
    }

    fn is_over_account_limit(&self, state: &RequestState) -> bool {
        let declaration = &self.config.in_force().declaration;
        let limit = declaration
            .accounts
            .get(&state.request.account)
            .and_then(|account| account.max_in_flight);
        let used = self.requests_per_account.get(&state.request.account);
        limit.is_some_and(|limit| used.copied().unwrap_or(0) >= limit)
    }

    /// Requests a claim if the request needs one; otherwise queues the request, or refuses it if it
    /// is a suspect that is not repeatable.
    fn claim_or_enqueue(&mut self, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let deadline = state.deadline.max(self.now);
        let fingerprint = state.request.fingerprint;
        let key = state.request.idempotency_key.clone();
        let account = state.request.account.clone();
        let repeatable = state.request.repeatable;
        self.set_timer(deadline, Timer::QueueDeadline(id));
        if self.quarantine.status(fingerprint) == QuarantineStatus::Suspect {
            if repeatable {
                self.claim_suspect(id, fingerprint);
            } else {
                self.refuse_accepted(id, Refusal::new(RefusalReason::Suspect));
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

    /// Requests the claim under which a suspect runs; one request in the fleet holds it at a time,
    /// at most for [`SUSPECT_CLAIM_TTL`].
    pub(super) fn claim_suspect(&mut self, id: RequestId, fingerprint: Fingerprint) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.phase = Phase::Claiming;
            state.suspect_claim = true;
        }
        self.claim_key(
            id,
            RowKey::from(format!("suspect/{fingerprint:016x}")),
            SUSPECT_CLAIM_TTL,
        );
    }

    /// Adds a request to the queue of its pool, at the front of its account's requests if `front`
    /// is set.
    pub(super) fn enqueue(&mut self, id: RequestId, front: bool) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let pool_name = state.request.pool.clone();
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        pool.enqueue(state, front);
        let tier_state = &mut pool.tier_states[tier_index(state.tier)];
        tier_state.demand_since.get_or_insert(self.now);
        self.dispatch_queued(&pool_name);
    }

    pub(super) fn handle_queue_deadline(&mut self, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.deadline > self.now {
            return;
        }
        let reason = match state.phase {
            Phase::Running(_) => return,
            Phase::Claiming => RefusalReason::StoreUnavailable,
            Phase::Queued { .. } | Phase::AwaitingIsolation => RefusalReason::Overloaded,
        };
        let refusal = Refusal::new(reason).verdict(state.verdict);
        self.refuse_accepted(id, refusal);
    }

    /// Refuses a request that has passed the checks on arrival, with a retry delay.
    pub(super) fn refuse_accepted(&mut self, id: RequestId, refusal: Refusal) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let tier = state.tier;
        let pool_name = state.request.pool.clone();
        let delay = match refusal.reason {
            RefusalReason::Quarantined => QUARANTINE_RETRY_AFTER,
            RefusalReason::Duplicate | RefusalReason::Suspect => DUPLICATE_RETRY_AFTER,
            _ => self.retry_delay(&pool_name, tier),
        };
        self.remove_request(id);
        let refusal = refusal.retry_after(delay);
        self.actions.push(Action::Refuse {
            request: id,
            refusal,
        });
        self.dispatch_queued(&pool_name);
    }

    fn retry_delay(&mut self, pool: &str, tier: crate::Tier) -> Duration {
        let now: Timestamp = self.now;
        match self.pools.get_mut(pool) {
            Some(pool) => pool.reserve_retry_after(now, tier),
            None => DUPLICATE_RETRY_AFTER,
        }
    }

    pub(super) fn handle_caller_gone(&mut self, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let pool = state.request.pool.clone();
        if let Phase::Running(running) = &state.phase {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: running.attempt,
                server: running.server.clone(),
            });
        }
        self.remove_request(id);
        self.dispatch_queued(&pool);
    }
}
