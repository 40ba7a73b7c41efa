//! Load and health of one backend server as known to one VM.
//!
//! Requests sent by this VM count immediately; those of other VMs arrive in digests. The load
//! reported by the server itself is late and the same for every VM, so it only serves as a
//! correction. `docs/design/platform.md` describes the engine model.

mod health;
mod load;
mod own_load;
mod rate_limiter;

use std::collections::BTreeMap;
use std::time::Duration;

use self::health::Health;
pub use self::load::{LoadReport, PeerLoad, PrefillLoad};
pub(super) use self::rate_limiter::{LimitShare, RateLimiter};
use super::number::to_u32;
use super::{Call, CallId, LoadNews, PartCache, PartId, PartState, Priority};
use crate::{FailureKind, Timestamp, VmId};

/// Prefill rate of an engine before the first measurement, in tokens per ms.
const INITIAL_PREFILL_RATE: f64 = 45.0;

/// Range that measured prefill rates are clamped to, in tokens per ms.
const PREFILL_RATE_RANGE: (f64, f64) = (5.0, 400.0);

/// Weight of a new measurement in the prefill rate.
const PREFILL_RATE_GAIN: f64 = 0.1;

/// Minimum number of tokens for a measurement; with fewer, the time to first token says little
/// about the prefill rate.
const MIN_SAMPLE_TOKENS: f64 = 3000.0;

/// Relative increase in the cost of prefilling a token for each token of context before it.
const CONTEXT_COST_PER_TOKEN: f64 = 2.5e-5;

/// Time after which the load of a VM that sends no digests is dropped.
const PEER_TTL: Duration = Duration::from_millis(2500);

/// Age at which aggregated load is dropped; an engine prefills several prompts in that time.
const AGGREGATED_LOAD_TTL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct PeerState {
    load: PeerLoad,
    seen: Timestamp,
}

#[derive(Clone, Debug)]
struct InFlight {
    sent: Timestamp,
    priority: Priority,
    prefill_tokens: u32,
    tokens_to_first: f64,
    memory_tokens: u32,
    prefilling: bool,
    /// Whether the server has been silent since the request was sent.
    saw_silence: bool,
    interactive: bool,
    shared_parts: Vec<PartId>,
}

/// Load and health of one backend server as known to one VM.
#[derive(Clone, Debug)]
pub struct Backend {
    in_flight: BTreeMap<CallId, InFlight>,
    peers: BTreeMap<VmId, PeerState>,
    aggregated: Option<PeerState>,
    prefill_rate: f64,
    cached: PartCache,
    report: Option<(Timestamp, LoadReport)>,
    own_report: Option<LoadReport>,
    health: Health,
    last_progress: Timestamp,
    pub(super) limiter: RateLimiter,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new()
    }
}

impl Backend {
    /// Creates the state of a server about which nothing is known.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            in_flight: BTreeMap::new(),
            peers: BTreeMap::new(),
            aggregated: None,
            prefill_rate: INITIAL_PREFILL_RATE,
            cached: PartCache::new(),
            report: None,
            own_report: None,
            health: Health::new(),
            last_progress: Duration::ZERO,
            limiter: RateLimiter::new(),
        }
    }

    /// Resets what a restart of the server's process invalidates; requests in flight are kept until
    /// they end.
    pub fn restart(&mut self) {
        self.cached.clear();
        self.report = None;
        self.own_report = None;
        self.health = Health::new();
        self.limiter = RateLimiter::new();
    }

    /// Cost of prefilling the uncached tokens of a prompt, in tokens without context.
    #[must_use]
    pub fn prefill_cost_of(prompt_tokens: f64, uncached: f64) -> f64 {
        let context = prompt_tokens - uncached / 2.0;
        uncached * (1.0 + CONTEXT_COST_PER_TOKEN * context.max(0.0))
    }

    /// State of a prompt part on the server; `None` if the server is not known to have it.
    #[must_use]
    pub fn part(&self, now: Timestamp, part: PartId) -> Option<PartState> {
        self.cached.state(now, part)
    }

    /// Records a request that is sent to the server.
    pub fn note_sent(&mut self, now: Timestamp, call: &Call, prefill_cost: f64, interactive: bool) {
        let prefill_tokens = to_u32(prefill_cost);
        let priority = call.priority();
        let tokens_to_first = self.prefill_ahead(priority) + prefill_cost;
        let mut memory_tokens = 0;
        let mut shared_parts = Vec::new();
        if let Some(prompt) = &call.prompt {
            // Cached parts are shared and are not counted again.
            memory_tokens = prefill_tokens.min(prompt.prompt_tokens) + prompt.max_output_tokens / 2;
            for part in &prompt.parts {
                self.cached.note_sent(now, part.id);
            }
            shared_parts.extend(prompt.shared_parts().iter().map(|part| part.id));
        }
        let request = InFlight {
            sent: now,
            priority,
            prefill_tokens,
            tokens_to_first,
            memory_tokens,
            prefilling: true,
            saw_silence: false,
            interactive,
            shared_parts,
        };
        self.in_flight.insert(call.id, request);
        self.limiter.note_sent();
    }

    /// Records the first token of a request and updates the prefill rate.
    pub fn note_first_token(&mut self, now: Timestamp, call: CallId) {
        self.last_progress = now;
        let Some(request) = self.in_flight.get_mut(&call) else {
            return;
        };
        if !request.prefilling {
            return;
        }
        request.prefilling = false;
        let waited_ms = now.saturating_sub(request.sent).as_secs_f64() * 1000.0;
        let is_sample = request.tokens_to_first >= MIN_SAMPLE_TOKENS && !request.saw_silence;
        if is_sample && waited_ms > 0.0 {
            let (least, most) = PREFILL_RATE_RANGE;
            let sample = (request.tokens_to_first / waited_ms).clamp(least, most);
            self.prefill_rate += PREFILL_RATE_GAIN * (sample - self.prefill_rate);
        }
    }

    /// Records that bytes arrived from the server.
    pub fn note_progress(&mut self, now: Timestamp) {
        self.last_progress = now;
    }

    /// Time at which bytes last arrived from the server.
    #[must_use]
    pub const fn last_progress(&self) -> Timestamp {
        self.last_progress
    }

    /// Removes a request that has ended on the server.
    pub fn note_ended(&mut self, call: CallId) {
        self.in_flight.remove(&call);
    }

    /// Records an answer of the server and whether it was a success.
    pub fn note_answer(&mut self, now: Timestamp, success: bool) {
        self.last_progress = now;
        self.health.note_answer(success);
    }

    /// Records a failure; returns whether it ejects the server.
    pub fn note_failure(&mut self, now: Timestamp, kind: FailureKind) -> bool {
        if kind == FailureKind::Silent {
            return self.note_silence(now);
        }
        let is_ejected = self.health.note_failure(now, kind);
        if is_ejected {
            self.cached.clear();
        }
        is_ejected
    }

    /// Records that the server is silent; returns whether that ejects it.
    ///
    /// All requests at the server notice one silence, so it counts only until the server is ejected.
    /// The server may be sound, and keeps the prompt parts that it has.
    fn note_silence(&mut self, now: Timestamp) -> bool {
        for request in self.in_flight.values_mut() {
            request.saw_silence = true;
        }
        !self.is_ejected(now) && self.health.note_failure(now, FailureKind::Silent)
    }

    /// Returns whether the server is ejected and gets no requests.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejection_left(now).is_some()
    }

    /// Time until the server is no longer ejected; `None` if it is not.
    #[must_use]
    pub fn ejection_left(&self, now: Timestamp) -> Option<Duration> {
        self.health.ejection_left(now)
    }

    /// Whether the server is ejected because it accepted no connection from this VM.
    #[must_use]
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        self.is_ejected(now) && self.health.is_unreachable()
    }

    /// Ends an ejection because of connections that failed while this VM was cut off.
    pub fn end_unreachable(&mut self) {
        self.health.end_unreachable();
    }

    /// Time until the server may get a request from this VM again; `None` if it may now.
    #[must_use]
    pub fn limit_wait(&self) -> Option<Duration> {
        (!self.limiter.is_open()).then(|| self.limiter.wait())
    }

    /// Moving average of the share of requests that failed.
    #[must_use]
    pub const fn error_rate(&self) -> f64 {
        self.health.error_rate()
    }

    /// Records the load that the server reports to this VM.
    pub fn note_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = Some((now, report));
        self.own_report = Some(report);
    }

    /// Records the load that another VM puts on the server.
    pub fn note_peer(&mut self, now: Timestamp, vm: VmId, load: PeerLoad) {
        self.note_parts(now, &load);
        if let Some(report) = load.report {
            self.report = Some((now, report));
        }
        self.peers.insert(vm, PeerState { load, seen: now });
    }

    /// Records the load of all other VMs, as received from the VM that aggregates it for this
    /// server.
    pub fn note_aggregated_load(&mut self, now: Timestamp, load: PeerLoad) {
        self.note_parts(now, &load);
        if let Some(report) = load.report {
            self.report = Some((now, report));
        }
        self.aggregated = Some(PeerState { load, seen: now });
    }

    fn note_parts(&mut self, now: Timestamp, load: &PeerLoad) {
        for (&part, &state) in &load.parts {
            self.cached.note_reported(now, part, state);
        }
    }

    /// Load of all VMs except `vm`, to be sent to `vm`, with the state of the given prompt parts.
    #[must_use]
    pub fn aggregated_load_for(&self, now: Timestamp, vm: VmId, parts: &[PartId]) -> PeerLoad {
        let mut total = self.own_load();
        for (_, peer) in self.peers.iter().filter(|(id, _)| **id != vm) {
            total.add(&peer.load);
        }
        total.report = self.report.map(|(_, report)| report);
        total.parts.clear();
        for &part in parts {
            if let Some(state) = self.part(now, part) {
                total.parts.insert(part, state);
            }
        }
        total
    }

    /// Drops the load of a VM that has shut down.
    pub fn forget_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
    }

    /// Drops load from other VMs that has not been refreshed in time.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| peer.seen + PEER_TTL > now);
        self.aggregated
            .take_if(|aggregated| aggregated.seen + AGGREGATED_LOAD_TTL <= now);
    }

    /// Load of other VMs: the aggregated load if there is any, otherwise the load in their digests.
    fn other_vm_loads(&self) -> impl Iterator<Item = &PeerLoad> {
        let peers = self.peers.values().filter(|_| self.aggregated.is_none());
        self.aggregated.iter().chain(peers).map(|state| &state.load)
    }

    fn other_vms_total(&self, field: impl Fn(&PeerLoad) -> u32) -> u32 {
        self.other_vm_loads().map(field).sum()
    }

    fn load_up_to(&self, priority: Priority) -> PrefillLoad {
        let mut total = PrefillLoad::default();
        for (_, &prefill) in self.own_prefill().range(..=priority) {
            total.add(prefill);
        }
        for load in self.other_vm_loads() {
            for (_, &prefill) in load.prefill.range(..=priority) {
                total.add(prefill);
            }
        }
        total
    }

    /// Requests in flight from all VMs that have the given priority or a more urgent one.
    #[must_use]
    pub fn running_up_to(&self, priority: Priority) -> u32 {
        self.load_up_to(priority).running
    }

    /// Tokens that are prefilled before those of a new request of the given priority.
    #[must_use]
    pub fn prefill_ahead(&self, priority: Priority) -> f64 {
        self.load_up_to(priority).remaining_tokens()
    }

    /// Tokens waiting for prefill, of all priorities.
    #[must_use]
    pub fn prefill_backlog(&self) -> f64 {
        self.prefill_ahead(Priority::MAX)
    }

    /// Prefill rate of the engine, in tokens per ms.
    #[must_use]
    pub const fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Requests in flight, of all VMs.
    #[must_use]
    pub fn running(&self) -> u32 {
        count(self.in_flight.len()) + self.other_vms_total(|load| load.running)
    }

    /// Requests in flight of this VM.
    #[must_use]
    pub fn own_running(&self) -> u32 {
        count(self.in_flight.len())
    }

    /// Load reported by the server itself, if the report is younger than `within`.
    #[must_use]
    pub fn reported(&self, now: Timestamp, within: Duration) -> Option<LoadReport> {
        let (at, report) = self.report?;
        (at + within > now).then_some(report)
    }

    /// Load of the server as this VM was last told: by other VMs, or by the server itself if that is newer.
    pub(super) fn load_news(&self, now: Timestamp) -> Option<LoadNews> {
        let own = f64::from(self.own_running());
        // The VM that aggregates the load has it from the others as they begin requests.
        let aggregates = !self.peers.is_empty();
        let seen = self.aggregated.as_ref().map(|state| state.seen);
        if let Some(seen) = seen.or(aggregates.then_some(now))
            && self.report.is_none_or(|(at, _)| at <= seen)
        {
            return Some(LoadNews {
                told: f64::from(self.other_vms_total(|load| load.running)),
                age: now.saturating_sub(seen),
                own,
            });
        }
        let (at, report) = self.report?;
        let own_since = self.in_flight.values().filter(|one| one.sent > at).count();
        Some(LoadNews {
            told: f64::from(report.running.saturating_sub(1) + report.waiting),
            age: now.saturating_sub(at),
            own: f64::from(count(own_since)),
        })
    }

    /// Streams in flight that long prefills of other requests would make late, of all VMs.
    #[must_use]
    pub fn interactive(&self) -> u32 {
        self.own_interactive() + self.other_vms_total(|load| load.interactive)
    }

    /// Tokens that requests in flight hold in engine memory, of all VMs.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        let own: u32 = self
            .in_flight
            .values()
            .map(|request| request.memory_tokens)
            .sum();
        own.saturating_add(self.other_vms_total(|load| load.memory_tokens))
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
