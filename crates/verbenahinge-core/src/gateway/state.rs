//! All that one VM knows, and the decisions that follow from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::number::to_u32;
use super::placement::Candidate;
use super::{
    Backend, Bounds, Call, CallId, Choice, CrashGuard, LoadReport, NoChoice, PartId, PeerLoad,
    Placement, Priority, Registry, RegistryChange, RetryWindow, Routing, ServerEntry, ServiceName,
};
use crate::hash::hash64;
use crate::{
    ConfigVersion, CrashId, FailureKind, Fingerprint, ServerName, Timestamp, VmId, ZoneName,
};

/// Time after which a VM that sent no digest does not count any more.
const VM_TTL: Duration = Duration::from_secs(5);

/// Window over which the demand for interactive streams is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Part of an engine's reading time that interactive streams may take.
const INTERACTIVE_READ_PART: f64 = 0.35;

/// Part of an engine's slots that interactive streams may take.
const INTERACTIVE_SLOT_PART: f64 = 0.5;

/// Part by which demand has to fall below a bound before an engine is given back.
const GIVE_BACK_PART: f64 = 0.7;

/// Time for which prompts of a priority are expected to go on arriving; a VM of a large fleet gets
/// about one a second of each kind.
const URGENT_TTL: Duration = Duration::from_secs(5);

/// Load that one VM puts on one server, as it tells other VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerDigest {
    /// Hash of the server's name.
    pub server: u64,
    /// Its load.
    pub load: PeerLoad,
}

/// What one VM tells the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerDigest {
    /// Process that sends it.
    pub vm: VmId,
    /// Tokens a second that interactive streams of its callers bring.
    pub interactive_tokens_s: u32,
    /// Load that it puts on servers.
    pub servers: Vec<ServerDigest>,
    /// Requests that crashed servers.
    pub crashes: Vec<(Fingerprint, Vec<CrashId>)>,
}

/// Prompts of one priority that arrive and are not interactive.
#[derive(Clone, Copy, Debug)]
struct Urgent {
    seen: Timestamp,
    target: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    seen: Timestamp,
    interactive_tokens_s: u32,
}

/// All that one VM knows, and the decisions that follow from it.
#[derive(Clone, Debug)]
pub struct GatewayState {
    availability_zone: ZoneName,
    bounds: Bounds,
    vm: VmId,
    routing: Option<Arc<Routing>>,
    registry: Registry,
    registry_known: bool,
    backends: BTreeMap<ServerName, Backend>,
    names: BTreeMap<u64, ServerName>,
    retries: BTreeMap<ServiceName, RetryWindow>,
    crash_guard: CrashGuard,
    peers: BTreeMap<VmId, Peer>,
    interactive_tokens_s: f64,
    interactive_at: Timestamp,
    lane: BTreeMap<ServiceName, usize>,
    urgent: BTreeMap<ServiceName, BTreeMap<Priority, Urgent>>,
}

impl GatewayState {
    /// Creates the state of a VM that knows nothing yet.
    #[must_use]
    pub fn new(vm: VmId, availability_zone: ZoneName, bounds: Bounds) -> Self {
        Self {
            availability_zone,
            bounds,
            vm,
            routing: None,
            registry: Registry::default(),
            registry_known: false,
            backends: BTreeMap::new(),
            names: BTreeMap::new(),
            retries: BTreeMap::new(),
            crash_guard: CrashGuard::new(),
            peers: BTreeMap::new(),
            interactive_tokens_s: 0.0,
            interactive_at: Duration::ZERO,
            lane: BTreeMap::new(),
            urgent: BTreeMap::new(),
        }
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.retries.clear();
        }
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub const fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Version in force; 0 before one is known.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.routing.as_ref().map_or(0, |routing| routing.version)
    }

    /// Brings a version into force unless it is not newer than the one that is.
    pub fn adopt_routing(&mut self, routing: Routing) -> bool {
        if self.routing.is_some() && routing.version <= self.config_version() {
            return false;
        }
        self.routing = Some(Arc::new(routing));
        true
    }

    /// Says whether a request could be served.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.routing.is_some() && self.registry_known
    }

    /// Registered backend servers.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Takes in the entry of a backend server.
    pub fn upsert_server(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let id = entry.id.clone();
        let change = self.registry.upsert(entry);
        let backend = self.backends.entry(id.clone()).or_default();
        if change == Some(RegistryChange::Restarted) {
            backend.restart();
        }
        self.names.insert(hash64(id.as_bytes()), id);
        change
    }

    /// Takes note that the entry of a backend server is gone.
    pub fn remove_server(&mut self, id: &str) -> Option<RegistryChange> {
        let change = self.registry.remove(id);
        self.forget(id);
        change
    }

    /// Takes note that the entry of a backend server is missing after an outage of the store.
    pub fn lapse_server(&mut self, now: Timestamp, id: &str) -> Option<RegistryChange> {
        let change = self.registry.lapse(now, id);
        if change.is_some() {
            self.forget(id);
        }
        change
    }

    /// Takes note that all backend servers are known.
    pub const fn complete_registry(&mut self) {
        self.registry_known = true;
    }

    fn forget(&mut self, id: &str) {
        self.backends.remove(id);
        self.names.remove(&hash64(id.as_bytes()));
    }

    /// Lets time pass; returns the backend servers that are taken to be gone.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ServerName> {
        let gone = self.registry.expire(now);
        for id in &gone {
            self.forget(id);
        }
        self.peers.retain(|_, peer| peer.seen + VM_TTL > now);
        for backend in self.backends.values_mut() {
            backend.expire_peers(now);
        }
        self.crash_guard.expire(now);
        gone
    }

    /// VMs that serve, this one included.
    #[must_use]
    pub fn vms(&self) -> usize {
        self.peers.len() + 1
    }

    /// Takes note of a request of a caller.
    pub fn note_arrival(&mut self, now: Timestamp, call: &Call) {
        self.retries
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .note_request(now);
        let interactive = self.placement(now, call).is_interactive(call);
        if call.prompt.is_some() && !interactive {
            let target = call.route.target;
            let seen = self.urgent.entry(call.service.clone()).or_default();
            seen.insert(call.priority(), Urgent { seen: now, target });
        }
        if let (true, Some(prompt)) = (interactive, &call.prompt) {
            let decay = decay(now.saturating_sub(self.interactive_at));
            self.interactive_at = now;
            let added = f64::from(prompt.prompt_tokens) / DEMAND_WINDOW.as_secs_f64();
            self.interactive_tokens_s = self.interactive_tokens_s * decay + added;
        }
    }

    fn placement(&self, now: Timestamp, call: &Call) -> Placement<'_> {
        let service = &call.service;
        let declared = self
            .routing
            .as_ref()
            .and_then(|routing| routing.services.get(service));
        let urgent = self.urgent.get(service).into_iter().flatten();
        let urgent = urgent
            .filter(|(priority, urgent)| {
                **priority < call.priority() && urgent.seen + URGENT_TTL > now
            })
            .map(|(_, urgent)| urgent.target);
        Placement {
            now,
            availability_zone: &self.availability_zone,
            engine: declared.and_then(|service| service.engine),
            urgent_target: urgent.min(),
            interactive_engines: self.lane.get(service).copied().unwrap_or(1),
        }
    }

    /// Chooses a backend server for a call; those in `tried` are left out.
    ///
    /// # Errors
    ///
    /// Returns why no server is of use.
    pub fn place(
        &mut self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
    ) -> Result<Choice, NoChoice> {
        self.size_lane(now, call);
        let candidates = self.candidates(call, tried);
        self.placement(now, call).choose(call, &candidates)
    }

    /// Chooses for a call among some backend servers, whose load was asked for.
    ///
    /// # Errors
    ///
    /// Returns why none of them is of use.
    pub fn place_among(
        &self,
        now: Timestamp,
        call: &Call,
        asked: &[ServerName],
    ) -> Result<Choice, NoChoice> {
        let mut candidates = self.candidates(call, &[]);
        candidates.retain(|candidate| asked.contains(&candidate.entry.id));
        self.placement(now, call).choose(call, &candidates)
    }

    /// Engines that a call should be placed on, the best first, by its prompt alone.
    pub fn rank(&mut self, now: Timestamp, call: &Call, tried: &[ServerName]) -> Vec<ServerName> {
        self.size_lane(now, call);
        let candidates = self.candidates(call, tried);
        self.placement(now, call).rank(call, &candidates)
    }

    fn candidates<'a>(&'a self, call: &'a Call, tried: &[ServerName]) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for entry in self.registry.ready(&call.service) {
            if tried.contains(&entry.id) {
                continue;
            }
            if let Some(backend) = self.backends.get(&entry.id) {
                candidates.push(Candidate { entry, backend });
            }
        }
        candidates
    }

    /// Load that all VMs but one put on a server, and what it has of some parts of prompts;
    /// `None` if the server is not known.
    #[must_use]
    pub fn gathered_for(
        &self,
        now: Timestamp,
        vm: VmId,
        server: u64,
        parts: &[PartId],
    ) -> Option<ServerDigest> {
        let backend = self.backends.get(self.names.get(&server)?)?;
        Some(ServerDigest {
            server,
            load: backend.gathered_for(now, vm, parts),
        })
    }

    /// Takes in the load that another VM has gathered for a server.
    pub fn note_gathered(&mut self, now: Timestamp, digest: ServerDigest) {
        let Some(name) = self.names.get(&digest.server) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(name) {
            backend.note_gathered(now, digest.load);
        }
    }

    /// Load that this VM puts on one server.
    #[must_use]
    pub fn own_load(&self, server: &str) -> Option<ServerDigest> {
        let backend = self.backends.get(server)?;
        Some(ServerDigest {
            server: hash64(server.as_bytes()),
            load: backend.own_load(),
        })
    }

    /// Adapts the number of engines that are kept for interactive streams to the demand.
    fn size_lane(&mut self, now: Timestamp, call: &Call) {
        let own = self.interactive_tokens_s * decay(now.saturating_sub(self.interactive_at));
        let told: u32 = self
            .peers
            .values()
            .map(|peer| peer.interactive_tokens_s)
            .sum();
        let tokens_s = own + f64::from(told);
        let mut rate = 0.0;
        let mut streams = 0;
        let mut slots = 0;
        let mut engines: u32 = 0;
        for entry in self.registry.ready(&call.service) {
            let Some(backend) = self.backends.get(&entry.id) else {
                continue;
            };
            rate += backend.read_rate();
            streams += backend.interactive();
            slots += entry.slots;
            engines += 1;
        }
        if engines == 0 {
            return;
        }
        let rate_each = rate * 1000.0 / f64::from(engines);
        let slots_each = f64::from(slots) / f64::from(engines);
        let by_reading = tokens_s / (rate_each * INTERACTIVE_READ_PART).max(1.0);
        let by_slots = f64::from(streams) / (slots_each * INTERACTIVE_SLOT_PART).max(1.0);
        let wanted = by_reading.max(by_slots);
        let lane = self.lane.entry(call.service.clone()).or_insert(1);
        let held = f64::from(u32::try_from(*lane).unwrap_or(u32::MAX));
        if wanted > held {
            *lane += 1;
        } else if *lane > 1 && wanted < (held - 1.0) * GIVE_BACK_PART {
            *lane -= 1;
        }
    }

    /// Pays for another attempt of a call if the budget of its service allows it.
    pub fn spend_retry(&mut self, now: Timestamp, call: &Call) -> bool {
        let vms = self.vms();
        self.retries
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .spend(now, vms)
    }

    /// Takes note of a request that is sent to a server.
    pub fn note_sent(&mut self, now: Timestamp, call: &Call, choice: &Choice) {
        if let Some(backend) = self.backends.get_mut(&choice.server) {
            backend.note_sent(now, call, choice.read_cost, choice.interactive);
        }
    }

    /// Takes note of the first token of a request.
    pub fn note_first_token(&mut self, now: Timestamp, call: CallId, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_first_token(now, call);
        }
    }

    /// Takes note that bytes arrived from a server.
    pub fn note_progress(&mut self, now: Timestamp, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_progress(now);
        }
    }

    /// When bytes last arrived from a server.
    #[must_use]
    pub fn last_progress(&self, server: &str) -> Option<Timestamp> {
        self.backends.get(server).map(Backend::last_progress)
    }

    /// Takes note of the load that a server tells.
    pub fn note_report(&mut self, now: Timestamp, server: &str, report: LoadReport) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_report(now, report);
        }
    }

    /// Takes note that a request has left a server.
    pub fn note_ended(&mut self, call: CallId, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_ended(call);
        }
    }

    /// Takes note of an answer of a server, good or not.
    pub fn note_answer(&mut self, now: Timestamp, server: &str, good: bool) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_answer(now, good);
        }
    }

    /// Takes note of a failure; says whether the server gets nothing from now on.
    pub fn note_failure(&mut self, now: Timestamp, server: &str, kind: FailureKind) -> bool {
        self.backends
            .get_mut(server)
            .is_some_and(|backend| backend.note_failure(now, kind))
    }

    /// Takes note that a server crashed while it ran a request; says whether that is news.
    pub fn note_crash(&mut self, now: Timestamp, server: &str, fingerprint: Fingerprint) -> bool {
        let started = self
            .registry
            .get(server)
            .and_then(|entry| entry.started_unix_ms);
        // A server that does not tell its start counts as one process for as long as it is listed.
        let crash = crate::hash::mix64(hash64(server.as_bytes()), started.unwrap_or(0));
        self.crash_guard.note_crash(now, fingerprint, crash)
    }

    /// Takes note that a request ran to its end.
    pub fn note_completed(&mut self, fingerprint: Fingerprint) {
        self.crash_guard.note_completed(fingerprint);
    }

    /// Says whether a request must not run again.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crash_guard.is_quarantined(fingerprint)
    }

    /// What this VM tells the others.
    #[must_use]
    pub fn digest(&self, now: Timestamp) -> PeerDigest {
        let mut servers = Vec::new();
        for (id, backend) in &self.backends {
            let load = backend.own_load();
            if load.running == 0 && load.report.is_none() {
                continue;
            }
            servers.push(ServerDigest {
                server: hash64(id.as_bytes()),
                load,
            });
        }
        PeerDigest {
            servers,
            crashes: self.crash_guard.news(now),
            ..self.own_digest(now)
        }
    }

    /// What identifies this VM to the others, without its load.
    #[must_use]
    pub fn own_digest(&self, now: Timestamp) -> PeerDigest {
        let own = self.interactive_tokens_s * decay(now.saturating_sub(self.interactive_at));
        PeerDigest {
            vm: self.vm,
            interactive_tokens_s: to_u32(own),
            ..PeerDigest::default()
        }
    }

    /// Drops what a VM that has ended told.
    pub fn forget_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
        for backend in self.backends.values_mut() {
            backend.forget_peer(vm);
        }
    }

    /// Takes in what another VM tells; says whether the VM is new.
    pub fn note_digest(&mut self, now: Timestamp, digest: &PeerDigest) -> bool {
        for (&fingerprint, crashes) in digest.crashes.iter().map(|(print, ids)| (print, ids)) {
            for &crash in crashes {
                self.crash_guard.note_crash(now, fingerprint, crash);
            }
        }
        for server in &digest.servers {
            let Some(name) = self.names.get(&server.server) else {
                continue;
            };
            if let Some(backend) = self.backends.get_mut(name) {
                backend.note_peer(now, digest.vm, server.load.clone());
            }
        }
        let peer = Peer {
            seen: now,
            interactive_tokens_s: digest.interactive_tokens_s,
        };
        self.peers.insert(digest.vm, peer).is_none()
    }
}

fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
}
