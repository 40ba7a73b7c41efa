//! Dispatch of queued requests to free slots, and release of slots.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::estimate::request_cost;
use super::pool::{Admission, PoolState};
use super::preemption::preemption_key;
use super::request_state::{Phase, RequestState, RunningAttempt};
use super::timer::Timer;
use crate::declaration::{TIER_COUNT, tier_index};
use crate::hash::{hash64, jitter};
use crate::placement::PlacementQuery;
use crate::quarantine::QuarantineStatus;
use crate::{
    Action, Dispatch, DispatchMode, PoolName, Refusal, RefusalReason, RequestId, ServerName, Tier,
    Timestamp, Verdict,
};

/// Minimum time without progress before an attempt fails as silent.
const MIN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Progress timeout of an attempt that has sent frames or resumes a stream, as a multiple of the
/// per-token target.
const PROGRESS_TIMEOUT_TOKENS: u32 = 30;

/// Outcome stored in the claim row of a quarantined fingerprint.
const QUARANTINED_OUTCOME: &str = "quarantined";

/// Minimum retry delay when a pool has no usable backend server.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Range over which these retries are spread.
const NO_SERVER_RETRY_JITTER: Duration = Duration::from_secs(2);

impl Node {
    /// Dispatches every queued request of a pool that may run now, highest tier first.
    pub(super) fn dispatch_queued(&mut self, pool_name: &PoolName) {
        let mut withheld = false;
        let mut tier = 0;
        while usize::from(tier) < TIER_COUNT {
            let Some(pool) = self.pools.get_mut(pool_name) else {
                return;
            };
            if pool.queue.tier(tier).is_empty() {
                tier += 1;
                continue;
            }
            let admission = if withheld {
                Admission::Withheld
            } else {
                pool.admission(tier)
            };
            let guaranteed = pool
                .guaranteed_dispatch_at(tier)
                .is_some_and(|due| due <= self.now);
            match (admission, guaranteed) {
                (Admission::Granted, _) => self.dispatch_next(pool_name, tier, false),
                (Admission::Contested, _) if self.check_critical(pool_name, tier) => {
                    self.dispatch_earliest_deadline(pool_name, tier);
                }
                (Admission::Full, _) if self.preempt_lower_tier(pool_name, tier) => {
                    self.dispatch_earliest_deadline(pool_name, tier);
                }
                (_, true) => self.dispatch_next(pool_name, tier, true),
                (_, false) => {
                    withheld = true;
                    tier += 1;
                }
            }
        }
        self.update_waiting_tiers(pool_name);
        self.schedule_change_digest(pool_name);
    }

    /// Records since when each tier has been waiting and schedules the next guaranteed dispatch.
    fn update_waiting_tiers(&mut self, pool_name: &PoolName) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let lengths = pool.queue.lengths();
        let mut next_guaranteed: Option<Timestamp> = None;
        for (tier, &length) in (0..).zip(&lengths) {
            let tier_state = &mut pool.tier_states[tier_index(tier)];
            if length == 0 {
                tier_state.waiting_since = None;
                continue;
            }
            tier_state.waiting_since.get_or_insert(now);
            let Some(due) = pool.guaranteed_dispatch_at(tier) else {
                continue;
            };
            next_guaranteed = Some(next_guaranteed.map_or(due, |other| other.min(due)));
        }
        if let Some(due) = next_guaranteed {
            self.set_timer(due.max(now), Timer::DispatchQueued(pool_name.clone()));
        }
    }

    fn dispatch_next(&mut self, pool_name: &PoolName, tier: Tier, guaranteed: bool) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        if let Some(id) = pool.queue.tier_mut(tier).pop() {
            self.dispatch_request(pool_name, id, guaranteed);
        }
    }

    /// Dispatches the request of a tier with the earliest deadline.
    ///
    /// This may skip the fair order, but only while the quota still allows a request of the tier.
    /// If the whole demand of the tier fits into the quota, no account loses its share by it;
    /// otherwise the cost charged to the account lets the others go first afterwards.
    fn dispatch_earliest_deadline(&mut self, pool_name: &PoolName, tier: Tier) {
        let first = self.request_with_earliest_deadline(pool_name, tier);
        if let Some(id) = first.map(|state| state.request.id) {
            self.dispatch_request(pool_name, id, false);
        }
    }

    fn dispatch_request(&mut self, pool_name: &PoolName, id: RequestId, guaranteed: bool) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let tier = state.tier;
        pool.dequeue(state);
        let has_more = !pool.queue.tier(tier).is_empty();
        let tier_state = &mut pool.tier_states[tier_index(tier)];
        tier_state.demand_since = has_more.then_some(self.now);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let suspect = is_suspect(state, &self.quarantine);
        let Some(server) = choose_server(pool, state, suspect) else {
            if suspect && !pool.placement.is_empty() {
                state.phase = Phase::AwaitingIsolation;
                pool.waiting_suspects.insert(id);
                return;
            }
            let verdict = state.verdict;
            self.refuse_without_server(id, verdict);
            return;
        };
        let cost = pool.estimates.expected_cost(state.request.prompt_tokens);
        let queue = pool.queue.tier_mut(tier);
        queue.charge(&state.request.account, state.weight, cost);
        state.charged_cost = cost;
        if state.attempts == 0 {
            pool.budget.deposit();
        }
        let dispatch_mode = match state.next_seq {
            0 => DispatchMode::Fresh,
            delivered => DispatchMode::Continue { delivered },
        };
        self.start_attempt(id, server, dispatch_mode, suspect, guaranteed);
    }

    /// Refuses a request for which no backend server is available.
    ///
    /// Does not dispatch other requests, because it is called while [`Self::dispatch_queued`] runs.
    fn refuse_without_server(&mut self, id: RequestId, verdict: Verdict) {
        let seed = id.to_le_bytes();
        let delay = NO_SERVER_RETRY_AFTER + jitter(hash64(&seed), NO_SERVER_RETRY_JITTER);
        self.remove_request(id);
        let refusal = Refusal::new(RefusalReason::NoServer);
        let refusal = refusal.verdict(verdict).retry_after(delay);
        self.actions.push(Action::Refuse {
            request: id,
            refusal,
        });
    }

    /// Takes a slot on a backend server and dispatches the request to it.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        server: ServerName,
        mode: DispatchMode,
        suspect: bool,
        guaranteed: bool,
    ) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&state.request.pool) else {
            return;
        };
        state.attempts += 1;
        let attempt = state.attempts;
        let running = RunningAttempt {
            server: server.clone(),
            attempt,
            started_at: now,
            last_progress_at: now,
            has_frames: false,
            resuming: matches!(mode, DispatchMode::Resume { .. }),
            suspect,
        };
        let limit = progress_timeout(state, &running);
        state.phase = Phase::Running(running);
        pool.running[tier_index(state.tier)].insert((now, id));
        if state.request.repeatable && !suspect && !guaranteed {
            let key = preemption_key(state, now);
            pool.preemptible[tier_index(state.tier)].insert(key);
        }
        pool.acquire_slot(now, &server, suspect);
        let tier = state.tier;
        self.set_timer(now + limit, Timer::ProgressCheck(id));
        self.actions.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            server,
            mode,
            tier,
            guaranteed,
        }));
    }

    /// Releases the slot of a running request and returns its attempt.
    ///
    /// The request is left in [`Phase::Claiming`] until the caller sets its next phase or removes
    /// it.
    pub(super) fn end_attempt(&mut self, id: RequestId) -> Option<RunningAttempt> {
        let now = self.now;
        let state = self.requests.get_mut(&id)?;
        let Phase::Running(running) = state.phase.clone() else {
            return None;
        };
        state.phase = Phase::Claiming;
        let pool = self.pools.get_mut(&state.request.pool)?;
        pool.running[tier_index(state.tier)].remove(&(running.started_at, id));
        let key = preemption_key(state, running.started_at);
        pool.preemptible[tier_index(state.tier)].remove(&key);
        pool.release_slot(now, &running.server, running.suspect);
        charge_excess_cost(pool, state);
        if running.suspect {
            let pool_name = state.request.pool.clone();
            self.requeue_waiting_suspects(&pool_name);
        }
        Some(running)
    }

    /// Queues the suspects that wait for a backend server without another suspect.
    fn requeue_waiting_suspects(&mut self, pool_name: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        for id in std::mem::take(&mut pool.waiting_suspects) {
            let Some(state) = self.requests.get_mut(&id) else {
                continue;
            };
            pool.enqueue(state, true);
        }
    }

    /// Removes a request with its slot, queue entry and account count, and ends its claim.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<RequestState> {
        let was_running = self.end_attempt(id).is_some();
        let state = self.requests.remove(&id)?;
        let account = &state.request.account;
        if let Some(pool) = self.pools.get_mut(&state.request.pool) {
            pool.dequeue(&state);
            pool.waiting_suspects.remove(&id);
        }
        if let Some(count) = self.requests_per_account.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.requests_per_account.remove(account);
            }
        }
        let may_have_run = was_running || state.verdict == Verdict::MayHaveRun;
        self.end_claim(&state, may_have_run);
        self.check_drained();
        Some(state)
    }

    fn end_claim(&mut self, state: &RequestState, may_have_run: bool) {
        if state.request.idempotency_key.is_none() && !state.suspect_claim {
            return;
        }
        let id = state.request.id;
        let fingerprint = state.request.fingerprint;
        let quarantined = self.quarantine.status(fingerprint) == QuarantineStatus::Quarantined;
        match (state.suspect_claim, quarantined) {
            // Keeps the row, so that VMs that have not received the crash records learn of them.
            (true, true) => {
                let outcome = Some(Arc::from(QUARANTINED_OUTCOME));
                self.claims.complete(self.now, id, outcome);
            }
            (false, _) if may_have_run => self.claims.forget(id),
            (true, false) | (false, _) => self.claims.abandon(self.now, id),
        }
        self.schedule_claims();
    }
}

/// Returns how long an attempt may go without progress before it fails.
///
/// The timeout of a new attempt that has sent no frame follows from the first-token target, because
/// the attempt may be queued on the backend server, even if an earlier attempt has already
/// delivered a part of the answer.
pub(super) fn progress_timeout(state: &RequestState, running: &RunningAttempt) -> Duration {
    if running.has_frames || running.resuming {
        MIN_PROGRESS_TIMEOUT.max(state.per_token_target * PROGRESS_TIMEOUT_TOKENS)
    } else {
        MIN_PROGRESS_TIMEOUT + state.first_token_target * 2
    }
}

fn is_suspect(state: &RequestState, quarantine: &crate::quarantine::Quarantine) -> bool {
    quarantine.status(state.request.fingerprint) == QuarantineStatus::Suspect
}

fn choose_server(pool: &PoolState, state: &RequestState, suspect: bool) -> Option<ServerName> {
    let query = PlacementQuery {
        prefix_hash: state.request.prefix_hash,
        prompt_tokens: state.request.prompt_tokens,
        others_waiting: pool.queue.highest_waiting_tier().is_some(),
    };
    if suspect {
        return choose_isolated_server(pool, &query, &state.tried_servers);
    }
    pool.placement
        .choose(&query, &state.tried_servers)
        .or_else(|| pool.placement.choose(&query, &[]))
}

/// Chooses a backend server on which this VM runs no other suspect.
///
/// VMs do not learn of each other's suspects in time, so each VM prefers its own subset of the
/// servers for them and uses the others only if its own are all ineligible or already tried.
fn choose_isolated_server(
    pool: &PoolState,
    query: &PlacementQuery,
    tried_servers: &[ServerName],
) -> Option<ServerName> {
    let servers = pool.servers.len();
    let mut occupied = tried_servers.to_vec();
    let mut excluded = tried_servers.to_vec();
    for (name, server) in &pool.servers {
        if server.running_suspects > 0 {
            occupied.push(name.clone());
        }
        if !pool.vm_rank.runs_suspects_on(server.index, servers) {
            excluded.push(name.clone());
        }
    }
    if pool.placement.choose(query, &excluded).is_none() {
        return pool.placement.choose(query, &occupied);
    }
    excluded.extend(occupied);
    pool.placement.choose(query, &excluded)
}

/// Charges the part of the cost of an ended attempt that exceeds the expected cost; a lower cost
/// is not refunded.
fn charge_excess_cost(pool: &mut PoolState, state: &mut RequestState) {
    let tokens = u64::from(state.delivered_tokens);
    let cost = request_cost(state.request.prompt_tokens, tokens);
    let extra = cost.saturating_sub(state.charged_cost);
    state.charged_cost = 0;
    if extra > 0 {
        let queue = pool.queue.tier_mut(state.tier);
        queue.charge(&state.request.account, state.weight, extra);
    }
}
