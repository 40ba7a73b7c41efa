//! Discrete-event simulation of a scenario in virtual time.

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

/// Time after the end of the load in which outstanding requests can complete.
const DRAIN_TIME: Duration = Duration::from_secs(40);

/// Interval between the load reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between the creation of a load report and its arrival at the VMs.
const REPORT_DELAY: Duration = Duration::from_millis(800);

/// Fraction of load reports lost, drawn separately for each VM.
const REPORT_LOSS_RATE: f64 = 0.1;

/// Time that a crashed engine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(10);

/// How long a caller waits for its first token, as a multiple of the first-token target.
const CALLER_TIMEOUT_FACTOR: u32 = 3;

/// Factor by which the operations of a straggler take longer.
const STRAGGLER_SLOWDOWN: u32 = 5;

enum SimEvent {
    /// The request of a record arrives at its VM.
    RequestArrival(usize),
    /// A VM receives an event.
    Deliver {
        vm: usize,
        event: Event,
    },
    /// A backend server receives a dispatch.
    Submit {
        vm: usize,
        dispatch: Dispatch,
    },
    /// A backend server receives a cancellation.
    Cancel {
        server: ServerName,
        request: RequestId,
        attempt: Attempt,
    },
    /// A backend server has work that is due.
    BackendTimer {
        server: ServerName,
    },
    NodeTimer {
        vm: usize,
    },
    /// The caller of a record stops waiting for its first token.
    CallerTimeout(usize),
    /// All backend servers report their load.
    LoadReports,
    Fault(Fault),
    /// A crashed engine comes back up.
    Restart {
        server: ServerName,
    },
}

enum Backend {
    Engine(FakeEngine),
    Service(FakeService),
}

/// Simulates a scenario under a routing policy and summarizes the results.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy) -> Summary {
    let deployment = Deployment::new(scenario.deployment);
    let outcome = simulate(scenario, policy);
    Summary::new(scenario, policy, &deployment, &outcome)
}

/// Simulates a scenario under a routing policy and returns the raw results.
#[must_use]
pub fn simulate(scenario: &Scenario, policy: Policy) -> Outcome {
    let deployment = Deployment::new(scenario.deployment);
    let trace = Trace::generate(scenario, &deployment);
    let router = Router::new(policy, &deployment, &trace, scenario.seed);
    Simulation::new(scenario, deployment, &trace, router).run_to_end()
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    deployment: Deployment,
    now: Timestamp,
    /// Pending events by due time, then in the order in which they were scheduled.
    event_queue: BTreeMap<(Timestamp, u64), SimEvent>,
    event_count: u64,
    backends: BTreeMap<ServerName, Backend>,
    backend_timers: BTreeMap<ServerName, Timestamp>,
    node_timers: Vec<Option<Timestamp>>,
    failed_vms: Vec<bool>,
    router: Router,
    table: FakeTable,
    outcome: Outcome,
    rng: ChaCha8Rng,
    reports_stopped: bool,
}

impl<'a> Simulation<'a> {
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
        let mut simulation = Self {
            scenario,
            deployment,
            now: Timestamp::ZERO,
            event_queue: BTreeMap::new(),
            event_count: 0,
            backends,
            backend_timers: BTreeMap::new(),
            node_timers: vec![None; vms],
            failed_vms: vec![false; vms],
            router,
            table: FakeTable::default(),
            outcome: Outcome::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x7265_706f_7274),
            reports_stopped: false,
        };
        simulation.schedule_initial_events(trace);
        simulation
    }

    fn schedule_initial_events(&mut self, trace: &Trace) {
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            self.outcome
                .records
                .push(RequestRecord::new(arrival.clone(), 0));
            self.schedule(arrival.at, SimEvent::RequestArrival(index));
        }
        for &fault in &self.scenario.faults {
            let start_s = match fault {
                Fault::Stragglers { from_s } | Fault::ReportsStop { from_s } => from_s,
                Fault::Crash { at_s, .. } | Fault::ZoneLost { at_s } => at_s,
            };
            self.schedule(Duration::from_secs(start_s), SimEvent::Fault(fault));
        }
        self.schedule(REPORT_INTERVAL, SimEvent::LoadReports);
        for vm in 0..self.node_timers.len() {
            self.arm_node_timer(vm);
        }
    }

    fn schedule(&mut self, due: Timestamp, event: SimEvent) {
        self.event_count += 1;
        self.event_queue.insert((due, self.event_count), event);
    }

    fn run_to_end(mut self) -> Outcome {
        let end = self.scenario.duration() + DRAIN_TIME;
        while let Some(((due, _), event)) = self.event_queue.pop_first() {
            if due > end {
                break;
            }
            self.now = due;
            self.handle_event(event);
        }
        self.outcome
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestArrival(index) => self.handle_arrival(index),
            SimEvent::Deliver { vm, event } => self.deliver(vm, event),
            SimEvent::Submit { vm, dispatch } => self.submit(vm, &dispatch),
            SimEvent::Cancel {
                server,
                request,
                attempt,
            } => self.cancel(&server, request, attempt),
            SimEvent::BackendTimer { server } => self.advance_backend(&server),
            SimEvent::NodeTimer { vm } => {
                self.node_timers[vm] = None;
                self.deliver(vm, Event::Timer);
            }
            SimEvent::CallerTimeout(index) => self.handle_caller_timeout(index),
            SimEvent::LoadReports => self.send_load_reports(),
            SimEvent::Fault(fault) => self.inject_fault(fault),
            SimEvent::Restart { server } => {
                if let Some(Backend::Engine(engine)) = self.backends.get_mut(&server) {
                    engine.down = false;
                }
            }
        }
    }

    fn arm_node_timer(&mut self, vm: usize) {
        let Some(due) = self.router.next_timer(vm) else {
            return;
        };
        if self.node_timers[vm].is_some_and(|armed| armed <= due) {
            return;
        }
        self.node_timers[vm] = Some(due);
        self.schedule(due.max(self.now), SimEvent::NodeTimer { vm });
    }

    /// Passes an event to the router on a VM and performs the resulting actions.
    fn deliver(&mut self, vm: usize, event: Event) {
        if self.failed_vms[vm] {
            return;
        }
        let tokens = match &event {
            Event::Frame(frame) => frame.tokens,
            _ => 0,
        };
        for action in self.router.handle(self.now, vm, event) {
            self.perform(vm, action, tokens);
        }
        self.arm_node_timer(vm);
    }

    /// Returns the preferred VM or, if that has failed, the next one that has not.
    fn live_vm(&self, preferred: usize) -> usize {
        let count = self.failed_vms.len();
        (0..count)
            .map(|offset| (preferred + offset) % count)
            .find(|&vm| !self.failed_vms[vm])
            .unwrap_or(preferred)
    }

    fn handle_arrival(&mut self, index: usize) {
        let vm = self.live_vm(self.outcome.records[index].arrival.vm);
        self.outcome.records[index].arrival.vm = vm;
        let arrival = self.outcome.records[index].arrival.clone();
        let class = &self.deployment.declaration.classes[&arrival.class];
        let timeout = class.first_token() * CALLER_TIMEOUT_FACTOR;
        self.schedule(self.now + timeout, SimEvent::CallerTimeout(index));
        let request = to_request(index, &arrival);
        self.deliver(vm, Event::Arrived(request));
    }

    /// Tells the VM that the caller is gone, unless the answer has begun or the request has ended.
    fn handle_caller_timeout(&mut self, index: usize) {
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

const fn delivered_frames(mode: DispatchMode) -> u64 {
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
