//! Choice of the backend server for one request.
//!
//! Load pattern for engines: long prompts that share their first parts arrive beside short ones
//! whose streams must not pause. Prompts with equal first parts go to the same engine, so that it
//! reads them once, and other engines copy them from there; short streams get engines of their own, since the chunks of a long prompt
//! delay every token beside them; a request whose wait would exceed its target goes where the
//! wait is shorter, or is refused.
//!
//! Load pattern for plain services: few slots, short work, some servers that fail part of their
//! requests or turn slow; the request goes to the least loaded server of those that answer well.

mod reading;

use std::collections::BTreeSet;
use std::time::Duration;

use self::reading::PlannedRead;
use super::server_order::lane_hash;
use super::{Backend, Call, EngineLimits, ServerEntry};
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp};

/// Time that an engine takes for one step while it reads long prompts.
const LOADED_STEP: Duration = Duration::from_millis(55);

/// Tokens that an engine reads while a stream beside it makes one event on time.
const QUIET_READ_TOKENS: f64 = 6000.0;

/// Cost of a stream that becomes late, in requests.
const LATE_COST: f64 = 0.8;

/// Cost of a second of an engine's reading time, which others then wait for, in requests.
const READ_SECOND_COST: f64 = 5.0;

/// Cost of leaving the engines that are meant for the kind of request.
const LANE_COST: f64 = 0.5;

/// Part of an engine's memory that running requests may fill before others are preempted.
const MEMORY_PART: f64 = 0.85;

/// Cost from which a place is not taken: that of an engine without a slot or memory, or of one
/// where several short streams would become late.
const FULL_COST: f64 = 4.0;

/// Places beyond the slots that urgent requests may wait for, as a part of the slots.
const URGENT_SLOTS_PART: u32 = 4;

/// Part of the target that the wait may take before it costs.
const WAIT_FREE: f64 = 0.6;

/// Part of the target within which the first event of a new request has to be expected.
const ADMIT_WAIT: f64 = 0.9;

/// Part of the patience of a caller within which the first event has to be expected at all.
const PATIENCE_PART: f64 = 0.7;

/// Part of the target of more urgent prompts that others may queue before them at an engine; the
/// rest is for reading their own.
const URGENT_ROOM_PART: f64 = 0.75;

/// Cost of a plain request in flight, against a server that fails all its requests.
const ERROR_COST_REQUESTS: f64 = 8.0;

/// Cost of crossing availability zones, in plain requests in flight.
const ZONE_COST_REQUESTS: f64 = 0.4;

/// Age up to which the load that a plain server tells is used.
const REPORT_AGE: Duration = Duration::from_millis(400);

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Backend server that it goes to.
    pub server: ServerName,
    /// Cost of reading its prompt there, in tokens.
    pub read_cost: f64,
    /// Expected time to its first event there.
    pub expected_wait: Duration,
    /// Engine that has read the shared parts of the prompt, if they are to be copied from it.
    pub copy_from: Option<ServerName>,
    /// Whether reads of others would make it late.
    pub interactive: bool,
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoChoice {
    /// No backend server of the service can be used.
    NoServer,
    /// The first event would come too late; the wait that is expected at best.
    TooLate(Duration),
    /// All places are taken.
    Full,
    /// What waits to be read leaves room for more urgent prompts only; the least wait.
    Yields(Duration),
}

/// A backend server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its entry in the registry.
    pub entry: &'a ServerEntry,
    /// What is believed about it.
    pub backend: &'a Backend,
}

/// What a choice depends on beside the request.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Moment of the choice.
    pub now: Timestamp,
    /// Availability zone of this VM.
    pub availability_zone: &'a str,
    /// Limits of the engines, if the service consists of model engines.
    pub engine: Option<EngineLimits>,
    /// Engines that are kept for interactive streams.
    pub interactive_engines: usize,
    /// Those of the candidates that are kept for interactive streams, if they are only a few of
    /// all engines; else the lane is made up of the candidates.
    pub lane: Option<&'a BTreeSet<ServerName>>,
    /// Shortest target of more urgent prompts that arrive at the service and wait for reads.
    pub urgent_target: Option<Duration>,
}

impl Placement<'_> {
    /// Says whether the streams of a call become late when an engine reads long prompts.
    #[must_use]
    pub fn is_interactive(&self, call: &Call) -> bool {
        let (Some(engine), Some(gap_target)) = (self.engine, call.route.gap_target) else {
            return false;
        };
        gap_target <= LOADED_STEP * engine.tokens_per_event
    }

    /// Chooses a server for a call.
    ///
    /// # Errors
    ///
    /// Returns why no server is of use.
    pub fn choose(&self, call: &Call, candidates: &[Candidate]) -> Result<Choice, NoChoice> {
        let mut usable: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            if !candidate.backend.is_ejected(self.now) {
                usable.push(*candidate);
            }
        }
        // When most of a service seems to be dead, the fault is likely on this side.
        if usable.len() * 2 < candidates.len() {
            usable = candidates.to_vec();
        }
        if usable.is_empty() {
            return Err(NoChoice::NoServer);
        }
        match (self.engine, &call.prompt) {
            (Some(engine), Some(_)) => self.choose_engine(call, &usable, engine),
            _ => self.choose_plain(call, &usable),
        }
    }

    fn choose_plain(&self, call: &Call, candidates: &[Candidate]) -> Result<Choice, NoChoice> {
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            let cost = self.plain_cost(call, candidate);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        let Some((_, candidate)) = best else {
            return Err(NoChoice::NoServer);
        };
        Ok(Choice {
            server: candidate.entry.id.clone(),
            read_cost: 0.0,
            expected_wait: Duration::ZERO,
            copy_from: None,
            interactive: false,
        })
    }

    fn plain_cost(&self, call: &Call, candidate: &Candidate) -> f64 {
        let backend = candidate.backend;
        let known = f64::from(backend.running());
        let told = backend
            .reported(self.now, REPORT_AGE)
            .map_or(0.0, |report| {
                f64::from(report.running.saturating_sub(1) + report.waiting)
            });
        let slots = f64::from(candidate.entry.slots.max(1));
        let load = known.max(told);
        // Beyond its slots a server queues, which costs more than another zone.
        let queued = (load + 1.0 - slots).max(0.0);
        let is_near = *candidate.entry.availability_zone == *self.availability_zone;
        let zone = if is_near { 0.0 } else { ZONE_COST_REQUESTS };
        let errors = ERROR_COST_REQUESTS * backend.error_share();
        let cold = if candidate.entry.warm_up.is_zero() {
            0.0
        } else {
            1.0
        };
        let spread = mix64(call.id, hash64(candidate.entry.id.as_bytes())) % 1000;
        let tie = f64::from(u32::try_from(spread).unwrap_or(0)) / 10_000.0;
        load + queued * 4.0 + zone + errors + cold + tie
    }

    fn choose_engine(
        &self,
        call: &Call,
        candidates: &[Candidate],
        engine: EngineLimits,
    ) -> Result<Choice, NoChoice> {
        let interactive = self.is_interactive(call);
        let lane = match self.lane {
            Some(lane) => lane.clone(),
            None => self.interactive_lane(candidates),
        };
        // Where nobody is known to have the shared parts, all VMs agree on who gets them.
        let home = if self.is_known(call, candidates) {
            None
        } else {
            home_of(call, candidates, &lane, interactive)
        };
        let admitted_wait = self.admitted_wait(call);
        let mut best: Option<(f64, Choice)> = None;
        let mut least_wait = Duration::MAX;
        let mut yields = false;
        let mut full = false;
        for candidate in candidates {
            let in_lane = lane.contains(&candidate.entry.id) == interactive;
            let is_home = home.as_ref() == Some(&candidate.entry.id);
            let read = self.plan_read(call, candidate, candidates, engine, is_home);
            let (mut cost, is_full, choice) =
                engine_cost(call, candidate, engine, interactive, read);
            least_wait = least_wait.min(choice.expected_wait);
            if choice.expected_wait > admitted_wait {
                continue;
            }
            if self.takes_urgent_room(candidate.backend, &choice) {
                yields = true;
                continue;
            }
            if is_full {
                full = true;
                continue;
            }
            if !in_lane {
                cost += LANE_COST;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        match best {
            Some((_, choice)) => Ok(choice),
            None if full => Err(NoChoice::Full),
            None if yields => Err(NoChoice::Yields(least_wait)),
            None => Err(NoChoice::TooLate(least_wait)),
        }
    }

    /// Says whether a prompt would make more urgent ones late that come after it.
    ///
    /// Engines admit prompts by rank, but finish those that they have begun to read. An engine that
    /// has nothing to read takes a prompt of any length.
    fn takes_urgent_room(&self, backend: &Backend, choice: &Choice) -> bool {
        let Some(target) = self.urgent_target else {
            return false;
        };
        let ahead = backend.backlog_tokens();
        let queued_ms = (ahead + choice.read_cost) / backend.read_rate();
        let room_ms = target.as_secs_f64() * 1000.0 * URGENT_ROOM_PART;
        ahead > 0.0 && queued_ms > room_ms
    }

    /// Longest wait for the first event with which a call is admitted.
    ///
    /// Under lasting overload, admitting more only makes everyone late, so that a new request has
    /// to be expected within its target. One that was sent away before is served late as well.
    fn admitted_wait(&self, call: &Call) -> Duration {
        let patience = call.patience(self.now).mul_f64(PATIENCE_PART);
        if call.has_returned() {
            return patience;
        }
        patience.min(call.route.latency_target.mul_f64(ADMIT_WAIT))
    }

    fn interactive_lane(&self, candidates: &[Candidate]) -> BTreeSet<ServerName> {
        let mut order: Vec<(u64, &ServerName)> = Vec::new();
        for candidate in candidates {
            let id = &candidate.entry.id;
            order.push((lane_hash(id), id));
        }
        order.sort_unstable();
        let most = candidates.len() / 2;
        order
            .into_iter()
            .take(self.interactive_engines.min(most))
            .map(|(_, id)| id.clone())
            .collect()
    }
}

/// First choice for a prompt among the engines that are meant for its kind.
fn home_of(
    call: &Call,
    candidates: &[Candidate],
    lane: &BTreeSet<ServerName>,
    interactive: bool,
) -> Option<ServerName> {
    let key = call.prompt.as_ref()?.shared_key();
    let mut best: Option<(u64, &ServerName)> = None;
    for candidate in candidates {
        let id = &candidate.entry.id;
        if lane.contains(id) != interactive {
            continue;
        }
        let weight = mix64(key, hash64(id.as_bytes()));
        if best.is_none_or(|(most, _)| weight > most) {
            best = Some((weight, id));
        }
    }
    best.map(|(_, id)| id.clone())
}

/// Cost of a prompt at an engine, whether the engine is full, and what is expected there.
fn engine_cost(
    call: &Call,
    candidate: &Candidate,
    engine: EngineLimits,
    interactive: bool,
    read: PlannedRead,
) -> (f64, bool, Choice) {
    let backend = candidate.backend;
    let rate = backend.read_rate();
    let PlannedRead {
        read_cost,
        copy_ms,
        copy_from,
    } = read;
    // The copy is made while the prompts before are read.
    let ahead_ms = (backend.read_ahead(call.priority()) / rate).max(copy_ms);
    let wait_ms = ahead_ms + read_cost / rate;
    let target_ms = call.route.latency_target.as_secs_f64() * 1000.0;
    let waited = wait_ms / target_ms.max(1.0);
    let mut cost = ((waited - WAIT_FREE) / (1.0 - WAIT_FREE)).max(0.0);
    if interactive {
        let pressed = backend.backlog_tokens() / QUIET_READ_TOKENS;
        cost += LATE_COST * pressed.min(1.0);
    } else {
        let harmed = f64::from(backend.interactive());
        cost += LATE_COST * harmed * (read_cost / QUIET_READ_TOKENS).min(1.0) * 0.5;
    }
    cost += backend.error_share();
    let running = backend.running();
    let slots = candidate.entry.slots.max(1);
    let memory = f64::from(backend.memory_tokens());
    let capacity = f64::from(u32::try_from(engine.memory_tokens).unwrap_or(u32::MAX));
    // Urgent requests are begun before others that wait for a slot.
    let no_slot = backend.running_until(call.priority()) >= slots
        || running >= slots.saturating_add(slots / URGENT_SLOTS_PART);
    if no_slot || (running > 0 && memory > capacity * MEMORY_PART) {
        cost += FULL_COST;
    }
    let is_full = cost >= FULL_COST;
    cost += READ_SECOND_COST * (read_cost / rate + copy_ms) / 1000.0;
    // Spreads interactive streams over their engines.
    cost += 0.2 * f64::from(running) / f64::from(slots);
    let choice = Choice {
        server: candidate.entry.id.clone(),
        read_cost,
        expected_wait: Duration::from_secs_f64(wait_ms / 1000.0),
        copy_from,
        interactive,
    };
    (cost, is_full, choice)
}
