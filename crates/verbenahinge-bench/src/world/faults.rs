//! Faults of a run, and the load reports that they concern.

use rand::RngExt;
use verbenahinge_core::{Attempt, Event, FailureKind, LoadReport, RequestId, ServerName};

use super::{
    Backend, REPORT_INTERVAL, REPORT_LAG, REPORT_LOSS, RESTART, STRAGGLER_FACTOR, World, WorldEvent,
};
use crate::deployment::{ENGINE_POOL, FRONT_POOL};
use crate::scenario::Fault;

impl World<'_> {
    pub(super) fn report(&mut self) {
        self.at(self.now + REPORT_INTERVAL, WorldEvent::Report);
        if self.reports_stopped {
            return;
        }
        let mut reports = Vec::new();
        for (name, backend) in &self.backends {
            let (down, incarnation, running, waiting) = match backend {
                Backend::Engine(engine) => (
                    engine.down,
                    engine.incarnation,
                    engine.running(),
                    engine.waiting(),
                ),
                Backend::Service(service) => {
                    (service.down, 1, service.running(), service.waiting())
                }
            };
            if down {
                continue;
            }
            reports.push(LoadReport {
                server: name.clone(),
                incarnation,
                running: u32::try_from(running).unwrap_or(u32::MAX),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            });
        }
        let due = self.now + REPORT_LAG;
        for report in reports {
            for vm in 0..self.dead_vms.len() {
                if self.rng.random_bool(REPORT_LOSS) {
                    continue;
                }
                let event = Event::Report(report.clone());
                self.at(due, WorldEvent::Deliver { vm, event });
            }
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Stragglers { .. } => self.slow_down(),
            Fault::Crash { engine, .. } => {
                let name = ServerName::from(format!("engine-{engine:03}"));
                self.crash(&name);
                let due = self.now + RESTART;
                self.at(due, WorldEvent::Restart { server: name });
            }
            Fault::ZoneLost { .. } => self.lose_zone(),
            Fault::ReportsStop { .. } => self.reports_stopped = true,
        }
    }

    pub(super) fn slow_down(&mut self) {
        for (index, backend) in self.backends.values_mut().enumerate() {
            if let Backend::Engine(engine) = backend
                && index % 10 == 3
            {
                engine.slow_down(STRAGGLER_FACTOR);
            }
        }
    }

    pub(super) fn crash(&mut self, server: &ServerName) {
        let lost: Vec<(usize, RequestId, Attempt)> = match self.backends.get_mut(server) {
            Some(Backend::Engine(engine)) => engine
                .crash()
                .into_iter()
                .map(|job| (job.vm, job.request, job.attempt))
                .collect(),
            Some(Backend::Service(service)) => service
                .crash()
                .into_iter()
                .map(|job| (job.vm, job.request, job.attempt))
                .collect(),
            None => Vec::new(),
        };
        for (vm, request, attempt) in lost {
            self.fail(vm, request, attempt, FailureKind::ConnectionLost);
        }
    }

    pub(super) fn lose_zone(&mut self) {
        let zones = self.deployment.zone_count;
        for vm in (0..self.dead_vms.len()).step_by(zones) {
            self.dead_vms[vm] = true;
        }
        let dead = self.dead_vms.clone();
        for record in &mut self.outcome.records {
            let arrived = record.arrival.at <= self.now;
            if arrived && dead[record.arrival.vm] && !record.is_settled() {
                record.caller_gone = true;
            }
        }
        let mut lost = Vec::new();
        for pool in [ENGINE_POOL, FRONT_POOL] {
            for (name, server) in &self.deployment.declaration.pools[pool].servers {
                if &*server.availability_zone == "zone-0" {
                    lost.push(name.clone());
                }
            }
        }
        for server in lost {
            self.crash(&server);
        }
    }
}
