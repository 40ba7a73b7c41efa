//! Selects the backend server for a request.
//!
//! Inference engines: long prompts with shared prefixes arrive next to short streams that must not
//! pause. Prompts with the same prefix go to the same engine, which prefills it once, and other
//! engines copy the KV cache from there. Short streams go to a separate group of engines where
//! possible, because the prefill chunks of a long prompt delay every token generated next to them.
//! A request whose expected wait exceeds its target goes to an engine with a shorter wait or is
//! rejected.
//!
//! Plain services: servers have few slots and short requests, and some fail part of their requests
//! or become slow. A request goes to the least loaded server, with failing servers penalized.

mod candidate;
mod engine_cost;
mod even_load;
mod gap_cost;
mod obstacle;
mod placement_error;
mod placement_survey;
mod prefill;
mod server_choice;

use std::collections::BTreeSet;
use std::time::Duration;

pub(super) use self::candidate::Candidate;
use self::engine_cost::engine_cost;
pub use self::even_load::EvenLoad;
pub use self::obstacle::Obstacle;
pub use self::placement_error::PlacementError;
pub use self::placement_survey::PlacementSurvey;
use self::prefill::PrefillPlan;
pub use self::server_choice::ServerChoice;
use super::server_order::group_hash;
use super::{Backend, Call, EngineLimits, GapModel, LoadReport, StreamKind};
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp};

/// Duration of one engine step while the engine prefills long prompts.
const LOADED_STEP_TIME: Duration = Duration::from_millis(55);

/// Cost of using an engine outside the group for the kind of request.
const GROUP_MISMATCH_COST: f64 = 0.5;

/// As [`GROUP_MISMATCH_COST`], for an interactive stream without a tight gap target at an engine for those
/// that have one.
const TIGHT_GROUP_COST: f64 = 1.0;

/// Share of the target within which the first event of a new request has to be expected.
const ADMITTED_WAIT_SHARE: f64 = 0.9;

/// Share of the caller's patience within which the first event of any request has to be expected.
const PATIENCE_SHARE: f64 = 0.7;

/// Share of a more urgent prompt's target that prompts queued before it may take; the rest is left
/// for its own prefill.
const URGENT_QUEUE_SHARE: f64 = 0.75;

/// Cost of a plain server that fails every request, in requests in flight.
const ERROR_COST_REQUESTS: f64 = 8.0;

/// Cost of crossing availability zones, in requests in flight.
const ZONE_COST_REQUESTS: f64 = 0.4;

/// Maximum age at which the load reported by a plain server is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Slowdown of a plain server's machine from which the server counts as more loaded.
const MIN_SLOWDOWN: f64 = 1.25;

/// Inputs to a placement decision other than the request and the candidates.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Time of the decision.
    pub now: Timestamp,
    /// Availability zone of this VM.
    pub availability_zone: &'a str,
    /// Limits of the engines, if the service consists of inference engines.
    pub engine: Option<EngineLimits>,
    /// Number of engines in the interactive group, which interactive streams use first.
    pub interactive_group_size: usize,
    /// Candidates in the interactive group, if the candidates are only a sample of all
    /// engines; otherwise the group is selected from the candidates.
    pub interactive_group: Option<&'a BTreeSet<ServerName>>,
    /// Candidates of the interactive group that streams with tight gap targets use first.
    pub tight_group: Option<&'a BTreeSet<ServerName>>,
    /// Shortest target among more urgent prompts that are expected at the service and not
    /// interactive.
    pub urgent_target: Option<Duration>,
    /// Load of the service, if its servers are kept evenly loaded.
    pub even_load: Option<EvenLoad>,
    /// Predicts gaps between events, if some routes of the service have a tight gap target.
    pub gap_model: Option<GapModel>,
}

impl PlacementContext<'_> {
    /// Kind of a call, which decides the engines that it uses first.
    #[must_use]
    pub fn kind(&self, call: &Call) -> StreamKind {
        let limits = self.gap_model.and(self.engine);
        if let (Some(engine), Some(gap_target)) = (limits, call.route.gap_target)
            && engine.is_tight(gap_target)
        {
            return StreamKind::Tight;
        }
        if self.is_interactive(call) {
            StreamKind::Interactive
        } else {
            StreamKind::Other
        }
    }

    /// Returns whether the stream of a call becomes late while its engine prefills long prompts.
    #[must_use]
    pub fn is_interactive(&self, call: &Call) -> bool {
        let (Some(engine), Some(gap_target)) = (self.engine, call.route.gap_target) else {
            return false;
        };
        gap_target <= LOADED_STEP_TIME * engine.tokens_per_event
    }

    /// Selects a server for a call.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can be selected.
    pub fn choose(
        &self,
        call: &Call,
        candidates: &[Candidate],
    ) -> Result<ServerChoice, PlacementError> {
        let mut open: Vec<Candidate> = Vec::new();
        let mut least_wait = Duration::MAX;
        let mut paused = 0;
        for candidate in candidates {
            paused += usize::from(candidate.pause.is_some());
            match candidate.wait() {
                None => open.push(*candidate),
                Some(wait) => least_wait = least_wait.min(wait),
            }
        }
        if open.is_empty() && !candidates.is_empty() {
            return Err(PlacementError::Limited(least_wait));
        }
        let mut usable: Vec<Candidate> = Vec::new();
        for candidate in &open {
            match candidate.backend.ejection_left(self.now) {
                None => usable.push(*candidate),
                Some(left) => least_wait = least_wait.min(left),
            }
        }
        // If more than half of the candidates are ejected, the fault is likely on this VM, so the
        // ejections are ignored, but for servers that accept no connection while others do. Servers
        // that pause have answered this VM.
        if (usable.len() + paused) * 2 < open.len() + paused {
            let now = self.now;
            if !usable.is_empty() {
                open.retain(|candidate| !candidate.backend.is_unreachable(now));
            }
            usable = open;
        }
        if usable.is_empty() {
            return Err(if paused > 0 {
                PlacementError::Limited(least_wait)
            } else {
                PlacementError::NoServer
            });
        }
        usable.retain(|candidate| candidate.has_room);
        if usable.is_empty() {
            return Err(PlacementError::Full);
        }
        match (self.engine, &call.prompt) {
            (Some(engine), Some(_)) => self.choose_engine(call, &usable, engine),
            _ => self.choose_plain(call, &usable),
        }
    }

    fn choose_plain(
        &self,
        call: &Call,
        candidates: &[Candidate],
    ) -> Result<ServerChoice, PlacementError> {
        let candidate = match self.even_load {
            Some(even_load) => self.choose_with_room(even_load, candidates),
            None => self.least_plain_cost(call, candidates),
        };
        let Some(candidate) = candidate else {
            return Err(PlacementError::NoServer);
        };
        Ok(ServerChoice {
            server: candidate.entry.id.clone(),
            prefill_cost: 0.0,
            expected_wait: Duration::ZERO,
            copy_from: None,
            interactive: false,
            tight: false,
            expected_gap: None,
        })
    }

    fn least_plain_cost<'a>(
        &self,
        call: &Call,
        candidates: &'a [Candidate<'a>],
    ) -> Option<&'a Candidate<'a>> {
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            let cost = self.plain_cost(call, candidate);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    fn plain_cost(&self, call: &Call, candidate: &Candidate) -> f64 {
        let backend = candidate.backend;
        let tracked_load = f64::from(backend.running());
        let report = backend.reported(self.now, MAX_REPORT_AGE);
        let reported_load = report.map_or(0.0, |report| {
            f64::from(report.running.saturating_sub(1) + report.waiting)
        });
        let slots = f64::from(candidate.entry.slots.max(1));
        let load = tracked_load.max(reported_load);
        // A request beyond the slots is queued, which costs more than crossing zones.
        let queued = (load + 1.0 - slots).max(0.0);
        // On a slow machine, the request and those before it take longer.
        let slowdown = report.as_ref().map_or(1.0, LoadReport::slowdown);
        let slow = if slowdown > MIN_SLOWDOWN {
            (load + 1.0) * (slowdown - 1.0)
        } else {
            0.0
        };
        let [zone, errors, cold] = self.costs_beside_load(candidate);
        let spread = mix64(call.id, hash64(candidate.entry.id.as_bytes())) % 1000;
        let tie_breaker = f64::from(u32::try_from(spread).unwrap_or(0)) / 10_000.0;
        load + queued * 4.0 + slow + zone + errors + cold + tie_breaker
    }

    /// Costs of a plain server beside its load, in requests in flight: those of its zone, its errors and its
    /// warm-up.
    fn costs_beside_load(&self, candidate: &Candidate) -> [f64; 3] {
        let is_same_zone = *candidate.entry.availability_zone == *self.availability_zone;
        let zone = if is_same_zone {
            0.0
        } else {
            ZONE_COST_REQUESTS
        };
        let errors = ERROR_COST_REQUESTS * candidate.backend.error_rate();
        let cold = if candidate.entry.warm_up.is_zero() {
            0.0
        } else {
            1.0
        };
        [zone, errors, cold]
    }

    fn choose_engine(
        &self,
        call: &Call,
        candidates: &[Candidate],
        engine: EngineLimits,
    ) -> Result<ServerChoice, PlacementError> {
        let kind = self.kind(call);
        let interactive_group = match self.interactive_group {
            Some(interactive_group) => interactive_group.clone(),
            None => self.select_interactive_group(candidates),
        };
        let mismatch_costs = |id: &ServerName| {
            let is_interactive = interactive_group.contains(id);
            let is_tight = self.tight_group.is_some_and(|group| group.contains(id));
            mismatch_cost(kind, is_interactive, is_tight)
        };
        // If no engine is known to have the shared parts, the home engine is treated as if it had
        // most of them. VMs compute the same one from the same candidates, so their prompts meet
        // there.
        let home = if self.is_prefix_placed(call, candidates) {
            None
        } else {
            home_engine(call, candidates, |id| mismatch_costs(id) <= 0.0)
        };
        let mut best: Option<(f64, ServerChoice)> = None;
        let mut least_wait = Duration::MAX;
        let mut obstacles = BTreeSet::new();
        for candidate in candidates {
            let is_home = home.as_ref() == Some(&candidate.entry.id);
            let plan = self.plan_prefill(call, candidate, candidates, engine, is_home);
            let crowd = self.crowd_cost(call, candidate, &plan);
            let (mut cost, obstacle, choice) =
                self.assess_engine(call, candidate, engine, kind, plan);
            least_wait = least_wait.min(choice.expected_wait);
            if let Some(obstacle) = obstacle {
                obstacles.insert(obstacle);
                continue;
            }
            cost += crowd;
            cost += mismatch_costs(&candidate.entry.id);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        match best {
            Some((_, choice)) => Ok(choice),
            None if obstacles.iter().any(|obstacle| obstacle.is_full()) => {
                Err(PlacementError::Full)
            }
            None if obstacles.contains(&Obstacle::Yields)
                || obstacles.contains(&Obstacle::Cold) =>
            {
                Err(PlacementError::Yields(least_wait))
            }
            None => Err(PlacementError::TooLate(least_wait)),
        }
    }

    /// Returns the cost of a call at an engine, what rules the engine out, and the resulting choice.
    fn assess_engine(
        &self,
        call: &Call,
        candidate: &Candidate,
        engine: EngineLimits,
        kind: StreamKind,
        plan: PrefillPlan,
    ) -> (f64, Option<Obstacle>, ServerChoice) {
        let ahead = candidate.backend.prefill_ahead(call.priority());
        let is_cold =
            !candidate.is_preferred && ahead > 0.0 && self.lacks_shared_parts(call, candidate);
        let gap_cost = self.gap_cost(call, candidate, &plan);
        let (cost, full, choice) = engine_cost(call, candidate, engine, kind, plan, gap_cost);
        let obstacle = if choice.expected_wait > self.max_admitted_wait(call) {
            Some(Obstacle::Late)
        } else if self.delays_urgent_prompts(ahead, candidate.backend, &choice) {
            Some(Obstacle::Yields)
        } else if is_cold {
            Some(Obstacle::Cold)
        } else {
            full
        };
        (cost, obstacle, choice)
    }

    /// Returns whether prefilling a prompt would make more urgent prompts that arrive later miss
    /// their target; `ahead` are the tokens that the engine prefills before it.
    ///
    /// Engines admit prompts by priority but do not preempt a prefill that has begun. An engine
    /// without a backlog accepts a prompt of any length. A backlog that is less urgent than the prompt
    /// waits behind it, as it does behind those that arrive later.
    fn delays_urgent_prompts(&self, ahead: f64, backend: &Backend, choice: &ServerChoice) -> bool {
        let Some(target) = self.urgent_target else {
            return false;
        };
        let queued_ms = (ahead + choice.prefill_cost) / backend.prefill_rate();
        let allowed_ms = target.as_secs_f64() * 1000.0 * URGENT_QUEUE_SHARE;
        ahead > 0.0 && queued_ms > allowed_ms
    }

    /// Returns the longest expected wait for the first event at which a call is admitted.
    ///
    /// Under sustained overload, admitting more requests makes all of them late, so a new request
    /// must be expected within its target. A caller that was refused before, or that has received part
    /// of a stream, is admitted even if it will be late.
    fn max_admitted_wait(&self, call: &Call) -> Duration {
        let patience = call.patience(self.now).mul_f64(PATIENCE_SHARE);
        if call.is_likely_retry() || call.is_resumption() {
            return patience;
        }
        patience.min(call.route.latency_target.mul_f64(ADMITTED_WAIT_SHARE))
    }

    fn select_interactive_group(&self, candidates: &[Candidate]) -> BTreeSet<ServerName> {
        let mut order: Vec<(u64, &ServerName)> = Vec::new();
        for candidate in candidates {
            let id = &candidate.entry.id;
            order.push((group_hash(id), id));
        }
        order.sort_unstable();
        let max_size = candidates.len() / 2;
        order
            .into_iter()
            .take(self.interactive_group_size.min(max_size))
            .map(|(_, id)| id.clone())
            .collect()
    }
}

/// Cost of an engine for its group, which is `is_interactive`, and among those for tight gap targets if
/// `is_tight`.
const fn mismatch_cost(kind: StreamKind, is_interactive: bool, is_tight: bool) -> f64 {
    match (kind, is_interactive, is_tight) {
        (StreamKind::Tight, true, true)
        | (StreamKind::Interactive, true, false)
        | (StreamKind::Other, false, _) => 0.0,
        (StreamKind::Interactive, _, true) => TIGHT_GROUP_COST,
        _ => GROUP_MISMATCH_COST,
    }
}

/// Selects the engine for a prompt prefix by rendezvous hashing within the group for the kind of
/// request.
fn home_engine(
    call: &Call,
    candidates: &[Candidate],
    is_in_group: impl Fn(&ServerName) -> bool,
) -> Option<ServerName> {
    let key = call.prompt.as_ref()?.prefix_key();
    let mut best: Option<(u64, &ServerName)> = None;
    for candidate in candidates {
        let id = &candidate.entry.id;
        if !is_in_group(id) {
            continue;
        }
        let weight = mix64(key, hash64(id.as_bytes()));
        if best.is_none_or(|(highest, _)| weight > highest) {
            best = Some((weight, id));
        }
    }
    best.map(|(_, id)| id.clone())
}
