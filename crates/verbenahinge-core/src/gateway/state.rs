//! State of one gateway VM and the routing decisions based on it.

mod brittle;
mod config;
mod crashes;
mod demand;
mod even_load;
mod limits;
mod moves;
mod paces;
mod pauses;
mod peer_digest;
mod permits;
mod ranking;
mod retries;
mod scaling;
mod servers;
mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use self::brittle::BrittleReport;
use self::brittle::{AvoidedServers, BrittleServices, RoomUse, SlotRanks};
use self::demand::PromptArrival;
use self::even_load::EvenLoadState;
pub use self::limits::LimitReport;
use self::limits::{LimitedPriority, PeerDemands};
use self::paces::ServicePace;
use self::pauses::Pauses;
pub use self::peer_digest::{EnginePaceReport, PeerDigest, ServerDigest};
use self::permits::PermitBucket;
use super::placement::Candidate;
use super::{
    Backend, Bounds, Call, CallId, CrashGuard, EnginePaces, LoadReport, PlacementContext,
    PlacementError, PlacementSurvey, Priority, Registry, RetryWindow, Routing, ServerChoice,
    ServerEntry, ServerOrder, ServiceName, SoftwareHistory, StreamOrigins,
};
use crate::{FailureKind, ServerName, Timestamp, VmId, ZoneName};

/// Delay after which a less urgent request may use what the servers' limits leave.
const LIMIT_YIELD_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Peer {
    last_digest_at: Timestamp,
    interactive_tokens_per_s: u32,
    interactive_streams: u32,
    tight_tokens_per_s: u32,
    tight_streams: u32,
}

/// State of one gateway VM: configuration, backend servers and their load, and the other VMs.
#[derive(Clone, Debug)]
pub struct GatewayState {
    availability_zone: ZoneName,
    bounds: Bounds,
    vm: VmId,
    routing: Option<Arc<Routing>>,
    registry: Registry,
    is_registry_complete: bool,
    backends: BTreeMap<ServerName, Backend>,
    names_by_hash: BTreeMap<u64, ServerName>,
    retry_windows: BTreeMap<ServiceName, RetryWindow>,
    crash_guard: CrashGuard,
    peers: BTreeMap<VmId, Peer>,
    interactive_tokens_per_s: f64,
    /// Part of `interactive_tokens_per_s` that has tight gap targets.
    tight_tokens_per_s: f64,
    interactive_updated_at: Timestamp,
    interactive_group_sizes: BTreeMap<ServiceName, usize>,
    /// Part of each interactive group that streams with tight gap targets use first.
    tight_group_sizes: BTreeMap<ServiceName, usize>,
    /// Attempts in flight of requests with tight gap targets.
    tight_streams: BTreeMap<CallId, u32>,
    group_sizes_updated_at: BTreeMap<ServiceName, Timestamp>,
    /// Last arrival of a request of each priority.
    arrivals: BTreeMap<ServiceName, BTreeMap<Priority, Timestamp>>,
    prompt_arrivals: BTreeMap<ServiceName, BTreeMap<Priority, PromptArrival>>,
    limited_servers: BTreeSet<ServerName>,
    peer_demands: PeerDemands,
    limited_priorities: BTreeMap<ServiceName, BTreeMap<Priority, LimitedPriority>>,
    uses_permits: bool,
    permit_buckets: BTreeMap<u64, PermitBucket>,
    pauses: Pauses,
    paces: EnginePaces,
    /// Services with tight gap targets.
    paced_services: BTreeMap<ServiceName, ServicePace>,
    brittle_services: BrittleServices,
    avoided_servers: AvoidedServers,
    slot_ranks: SlotRanks,
    software: SoftwareHistory,
    stream_origins: StreamOrigins,
    even_load: EvenLoadState,
    /// Time after its beginning by which a stream has ended, over all tries of its caller.
    stream_lifetime: Duration,
}

impl GatewayState {
    /// Creates the state of a VM without configuration, backend servers or peers.
    #[must_use]
    pub fn new(vm: VmId, availability_zone: ZoneName, bounds: Bounds) -> Self {
        Self {
            availability_zone,
            bounds,
            vm,
            routing: None,
            registry: Registry::default(),
            is_registry_complete: false,
            backends: BTreeMap::new(),
            names_by_hash: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
            crash_guard: CrashGuard::new(),
            peers: BTreeMap::new(),
            interactive_tokens_per_s: 0.0,
            tight_tokens_per_s: 0.0,
            interactive_updated_at: Duration::ZERO,
            interactive_group_sizes: BTreeMap::new(),
            tight_group_sizes: BTreeMap::new(),
            tight_streams: BTreeMap::new(),
            group_sizes_updated_at: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            prompt_arrivals: BTreeMap::new(),
            limited_servers: BTreeSet::new(),
            peer_demands: BTreeMap::new(),
            limited_priorities: BTreeMap::new(),
            uses_permits: false,
            permit_buckets: BTreeMap::new(),
            pauses: Pauses::new(),
            paces: EnginePaces::new(),
            paced_services: BTreeMap::new(),
            brittle_services: BrittleServices::new(),
            avoided_servers: AvoidedServers::new(),
            slot_ranks: SlotRanks::default(),
            software: SoftwareHistory::default(),
            stream_origins: StreamOrigins::new(),
            even_load: EvenLoadState::default(),
            stream_lifetime: Duration::ZERO,
        }
    }

    /// Replaces the bounds; requests and retries that were counted before still count.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        for window in self.retry_windows.values_mut() {
            window.set_bounds(bounds);
        }
    }

    /// Whether requests can be served: there is a configuration and the registry is complete.
    #[must_use]
    pub const fn is_serving(&self) -> bool {
        self.routing.is_some() && self.is_registry_complete
    }

    /// Registered backend servers.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Drops expired state; returns the backend servers whose registry entries expired.
    ///
    /// A VM that sent no digest for `vm_lost_after` no longer counts.
    pub fn tick(&mut self, now: Timestamp, vm_lost_after: Duration) -> Vec<ServerName> {
        let expired = self.expire_servers(now);
        if self.is_registry_complete {
            self.software.observe(now);
        }
        self.stream_origins.expire(now);
        self.peers
            .retain(|_, peer| peer.last_digest_at + vm_lost_after > now);
        for backend in self.backends.values_mut() {
            backend.expire_peers(now);
        }
        self.crash_guard.expire(now);
        self.expire_limits(now);
        self.expire_pauses(now);
        self.expire_brittle(now);
        self.observe_load(now);
        self.paces.expire(now);
        expired
    }

    /// Number of live VMs, this one included.
    #[must_use]
    pub fn vm_count(&self) -> usize {
        self.peers.len() + 1
    }

    fn placement_context(&self, now: Timestamp, call: &Call) -> PlacementContext<'_> {
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
            tight_group: None,
            urgent_target: self.urgent_target(now, call),
            even_load: self.even_load_for(call),
            gap_model: self.gap_model(service),
            interactive_group_size: self
                .interactive_group_sizes
                .get(service)
                .copied()
                .unwrap_or(1),
        }
    }

    /// Chooses a backend server for a call, except those in `tried`.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server is suitable.
    pub fn choose_server(
        &mut self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
    ) -> Result<ServerChoice, PlacementError> {
        self.resize_interactive_group(now, call);
        self.refresh_limits(now, call);
        if self.yields_limited(now, call) {
            return Err(PlacementError::Limited(LIMIT_YIELD_DELAY));
        }
        let candidates = self.candidates(now, call, tried);
        let mut context = self.placement_context(now, call);
        // Without queried load, choosing by room queues more requests than choosing the least loaded server.
        if call.prompt.is_none() {
            context.even_load = None;
        }
        let groups = context.gap_model.and_then(|_| {
            let names = candidates.iter().map(|one| one.entry.id.clone());
            let names: Vec<ServerName> = names.collect();
            self.paced_groups(call, &names, context.interactive_group_size)
        });
        let context = PlacementContext {
            interactive_group: groups.as_ref().map(|(group, _)| group),
            tight_group: groups.as_ref().map(|(_, tight)| tight),
            ..context
        };
        match context.choose(call, &candidates) {
            Err(PlacementError::Limited(wait)) => Err(self.refuse_waiting(now, call, wait)),
            Err(PlacementError::NoServer) if call.version.is_some() => {
                Err(PlacementError::NoServerOfVersion)
            }
            Err(PlacementError::NoServer) => Err(self.refuse_unplaced(now, call)),
            choice => choice,
        }
    }

    /// Chooses a backend server for a call among those whose load was queried.
    ///
    /// # Errors
    ///
    /// Returns the reason if none of them is suitable.
    pub fn choose_among(
        &self,
        now: Timestamp,
        call: &Call,
        queried: &[ServerName],
    ) -> Result<ServerChoice, PlacementError> {
        self.choose_preferred(now, call, queried, queried)
    }

    /// Chooses a backend server for a call among those whose load was queried; only `preferred` ones may
    /// read the shared parts of its prompt while they are busy.
    ///
    /// # Errors
    ///
    /// Returns the reason if none of them is suitable.
    pub fn choose_preferred(
        &self,
        now: Timestamp,
        call: &Call,
        queried: &[ServerName],
        preferred: &[ServerName],
    ) -> Result<ServerChoice, PlacementError> {
        if self.yields_limited(now, call) {
            return Err(PlacementError::Limited(LIMIT_YIELD_DELAY));
        }
        let context = self.placement_context(now, call);
        let group_size = context.interactive_group_size;
        let paced_groups = self.paced_groups(call, queried, group_size);
        let order = self.registry.order(&call.service);
        let (interactive_group, tight_group) = if let Some((group, tight)) = paced_groups {
            (Some(group), Some(tight))
        } else {
            let group = order.map(|order| order.in_interactive_group(queried, group_size));
            (group, None)
        };
        let context = PlacementContext {
            interactive_group: interactive_group.as_ref(),
            tight_group: tight_group.as_ref(),
            ..context
        };
        let mut queried: Vec<&ServerName> = queried.iter().collect();
        queried.sort_unstable();
        let room_use = self.room_use(now, call);
        let mut candidates = Vec::new();
        for id in queried {
            let entry = self.registry.usable(id);
            if let (Some(entry), Some(backend)) = (entry, self.backends.get(id))
                && call.may_run_at(entry)
            {
                candidates.push(Candidate {
                    is_preferred: preferred.contains(id),
                    ..self.candidate(now, entry, backend, room_use)
                });
            }
        }
        context.choose(call, &candidates)
    }

    /// Counts why servers cannot get a call: those that were queried, or all if none were.
    #[must_use]
    pub fn survey(
        &self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
        queried: &[ServerName],
        preferred: &[ServerName],
    ) -> PlacementSurvey {
        let mut candidates = self.candidates(now, call, tried);
        if !queried.is_empty() {
            candidates.retain(|candidate| queried.contains(&candidate.entry.id));
            for candidate in &mut candidates {
                candidate.is_preferred = preferred.contains(&candidate.entry.id);
            }
        }
        let servers = self.registry.order(&call.service);
        let servers = servers.map_or(0, ServerOrder::len);
        self.placement_context(now, call)
            .survey(call, &candidates, servers)
    }

    fn candidate<'a>(
        &self,
        now: Timestamp,
        entry: &'a ServerEntry,
        backend: &'a Backend,
        room_use: RoomUse,
    ) -> Candidate<'a> {
        Candidate {
            entry,
            backend,
            pause: self.pause_left(now, entry),
            is_preferred: true,
            has_room: self.has_room(now, entry, backend, room_use),
            pace: self.relative_pace(now, entry),
        }
    }

    fn candidates<'a>(
        &'a self,
        now: Timestamp,
        call: &'a Call,
        tried: &[ServerName],
    ) -> Vec<Candidate<'a>> {
        let room_use = self.room_use(now, call);
        let mut candidates = Vec::new();
        for entry in self.registry.ready(&call.service) {
            if tried.contains(&entry.id) || !call.may_run_at(entry) {
                continue;
            }
            if let Some(backend) = self.backends.get(&entry.id) {
                candidates.push(self.candidate(now, entry, backend, room_use));
            }
        }
        candidates
    }

    /// Records that a request is sent to a server.
    pub fn note_sent(&mut self, now: Timestamp, call: &Call, choice: &ServerChoice) {
        if let Some(backend) = self.backends.get_mut(&choice.server) {
            backend.note_sent(now, call, choice.prefill_cost, choice.interactive);
        }
        self.note_even_load_sent(call);
        if choice.tight {
            *self.tight_streams.entry(call.id).or_default() += 1;
        }
        self.reopen_limited(&choice.server);
        self.note_limited(now, call, false);
    }

    /// Records the first token of a request.
    pub fn note_first_token(&mut self, now: Timestamp, call: CallId, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_first_token(now, call);
        }
    }

    /// Records that bytes arrived from a server.
    pub fn note_progress(&mut self, now: Timestamp, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_progress(now);
        }
    }

    /// Time at which bytes last arrived from a server.
    #[must_use]
    pub fn last_progress(&self, server: &str) -> Option<Timestamp> {
        self.backends.get(server).map(Backend::last_progress)
    }

    /// Records the load that a server reports.
    pub fn note_report(&mut self, now: Timestamp, server: &str, report: LoadReport) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_report(now, report);
        }
    }

    /// Records that a request to a server has ended.
    pub fn note_ended(&mut self, call: CallId, server: &str) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_ended(call);
        }
        self.note_tight_end(call);
    }

    /// Records an answer of a server and whether it was a success.
    pub fn note_answer(&mut self, now: Timestamp, server: &str, success: bool) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.note_answer(now, success);
        }
    }

    /// Records a failure of a server; returns whether it ejects the server.
    pub fn note_failure(&mut self, now: Timestamp, server: &str, kind: FailureKind) -> bool {
        if kind == FailureKind::Rejected {
            self.note_rejection(now, server);
        }
        self.backends
            .get_mut(server)
            .is_some_and(|backend| backend.note_failure(now, kind))
    }
}
