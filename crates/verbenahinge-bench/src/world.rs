//! The event loop of a run.

mod actions;
mod backends;
mod faults;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use verbenahinge_core::{
    Attempt, Dispatch, DispatchMode, Event, Request, RequestId, ServerName, Timestamp,
};

use crate::deployment::{Deployment, ENGINE_POOL};
use crate::fake_engine::{EngineJob, FakeEngine};
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::request_record::RequestRecord;
use crate::router::Router;
use crate::scenario::{Fault, Scenario};
use crate::summary::Summary;
use crate::trace::{Arrival, Trace};

/// Time after the last arrival during which requests may end.
const TAIL: Duration = Duration::from_secs(40);

/// Time between two load reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(800);

/// Part of the load reports that is lost.
const REPORT_LOSS: f64 = 0.1;

/// Time that a crashed engine takes to restart.
const RESTART: Duration = Duration::from_secs(10);

/// Times the first-token target after which a caller gives up.
const PATIENCE: u32 = 3;

/// Factor by which a straggler is slower.
const STRAGGLER_FACTOR: u32 = 5;

enum WorldEvent {
    Arrive(usize),
    Deliver {
        vm: usize,
        event: Event,
    },
    Submit {
        vm: usize,
        dispatch: Dispatch,
    },
    Stop {
        server: ServerName,
        request: RequestId,
        attempt: Attempt,
    },
    Wake {
        server: ServerName,
    },
    NodeTimer {
        vm: usize,
    },
    GiveUp(usize),
    Report,
    Fault(Fault),
    Restart {
        server: ServerName,
    },
}

enum Backend {
    Engine(FakeEngine),
    Service(FakeService),
}

/// Plays a scenario against a policy and sums it up.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy) -> Summary {
    let deployment = Deployment::new(scenario.deployment);
    let outcome = play(scenario, policy);
    Summary::new(scenario, policy, &deployment, &outcome)
}

/// Plays a scenario against a policy.
#[must_use]
pub fn play(scenario: &Scenario, policy: Policy) -> Outcome {
    let deployment = Deployment::new(scenario.deployment);
    let trace = Trace::generate(scenario, &deployment);
    let router = Router::new(policy, &deployment, &trace, scenario.seed);
    World::new(scenario, deployment, &trace, router).play()
}

struct World<'a> {
    scenario: &'a Scenario,
    deployment: Deployment,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), WorldEvent>,
    next_event: u64,
    backends: BTreeMap<ServerName, Backend>,
    wakes: BTreeMap<ServerName, Timestamp>,
    timers: Vec<Option<Timestamp>>,
    dead_vms: Vec<bool>,
    router: Router,
    table: FakeTable,
    outcome: Outcome,
    rng: ChaCha8Rng,
    reports_stopped: bool,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, deployment: Deployment, trace: &Trace, router: Router) -> Self {
        let mut backends = BTreeMap::new();
        for (pool, declared) in &deployment.declaration.pools {
            for (name, server) in &declared.servers {
                let backend = if &**pool == ENGINE_POOL {
                    Backend::Engine(FakeEngine::new(server.slots))
                } else {
                    Backend::Service(FakeService::new(server.slots))
                };
                backends.insert(name.clone(), backend);
            }
        }
        let vms = deployment.vms.len();
        let mut world = Self {
            scenario,
            deployment,
            now: Timestamp::ZERO,
            queue: BTreeMap::new(),
            next_event: 0,
            backends,
            wakes: BTreeMap::new(),
            timers: vec![None; vms],
            dead_vms: vec![false; vms],
            router,
            table: FakeTable::default(),
            outcome: Outcome::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x7265_706f_7274),
            reports_stopped: false,
        };
        world.fill_queue(trace);
        world
    }

    fn fill_queue(&mut self, trace: &Trace) {
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            self.outcome
                .records
                .push(RequestRecord::new(arrival.clone(), 0));
            self.at(arrival.at, WorldEvent::Arrive(index));
        }
        for &fault in &self.scenario.faults {
            let second = match fault {
                Fault::Stragglers { from_s } | Fault::ReportsStop { from_s } => from_s,
                Fault::Crash { at_s, .. } | Fault::ZoneLost { at_s } => at_s,
            };
            self.at(Duration::from_secs(second), WorldEvent::Fault(fault));
        }
        self.at(REPORT_INTERVAL, WorldEvent::Report);
        for vm in 0..self.timers.len() {
            self.arm_timer(vm);
        }
    }

    fn at(&mut self, due: Timestamp, event: WorldEvent) {
        self.next_event += 1;
        self.queue.insert((due, self.next_event), event);
    }

    fn play(mut self) -> Outcome {
        let end = self.scenario.duration() + TAIL;
        while let Some(((due, _), event)) = self.queue.pop_first() {
            if due > end {
                break;
            }
            self.now = due;
            self.step(event);
        }
        self.outcome
    }

    fn step(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(index) => self.arrive(index),
            WorldEvent::Deliver { vm, event } => self.deliver(vm, event),
            WorldEvent::Submit { vm, dispatch } => self.submit(vm, &dispatch),
            WorldEvent::Stop {
                server,
                request,
                attempt,
            } => self.stop(&server, request, attempt),
            WorldEvent::Wake { server } => self.wake(&server),
            WorldEvent::NodeTimer { vm } => {
                self.timers[vm] = None;
                self.deliver(vm, Event::Timer);
            }
            WorldEvent::GiveUp(index) => self.give_up(index),
            WorldEvent::Report => self.report(),
            WorldEvent::Fault(fault) => self.fault(fault),
            WorldEvent::Restart { server } => {
                if let Some(Backend::Engine(engine)) = self.backends.get_mut(&server) {
                    engine.down = false;
                }
            }
        }
    }

    fn arm_timer(&mut self, vm: usize) {
        let Some(due) = self.router.next_timer(vm) else {
            return;
        };
        if self.timers[vm].is_some_and(|armed| armed <= due) {
            return;
        }
        self.timers[vm] = Some(due);
        self.at(due.max(self.now), WorldEvent::NodeTimer { vm });
    }

    fn deliver(&mut self, vm: usize, event: Event) {
        if self.dead_vms[vm] {
            return;
        }
        let tokens = match &event {
            Event::Frame(frame) => frame.tokens,
            _ => 0,
        };
        for action in self.router.handle(self.now, vm, event) {
            self.act(vm, action, tokens);
        }
        self.arm_timer(vm);
    }

    fn live_vm(&self, wanted: usize) -> usize {
        let count = self.dead_vms.len();
        (0..count)
            .map(|offset| (wanted + offset) % count)
            .find(|&vm| !self.dead_vms[vm])
            .unwrap_or(wanted)
    }

    fn arrive(&mut self, index: usize) {
        let vm = self.live_vm(self.outcome.records[index].arrival.vm);
        self.outcome.records[index].arrival.vm = vm;
        let arrival = self.outcome.records[index].arrival.clone();
        let class = &self.deployment.declaration.classes[&arrival.class];
        let patience = class.first_token() * PATIENCE;
        self.at(self.now + patience, WorldEvent::GiveUp(index));
        let request = to_request(index, &arrival);
        self.deliver(vm, Event::Arrived(request));
    }

    fn give_up(&mut self, index: usize) {
        let record = &mut self.outcome.records[index];
        if record.first_token.is_some() || record.is_settled() {
            return;
        }
        record.caller_gone = true;
        let vm = record.arrival.vm;
        self.deliver(vm, Event::CallerGone(request_id(index)));
    }
}

fn request_id(index: usize) -> RequestId {
    index as RequestId + 1
}

fn record_index(request: RequestId) -> usize {
    usize::try_from(request - 1).unwrap_or(usize::MAX)
}

fn to_request(index: usize, arrival: &Arrival) -> Request {
    Request::new(
        request_id(index),
        arrival.account.clone(),
        arrival.class.clone(),
        arrival.pool.clone(),
    )
    .prompt(arrival.prompt_tokens, arrival.conversation)
}

const fn delivered(mode: DispatchMode) -> u64 {
    match mode {
        DispatchMode::Fresh => 0,
        DispatchMode::Continue { delivered } | DispatchMode::Resume { delivered, .. } => delivered,
    }
}

const fn engine_job(
    vm: usize,
    dispatch: &Dispatch,
    arrival: &Arrival,
    remaining: u32,
    next_seq: u64,
) -> EngineJob {
    EngineJob {
        request: dispatch.request,
        attempt: dispatch.attempt,
        vm,
        tier: dispatch.tier,
        prompt_tokens: arrival.prompt_tokens,
        prefix_tokens: arrival.prefix_tokens,
        conversation: arrival.conversation,
        remaining,
        next_seq,
    }
}
