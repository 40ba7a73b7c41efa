//! Dispatch of waiting requests as slots allow, and the return of slots.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::estimate::request_cost;
use super::flight::{Flight, Phase, Running};
use super::pool::{Admission, PoolState};
use super::preemption::preemption_key;
use super::timer::Timer;
use crate::declaration::{TIER_COUNT, tier_index};
use crate::hash::{hash64, jitter};
use crate::placement::PlacementQuery;
use crate::quarantine::Standing;
use crate::{
    Action, Dispatch, DispatchMode, PoolName, Refusal, RefusalReason, RequestId, ServerName, Tier,
    Timestamp, Verdict,
};

/// Least time without progress before an attempt counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// The same in targets for the time between tokens.
const SILENT_TOKENS: u32 = 30;

/// Outcome that is kept for a fingerprint which crashed backend servers.
const QUARANTINED_MARK: &str = "quarantined";

/// Least time after which a caller comes back to a pool without backend servers.
const NO_SERVER_DELAY: Duration = Duration::from_secs(1);

/// Span over which such callers are spread.
const NO_SERVER_SPAN: Duration = Duration::from_secs(2);

impl Node {
    /// Dispatches what may be dispatched now, in the order of the tiers.
    pub(super) fn pump(&mut self, pool_name: &PoolName) {
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
            let floor = pool.floor_due(tier).is_some_and(|due| due <= self.now);
            match (admission, floor) {
                (Admission::Granted, _) => self.dispatch_next(pool_name, tier, false),
                (Admission::Contested, _) if self.is_last_call(pool_name, tier) => {
                    self.dispatch_expiring(pool_name, tier);
                }
                (Admission::Full, _) if self.make_room(pool_name, tier) => {
                    self.dispatch_expiring(pool_name, tier);
                }
                (_, true) => self.dispatch_next(pool_name, tier, true),
                (_, false) => {
                    withheld = true;
                    tier += 1;
                }
            }
        }
        self.note_waiting(pool_name);
        self.note_demand(pool_name);
    }

    /// Notes which tiers wait and plans their guaranteed progress.
    fn note_waiting(&mut self, pool_name: &PoolName) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let lengths = pool.queue.lengths();
        let mut next_floor: Option<Timestamp> = None;
        for (tier, &length) in (0..).zip(&lengths) {
            let progress = &mut pool.progress[tier_index(tier)];
            if length == 0 {
                progress.waiting_since = None;
                continue;
            }
            progress.waiting_since.get_or_insert(now);
            let Some(due) = pool.floor_due(tier) else {
                continue;
            };
            next_floor = Some(next_floor.map_or(due, |other| other.min(due)));
        }
        if let Some(due) = next_floor {
            self.set_timer(due.max(now), Timer::Pump(pool_name.clone()));
        }
    }

    fn dispatch_next(&mut self, pool_name: &PoolName, tier: Tier, floor: bool) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        if let Some(id) = pool.queue.tier_mut(tier).pop() {
            self.dispatch_waiting(pool_name, id, floor);
        }
    }

    /// Dispatches the request of a tier whose time runs out first.
    ///
    /// It goes before its turn only where the whole demand of its tier fits, so that no account
    /// of the tier loses by it.
    fn dispatch_expiring(&mut self, pool_name: &PoolName, tier: Tier) {
        let first = self.first_to_expire(pool_name, tier);
        if let Some(id) = first.map(|flight| flight.request.id) {
            self.dispatch_waiting(pool_name, id, false);
        }
    }

    fn dispatch_waiting(&mut self, pool_name: &PoolName, id: RequestId, floor: bool) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let tier = flight.tier;
        pool.dequeue(flight);
        let more = !pool.queue.tier(tier).is_empty();
        let progress = &mut pool.progress[tier_index(tier)];
        progress.demand_since = more.then_some(self.now);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let suspect = is_suspect(flight, &self.quarantine);
        let Some(server) = choose_server(pool, flight, suspect) else {
            if suspect && !pool.placement.is_empty() {
                flight.phase = Phase::Isolated;
                pool.isolated.insert(id);
                return;
            }
            let verdict = flight.verdict;
            self.refuse_without_server(id, verdict);
            return;
        };
        let cost = pool.estimates.cost(flight.request.prompt_tokens);
        let queue = pool.queue.tier_mut(tier);
        queue.charge(&flight.request.account, flight.weight, cost);
        flight.charged = cost;
        if flight.attempts == 0 {
            pool.budget.deposit();
        }
        let dispatch_mode = match flight.next_seq {
            0 => DispatchMode::Fresh,
            delivered => DispatchMode::Continue { delivered },
        };
        self.occupy(id, server, dispatch_mode, suspect, floor);
    }

    /// Refuses a request for want of a backend server, while the pool is being pumped.
    fn refuse_without_server(&mut self, id: RequestId, verdict: Verdict) {
        let seed = id.to_le_bytes();
        let delay = NO_SERVER_DELAY + jitter(hash64(&seed), NO_SERVER_SPAN);
        self.remove_flight(id);
        let refusal = Refusal::new(RefusalReason::NoServer);
        let refusal = refusal.verdict(verdict).retry_after(delay);
        self.out.push(Action::Refuse {
            request: id,
            refusal,
        });
    }

    /// Takes a slot of a server and sends the request there.
    pub(super) fn occupy(
        &mut self,
        id: RequestId,
        server: ServerName,
        mode: DispatchMode,
        suspect: bool,
        floor: bool,
    ) {
        let now = self.now;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&flight.request.pool) else {
            return;
        };
        flight.attempts += 1;
        let attempt = flight.attempts;
        let running = Running {
            server: server.clone(),
            attempt,
            started: now,
            last_progress: now,
            has_frames: false,
            resuming: matches!(mode, DispatchMode::Resume { .. }),
            suspect,
        };
        let limit = progress_limit(flight, &running);
        flight.phase = Phase::Running(running);
        pool.running[tier_index(flight.tier)].insert((now, id));
        if flight.request.repeatable && !suspect && !floor {
            let key = preemption_key(flight, now);
            pool.preemptible[tier_index(flight.tier)].insert(key);
        }
        pool.take_slot(now, &server, suspect);
        let tier = flight.tier;
        self.set_timer(now + limit, Timer::Progress(id));
        self.out.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            server,
            mode,
            tier,
            floor,
        }));
    }

    /// Gives back the slot of a running request.
    pub(super) fn vacate(&mut self, id: RequestId) -> Option<Running> {
        let now = self.now;
        let flight = self.flights.get_mut(&id)?;
        let Phase::Running(running) = flight.phase.clone() else {
            return None;
        };
        flight.phase = Phase::Claiming;
        let pool = self.pools.get_mut(&flight.request.pool)?;
        pool.running[tier_index(flight.tier)].remove(&(running.started, id));
        let key = preemption_key(flight, running.started);
        pool.preemptible[tier_index(flight.tier)].remove(&key);
        pool.return_slot(now, &running.server, running.suspect);
        settle_cost(pool, flight);
        if running.suspect {
            let pool_name = flight.request.pool.clone();
            self.wake_isolated(&pool_name);
        }
        Some(running)
    }

    /// Queues the suspects that wait for a server of their own.
    fn wake_isolated(&mut self, pool_name: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        for id in std::mem::take(&mut pool.isolated) {
            let Some(flight) = self.flights.get_mut(&id) else {
                continue;
            };
            pool.enqueue(flight, true);
        }
    }

    /// Ends a request: gives back everything that it holds.
    pub(super) fn remove_flight(&mut self, id: RequestId) -> Option<Flight> {
        let was_running = self.vacate(id).is_some();
        let flight = self.flights.remove(&id)?;
        let account = &flight.request.account;
        if let Some(pool) = self.pools.get_mut(&flight.request.pool) {
            pool.dequeue(&flight);
            pool.isolated.remove(&id);
        }
        if let Some(count) = self.account_flights.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.account_flights.remove(account);
            }
        }
        let may_have_run = was_running || flight.verdict == Verdict::MayHaveRun;
        self.end_claim(&flight, may_have_run);
        self.check_drained();
        Some(flight)
    }

    fn end_claim(&mut self, flight: &Flight, may_have_run: bool) {
        if flight.request.idempotency_key.is_none() && !flight.suspect_claim {
            return;
        }
        let id = flight.request.id;
        let fingerprint = flight.request.fingerprint;
        let quarantined = self.quarantine.standing(fingerprint) == Standing::Quarantined;
        match (flight.suspect_claim, quarantined) {
            // The row stays, so that a VM which has not heard of the crashes learns of them.
            (true, true) => {
                let mark = Some(Arc::from(QUARANTINED_MARK));
                self.claims.complete(self.now, id, mark);
            }
            (false, _) if may_have_run => self.claims.leave(id),
            (true, false) | (false, _) => self.claims.abandon(self.now, id),
        }
        self.schedule_claims();
    }
}

/// Longest time without progress before an attempt counts as silent.
///
/// An attempt that has sent nothing yet may wait for its turn on the backend server, also if
/// the caller already has a part of the answer from an earlier one.
pub(super) fn progress_limit(flight: &Flight, running: &Running) -> Duration {
    if running.has_frames || running.resuming {
        SILENCE_LIMIT.max(flight.per_token * SILENT_TOKENS)
    } else {
        SILENCE_LIMIT + flight.first_token * 2
    }
}

fn is_suspect(flight: &Flight, quarantine: &crate::quarantine::Quarantine) -> bool {
    quarantine.standing(flight.request.fingerprint) == Standing::Suspect
}

fn choose_server(pool: &PoolState, flight: &Flight, suspect: bool) -> Option<ServerName> {
    let wanted = PlacementQuery {
        prefix_hash: flight.request.prefix_hash,
        prompt_tokens: flight.request.prompt_tokens,
        others_waiting: pool.queue.highest_waiting().is_some(),
    };
    if suspect {
        return choose_isolated(pool, &wanted, &flight.tried);
    }
    pool.placement
        .choose(&wanted, &flight.tried)
        .or_else(|| pool.placement.choose(&wanted, &[]))
}

/// Chooses a backend server on which no other suspect runs.
///
/// VMs do not hear of each other's suspects in time, so that each has servers of its own for
/// them, and takes others only when it has none left.
fn choose_isolated(
    pool: &PoolState,
    wanted: &PlacementQuery,
    tried: &[ServerName],
) -> Option<ServerName> {
    let servers = pool.servers.len();
    let mut occupied = tried.to_vec();
    let mut others = tried.to_vec();
    for (name, server) in &pool.servers {
        if server.suspects > 0 {
            occupied.push(name.clone());
        }
        if !pool.place.has_turn(server.index, servers) {
            others.push(name.clone());
        }
    }
    if pool.placement.choose(wanted, &others).is_none() {
        return pool.placement.choose(wanted, &occupied);
    }
    others.extend(occupied);
    pool.placement.choose(wanted, &others)
}

/// Replaces the expected cost of an ended attempt by its real one.
fn settle_cost(pool: &mut PoolState, flight: &mut Flight) {
    let tokens = u64::from(flight.delivered_tokens);
    let cost = request_cost(flight.request.prompt_tokens, tokens);
    let extra = cost.saturating_sub(flight.charged);
    flight.charged = 0;
    if extra > 0 {
        let queue = pool.queue.tier_mut(flight.tier);
        queue.charge(&flight.request.account, flight.weight, extra);
    }
}
