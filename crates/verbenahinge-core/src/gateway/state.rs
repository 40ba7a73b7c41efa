//! All that one VM knows, and the decisions that follow from it.

mod demand;
mod exchange;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use self::demand::Urgent;
pub use self::exchange::{PeerDigest, ServerDigest};
use super::placement::Candidate;
use super::{
    Backend, Bounds, Call, CallId, CrashGuard, LoadReport, PlacementContext, PlacementError,
    Priority, Registry, RegistryChange, RetryWindow, Routing, ServerChoice, ServerEntry,
    ServerState, ServiceName,
};
use crate::hash::hash64;
use crate::{ConfigVersion, FailureKind, Fingerprint, ServerName, Timestamp, VmId, ZoneName};

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
    lane_sized: BTreeMap<ServiceName, Timestamp>,
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
            lane_sized: BTreeMap::new(),
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
    ///
    /// A VM that sent no digest for `vm_lost_after` does not count any more.
    pub fn tick(&mut self, now: Timestamp, vm_lost_after: Duration) -> Vec<ServerName> {
        let gone = self.registry.expire(now);
        for id in &gone {
            self.forget(id);
        }
        self.peers.retain(|_, peer| peer.seen + vm_lost_after > now);
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

    fn placement(&self, now: Timestamp, call: &Call) -> PlacementContext<'_> {
        let service = &call.service;
        let declared = self
            .routing
            .as_ref()
            .and_then(|routing| routing.services.get(service));
        PlacementContext {
            now,
            availability_zone: &self.availability_zone,
            engine: declared.and_then(|service| service.engine),
            interactive_group: None,
            urgent_target: self.urgent_target(now, call),
            interactive_group_size: self.lane.get(service).copied().unwrap_or(1),
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
    ) -> Result<ServerChoice, PlacementError> {
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
    ) -> Result<ServerChoice, PlacementError> {
        let placement = self.placement(now, call);
        let order = self.registry.order(&call.service);
        let lane =
            order.map(|order| order.in_interactive_group(asked, placement.interactive_group_size));
        let placement = PlacementContext {
            interactive_group: lane.as_ref(),
            ..placement
        };
        let mut asked: Vec<&ServerName> = asked.iter().collect();
        asked.sort_unstable();
        let mut candidates = Vec::new();
        for id in asked {
            let entry = self.registry.get(id);
            let entry = entry.filter(|entry| entry.state == ServerState::Ready);
            if let (Some(entry), Some(backend)) = (entry, self.backends.get(id)) {
                candidates.push(Candidate { entry, backend });
            }
        }
        placement.choose(call, &candidates)
    }

    /// The engines that a call should be placed on by its prompt alone, the best first.
    pub fn rank(
        &mut self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
        count: usize,
    ) -> Vec<ServerName> {
        self.size_lane(now, call);
        let (Some(order), Some(prompt)) = (self.registry.order(&call.service), &call.prompt) else {
            return Vec::new();
        };
        let placement = self.placement(now, call);
        let interactive = placement.is_interactive(call);
        let lane = placement.interactive_group_size;
        order.top_ranked(prompt.prefix_key(), lane, interactive, count, |id| {
            let backend = self.backends.get(id);
            !tried.contains(id) && backend.is_some_and(|backend| !backend.is_ejected(now))
        })
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

    /// Pays for another attempt of a call if the budget of its service allows it.
    pub fn spend_retry(&mut self, now: Timestamp, call: &Call) -> bool {
        let vms = self.vms();
        self.retries
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .try_spend(now, vms)
    }

    /// Takes note of a request that is sent to a server.
    pub fn note_sent(&mut self, now: Timestamp, call: &Call, choice: &ServerChoice) {
        if let Some(backend) = self.backends.get_mut(&choice.server) {
            backend.note_sent(now, call, choice.prefill_cost, choice.interactive);
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
}
