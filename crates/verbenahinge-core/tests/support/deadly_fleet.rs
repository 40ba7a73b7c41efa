//! A fleet and its engines in virtual time, while requests with a deadly prompt part come at any VM.

#[path = "deadly_fleet/model.rs"]
mod model;
#[path = "deadly_fleet/plan.rs"]
mod plan;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{
    CrashGuard, DIGEST_INTERVAL, LostRun, Prompt, PromptPart, Suspect,
};
use verbenahinge_core::hash::mix64;
use verbenahinge_core::{CrashId, FailureKind, Timestamp};

use self::model::{Engine, Event, Request};
pub(crate) use self::plan::{Counts, FleetPlan};
use super::rounds::Rounds;

/// Time at which requests were sent that prove nothing by when they were sent.
const BEFORE_CRASHES: Duration = Duration::ZERO;

/// Time after which a VM has found that a server crashed, before up to as much again.
const CHECK_DELAY: Duration = Duration::from_millis(60);

/// Time for which news is collected and sent.
const PUSH_DELAY: Duration = Duration::from_millis(13);

/// Time over which VMs spread the news that a suspect is cleared.
const CLEARED_SPREAD_MS: u64 = 150;

/// Time after which a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Attempts of a request.
const MAX_ATTEMPTS: u32 = 2;

/// First part of the account whose requests hold the deadly part.
const SHARED_FIRST_PART: u64 = 10;

/// First of the deadly parts.
const DEADLY_PART: u64 = 1_000_000;

/// A fleet and its engines in virtual time.
pub(crate) struct DeadlyFleet {
    plan: FleetPlan,
    now: Timestamp,
    rounds: Rounds,
    vms: Vec<CrashGuard>,
    has_pending_push: Vec<bool>,
    engines: Vec<Engine>,
    requests: BTreeMap<u64, Request>,
    last_request: u64,
    events: BTreeMap<(Timestamp, u64), Event>,
    last_event: u64,
    pub(crate) counts: Counts,
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn part(id: u64) -> PromptPart {
    PromptPart { id, tokens: 1000 }
}

fn suspects_of(request: u64, shared: &[u64]) -> Vec<Suspect> {
    let own = part(mix64(request, 1));
    let prompt = Prompt {
        parts: shared.iter().map(|&id| part(id)).chain([own]).collect(),
        prompt_tokens: 4000,
        max_output_tokens: 100,
        model: "model".into(),
    };
    Suspect::of_prompt(request, &prompt)
}

impl DeadlyFleet {
    pub(crate) fn new(plan: FleetPlan, seed: u64) -> Self {
        let mut fleet = Self {
            plan,
            now: Duration::ZERO,
            rounds: Rounds::new(plan.vms, seed),
            vms: vec![CrashGuard::new(); plan.vms],
            has_pending_push: vec![false; plan.vms],
            engines: Vec::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            events: BTreeMap::new(),
            last_event: 0,
            counts: Counts::default(),
        };
        for _ in 0..plan.engines {
            fleet.engines.push(Engine {
                start: 1,
                is_up: true,
                waiting: Vec::new(),
            });
        }
        fleet.schedule(Duration::ZERO, Event::SoundArrives);
        fleet.schedule(plan.deadly_from, Event::DeadlyArrives);
        fleet.schedule(DIGEST_INTERVAL, Event::Round);
        if plan.outside_crashes.is_some() {
            fleet.schedule(plan.deadly_from, Event::OutsideCrash);
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.events
            .insert((self.now + delay, self.last_event), event);
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.rounds.draw() % limit
    }

    fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("an index fits into usize")
    }

    pub(crate) fn run_until(&mut self, end: Timestamp) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FirstToken {
                request,
                engine,
                start,
            } => self.reach_first_token(request, engine, start),
            Event::CrashFound {
                vm,
                at,
                crash,
                lost,
            } => self.find_crash(vm, at, crash, &lost),
            Event::Push { vm } => self.push(vm),
            Event::Deliver { vm, records } => {
                self.vms[vm].merge(self.now, &records);
                self.tell_cleared(vm);
            }
            Event::EngineBack { engine } => {
                self.engines[engine].start += 1;
                self.engines[engine].is_up = true;
            }
            Event::SoundArrives => {
                self.schedule_arrival(self.plan.sound_per_s, Event::SoundArrives);
                let account = self.below(6);
                let subject = self.subject();
                let shared = [SHARED_FIRST_PART + account, 100 + account * 100 + subject];
                self.arrive(false, account == 0, &shared);
            }
            Event::DeadlyArrives if self.plan.deadly_per_s > 0 => {
                self.schedule_arrival(self.plan.deadly_per_s, Event::DeadlyArrives);
                let deadly = DEADLY_PART + self.below(self.plan.deadly_parts);
                let shared = [SHARED_FIRST_PART, deadly, 100 + self.subject()];
                self.arrive(true, false, &shared);
            }
            Event::DeadlyArrives => {}
            Event::OutsideCrash => {
                let interval = self.plan.outside_crashes.unwrap_or(DOWN_TIME);
                self.schedule(interval, Event::OutsideCrash);
                let engine = self.index(self.plan.engines);
                if self.engines[engine].is_up {
                    self.crash(engine);
                }
            }
            Event::Round => {
                self.schedule(DIGEST_INTERVAL, Event::Round);
                self.exchange_digests();
            }
        }
    }

    fn schedule_arrival(&mut self, per_s: u64, event: Event) {
        let delay_us = self.below(2_000_000) / per_s;
        self.schedule(Duration::from_micros(delay_us), event);
    }

    /// Subject of an account, of which some are asked for more often than others.
    fn subject(&mut self) -> u64 {
        self.below(5) * self.below(6)
    }

    fn exchange_digests(&mut self) {
        for delivery in self.rounds.step(self.now) {
            if delivery.is_full {
                let records = self.vms[delivery.from].recent_records(self.now);
                self.vms[delivery.to].merge(self.now, &records);
                self.tell_cleared(delivery.to);
            }
        }
        for vm in &mut self.vms {
            vm.expire(self.now);
        }
        let parts = DEADLY_PART..DEADLY_PART + self.plan.deadly_parts;
        let probes: Vec<_> = parts.map(|part| suspects_of(0, &[part])).collect();
        let is_refused = |vm: &CrashGuard| {
            let mut probes = probes.iter();
            probes.all(|probe| vm.refusal(self.now, probe).is_some())
        };
        if self.counts.all_refuse_at.is_none() && self.vms.iter().all(is_refused) {
            self.counts.all_refuse_at = Some(self.now);
        }
    }

    fn arrive(&mut self, is_deadly: bool, is_related: bool, shared: &[u64]) {
        self.last_request += 1;
        let id = self.last_request;
        let vm = self.index(self.plan.vms);
        let request = Request {
            vm,
            arrived: self.now,
            is_deadly,
            is_related,
            prefix: shared.iter().fold(0, |key, &part| mix64(key, part)),
            suspects: suspects_of(id, shared),
            attempts: 0,
        };
        if !is_deadly {
            self.counts.sound += 1;
        }
        self.requests.insert(id, request);
        self.send(id);
    }

    /// Sends a request to an engine, unless it is refused.
    fn send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let refusal = self.vms[request.vm].refusal(self.now, &request.suspects);
        if refusal.is_some() {
            self.end_unbegun(id, true);
            return;
        }
        request.attempts += 1;
        let (prefix, attempts, is_deadly) = (request.prefix, request.attempts, request.is_deadly);
        if is_deadly {
            self.counts.deadly_sent.push(self.now);
        }
        // Equal prefixes go to the same few engines.
        let choice = mix64(prefix, self.below(3) + u64::from(attempts));
        let mut engine = usize::try_from(choice % self.plan.engines as u64).expect("an index");
        while !self.engines[engine].is_up {
            engine = (engine + 1) % self.plan.engines;
        }
        self.engines[engine].waiting.push(id);
        let start = self.engines[engine].start;
        let delay = ms(100 + self.below(600));
        self.schedule(
            delay,
            Event::FirstToken {
                request: id,
                engine,
                start,
            },
        );
    }

    fn reach_first_token(&mut self, id: u64, engine: usize, start: u32) {
        if !self.engines[engine].is_up || self.engines[engine].start != start {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let vm = request.vm;
        if self.vms[vm].refusal(self.now, &request.suspects).is_some() {
            // It was given up when its part became known.
            self.engines[engine]
                .waiting
                .retain(|&waiting| waiting != id);
            self.end_unbegun(id, true);
            return;
        }
        if request.is_deadly {
            self.crash(engine);
            return;
        }
        self.engines[engine]
            .waiting
            .retain(|&waiting| waiting != id);
        let request = self.requests.remove(&id).expect("it is there");
        if request.is_related {
            let is_first = request.attempts == 1;
            self.counts.related.push((request.arrived, is_first));
        }
        self.vms[vm].note_success(self.now, BEFORE_CRASHES, &request.suspects);
        self.tell_cleared(vm);
    }

    /// Ends a request that has not begun.
    fn end_unbegun(&mut self, id: u64, is_refused: bool) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.is_deadly {
            return;
        }
        if is_refused {
            self.counts.sound_refused += 1;
        }
        if request.is_related {
            self.counts.related.push((request.arrived, false));
        }
    }

    fn crash(&mut self, engine: usize) {
        self.counts.crashes.push(self.now);
        let crash = mix64(engine as u64, u64::from(self.engines[engine].start));
        self.engines[engine].is_up = false;
        let waiting = std::mem::take(&mut self.engines[engine].waiting);
        self.schedule(DOWN_TIME, Event::EngineBack { engine });
        let mut by_vm: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        for id in waiting {
            if let Some(request) = self.requests.get(&id) {
                by_vm.entry(request.vm).or_default().push(id);
            }
        }
        for (vm, lost) in by_vm {
            let delay = CHECK_DELAY + ms(self.below(60));
            let at = self.now;
            let found = Event::CrashFound {
                vm,
                at,
                crash,
                lost,
            };
            self.schedule(delay, found);
        }
    }

    fn find_crash(&mut self, vm: usize, at: Timestamp, crash: CrashId, lost: &[u64]) {
        let mut runs = Vec::new();
        for id in lost {
            if let Some(request) = self.requests.get(id) {
                runs.push(LostRun::new(at, request.suspects.clone()));
            }
        }
        if self.vms[vm].note_crash(at, crash, &runs) {
            self.push_soon(vm, PUSH_DELAY);
        }
        for &id in lost {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let lost = FailureKind::ConnectionLost;
            let may_retry = self.vms[vm].allows_retry(&request.suspects, lost);
            if may_retry && request.attempts < MAX_ATTEMPTS {
                self.send(id);
            } else {
                self.end_unbegun(id, false);
            }
        }
    }

    fn tell_cleared(&mut self, vm: usize) {
        if self.vms[vm].has_untold() {
            let delay = ms(self.below(CLEARED_SPREAD_MS));
            self.push_soon(vm, delay);
        }
    }

    fn push_soon(&mut self, vm: usize, delay: Duration) {
        if !std::mem::replace(&mut self.has_pending_push[vm], true) {
            self.schedule(delay, Event::Push { vm });
        }
    }

    fn push(&mut self, vm: usize) {
        self.has_pending_push[vm] = false;
        let records = Rc::new(self.vms[vm].take_news(self.now));
        if records.is_empty() {
            return;
        }
        for receiver in (0..self.plan.vms).filter(|&other| other != vm) {
            self.counts.records_pushed += records.len();
            self.counts.messages_pushed += 1;
            if self.rounds.arrives() {
                let delay = ms(1 + self.below(4));
                let records = Rc::clone(&records);
                self.schedule(
                    delay,
                    Event::Deliver {
                        vm: receiver,
                        records,
                    },
                );
            }
        }
    }
}
