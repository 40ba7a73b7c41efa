//! What one VM believes about one backend server.
//!
//! Own dispatches count at once; those of other VMs arrive in digests; the server's own word is
//! late and the same for every VM, so that it only corrects. `docs/design/platform.md` has the
//! model of an engine.

mod health;
mod load;

use std::collections::BTreeMap;
use std::time::Duration;

use self::health::Health;
pub use self::load::{LoadReport, PeerLoad, Reading};
use super::number::to_u32;
use super::{Call, CallId, PartCache, PartId, PartState, Priority};
use crate::{FailureKind, Timestamp, VmId};

/// Reading speed of an engine before any first token has been measured, in tokens per ms.
const READ_RATE_START: f64 = 45.0;

/// Range in which a measured reading speed is believed, in tokens per ms.
const READ_RATE_RANGE: (f64, f64) = (5.0, 400.0);

/// Weight of a new measurement of the reading speed.
const READ_RATE_GAIN: f64 = 0.1;

/// Tokens below which the wait for a first token says little about the reading speed.
const READ_SAMPLE_MIN: f64 = 3000.0;

/// Additional cost of reading one token for each token of context before it, as a part.
const CONTEXT_COST: f64 = 2.5e-5;

/// Time after which a VM that sent no digest is taken not to load the server any more.
const PEER_TTL: Duration = Duration::from_millis(2500);

/// Time after which gathered load is too old to go by; engines read several prompts in it.
const TOLD_TTL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct PeerState {
    load: PeerLoad,
    seen: Timestamp,
}

#[derive(Clone, Debug)]
struct InFlight {
    sent: Timestamp,
    priority: Priority,
    read_tokens: u32,
    read_ahead: f64,
    memory_tokens: u32,
    reading: bool,
    interactive: bool,
    shared_parts: Vec<PartId>,
}

/// What one VM believes about one backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    in_flight: BTreeMap<CallId, InFlight>,
    peers: BTreeMap<VmId, PeerState>,
    told: Option<PeerState>,
    read_rate: f64,
    cached: PartCache,
    report: Option<(Timestamp, LoadReport)>,
    own_report: Option<LoadReport>,
    health: Health,
    last_progress: Timestamp,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new()
    }
}

impl Backend {
    /// Creates the state of a server that nothing is known about.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            in_flight: BTreeMap::new(),
            peers: BTreeMap::new(),
            told: None,
            read_rate: READ_RATE_START,
            cached: PartCache::new(),
            report: None,
            own_report: None,
            health: Health::new(),
            last_progress: Duration::ZERO,
        }
    }

    /// Forgets what does not outlive the server's process; requests in flight end by themselves.
    pub fn restart(&mut self) {
        self.cached.clear();
        self.report = None;
        self.health = Health::new();
    }

    /// Cost of reading what of a prompt is not cached, in tokens that are read without context.
    #[must_use]
    pub fn read_cost_of(prompt_tokens: f64, uncached: f64) -> f64 {
        let context = prompt_tokens - uncached / 2.0;
        uncached * (1.0 + CONTEXT_COST * context.max(0.0))
    }

    /// How far the server is with a part of a prompt; `None` if it is not known to have it.
    #[must_use]
    pub fn part(&self, now: Timestamp, part: PartId) -> Option<PartState> {
        self.cached.state(now, part)
    }

    /// Takes note of a request that is sent to the server.
    pub fn note_sent(&mut self, now: Timestamp, call: &Call, read_cost: f64, interactive: bool) {
        let read_tokens = to_u32(read_cost);
        let priority = call.priority();
        let read_ahead = self.read_ahead(priority) + read_cost;
        let mut memory_tokens = 0;
        let mut shared_parts = Vec::new();
        if let Some(prompt) = &call.prompt {
            // Cached parts are shared and do not count again.
            memory_tokens = read_tokens.min(prompt.prompt_tokens) + prompt.max_output_tokens / 2;
            for part in &prompt.parts {
                self.cached.note_sent(now, part.id);
            }
            shared_parts.extend(prompt.shared_parts().iter().map(|part| part.id));
        }
        let request = InFlight {
            sent: now,
            priority,
            read_tokens,
            read_ahead,
            memory_tokens,
            reading: true,
            interactive,
            shared_parts,
        };
        self.in_flight.insert(call.id, request);
    }

    /// Takes note of the first token of a request.
    pub fn note_first_token(&mut self, now: Timestamp, call: CallId) {
        self.last_progress = now;
        let Some(request) = self.in_flight.get_mut(&call) else {
            return;
        };
        if !request.reading {
            return;
        }
        request.reading = false;
        let waited_ms = now.saturating_sub(request.sent).as_secs_f64() * 1000.0;
        if request.read_ahead >= READ_SAMPLE_MIN && waited_ms > 0.0 {
            let (least, most) = READ_RATE_RANGE;
            let sample = (request.read_ahead / waited_ms).clamp(least, most);
            self.read_rate += READ_RATE_GAIN * (sample - self.read_rate);
        }
    }

    /// Takes note that bytes arrived from the server.
    pub fn note_progress(&mut self, now: Timestamp) {
        self.last_progress = now;
    }

    /// When bytes last arrived from the server.
    #[must_use]
    pub const fn last_progress(&self) -> Timestamp {
        self.last_progress
    }

    /// Takes note that a request has left the server.
    pub fn note_ended(&mut self, call: CallId) {
        self.in_flight.remove(&call);
    }

    /// Takes note of an answer of the server, good or not.
    pub fn note_answer(&mut self, now: Timestamp, good: bool) {
        self.last_progress = now;
        self.health.note_answer(good);
    }

    /// Takes note of a failure; says whether the server gets nothing from now on.
    pub fn note_failure(&mut self, now: Timestamp, kind: FailureKind) -> bool {
        let is_ejected = self.health.note_failure(now, kind);
        if is_ejected {
            self.cached.clear();
        }
        is_ejected
    }

    /// Says whether the server gets nothing for now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.health.is_ejected(now)
    }

    /// Share of the latest answers that failed.
    #[must_use]
    pub const fn error_share(&self) -> f64 {
        self.health.error_share()
    }

    /// Takes in the load that the server tells.
    pub fn note_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = Some((now, report));
        self.own_report = Some(report);
    }

    /// Takes in the load that another VM puts on the server.
    pub fn note_peer(&mut self, now: Timestamp, vm: VmId, load: PeerLoad) {
        self.note_parts(now, &load);
        if let Some(report) = load.report {
            self.report = Some((now, report));
        }
        self.peers.insert(vm, PeerState { load, seen: now });
    }

    /// Takes in the load of all other VMs, as the VM that gathers it for this server tells it.
    pub fn note_gathered(&mut self, now: Timestamp, load: PeerLoad) {
        self.note_parts(now, &load);
        if let Some(report) = load.report {
            self.report = Some((now, report));
        }
        self.told = Some(PeerState { load, seen: now });
    }

    fn note_parts(&mut self, now: Timestamp, load: &PeerLoad) {
        for (&part, &state) in &load.parts {
            self.cached.note_told(now, part, state);
        }
    }

    /// Load of all VMs but one, for that one to know, and what the server has of some parts.
    #[must_use]
    pub fn gathered_for(&self, now: Timestamp, vm: VmId, parts: &[PartId]) -> PeerLoad {
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

    /// Drops the load of a VM that has ended.
    pub fn forget_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
    }

    /// Drops the load of VMs that have fallen silent.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| peer.seen + PEER_TTL > now);
        self.told.take_if(|told| told.seen + TOLD_TTL <= now);
    }

    /// Loads of other VMs: what was gathered, or else what each of them told.
    fn others(&self) -> impl Iterator<Item = &PeerLoad> {
        let peers = self.peers.values().filter(|_| self.told.is_none());
        self.told.iter().chain(peers).map(|state| &state.load)
    }

    fn peers_total(&self, field: impl Fn(&PeerLoad) -> u32) -> u32 {
        self.others().map(field).sum()
    }

    fn parts_being_read(&self) -> BTreeMap<PartId, PartState> {
        let mut parts = BTreeMap::new();
        for request in self.in_flight.values().filter(|request| request.reading) {
            for &part in &request.shared_parts {
                parts.insert(part, PartState::BeingRead);
            }
        }
        parts
    }

    fn own_reading(&self) -> BTreeMap<Priority, Reading> {
        let mut reading: BTreeMap<Priority, Reading> = BTreeMap::new();
        for request in self.in_flight.values() {
            let is_reading = u32::from(request.reading);
            reading.entry(request.priority).or_default().add(Reading {
                running: 1,
                prompts: is_reading,
                tokens: request.read_tokens * is_reading,
            });
        }
        reading
    }

    fn reading_until(&self, priority: Priority) -> Reading {
        let mut total = Reading::default();
        for (_, &reading) in self.own_reading().range(..=priority) {
            total.add(reading);
        }
        for load in self.others() {
            for (_, &reading) in load.reading.range(..=priority) {
                total.add(reading);
            }
        }
        total
    }

    /// Requests in flight that are as urgent as the given priority or more, of all VMs.
    #[must_use]
    pub fn running_until(&self, priority: Priority) -> u32 {
        self.reading_until(priority).running
    }

    /// Tokens that are read before those of a new request of the given priority.
    #[must_use]
    pub fn read_ahead(&self, priority: Priority) -> f64 {
        self.reading_until(priority).left()
    }

    /// Tokens that wait to be read, of all priorities.
    #[must_use]
    pub fn backlog_tokens(&self) -> f64 {
        self.read_ahead(Priority::MAX)
    }

    /// Reading speed of the engine, in tokens per ms.
    #[must_use]
    pub const fn read_rate(&self) -> f64 {
        self.read_rate
    }

    /// Requests in flight, of all VMs.
    #[must_use]
    pub fn running(&self) -> u32 {
        count(self.in_flight.len()) + self.peers_total(|load| load.running)
    }

    /// Requests in flight of this VM.
    #[must_use]
    pub fn own_running(&self) -> u32 {
        count(self.in_flight.len())
    }

    /// Requests that the server itself says it has, if it said so within the given time.
    #[must_use]
    pub fn reported(&self, now: Timestamp, within: Duration) -> Option<LoadReport> {
        let (at, report) = self.report?;
        (at + within > now).then_some(report)
    }

    /// Streams in flight that long reads of others would make late, of all VMs.
    #[must_use]
    pub fn interactive(&self) -> u32 {
        let own = self.in_flight.values().filter(|call| call.interactive);
        count(own.count()) + self.peers_total(|load| load.interactive)
    }

    /// Tokens that requests in flight hold in memory, of all VMs.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        let own: u32 = self.in_flight.values().map(|call| call.memory_tokens).sum();
        own.saturating_add(self.peers_total(|load| load.memory_tokens))
    }

    /// Load that this VM puts on the server.
    #[must_use]
    pub fn own_load(&self) -> PeerLoad {
        let interactive = self.in_flight.values().filter(|call| call.interactive);
        PeerLoad {
            running: count(self.in_flight.len()),
            interactive: count(interactive.count()),
            memory_tokens: self.in_flight.values().map(|call| call.memory_tokens).sum(),
            reading: self.own_reading(),
            parts: self.parts_being_read(),
            report: self.own_report,
        }
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
