//! Load reports and injected faults.

use rand::RngExt;
use verbenahinge_core::{Attempt, Event, FailureKind, LoadReport, RequestId, ServerName};

use super::{
    Backend, REPORT_DELAY, REPORT_INTERVAL, REPORT_LOSS_RATE, RESTART_TIME, STRAGGLER_SLOWDOWN,
    SimEvent, Simulation,
};
use crate::deployment::{ENGINE_POOL, FRONT_POOL};
use crate::scenario::Fault;

impl Simulation<'_> {
    pub(super) fn send_load_reports(&mut self) {
        self.schedule(self.now + REPORT_INTERVAL, SimEvent::LoadReports);
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
        let due = self.now + REPORT_DELAY;
        for report in reports {
            for vm in 0..self.failed_vms.len() {
                if self.rng.random_bool(REPORT_LOSS_RATE) {
                    continue;
                }
                let event = Event::Report(report.clone());
                self.schedule(due, SimEvent::Deliver { vm, event });
            }
        }
    }

    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Stragglers { .. } => self.slow_stragglers(),
            Fault::Crash { engine, .. } => {
                let name = ServerName::from(format!("engine-{engine:03}"));
                self.crash_backend(&name);
                let due = self.now + RESTART_TIME;
                self.schedule(due, SimEvent::Restart { server: name });
            }
            Fault::ZoneLost { .. } => self.fail_zone(),
            Fault::ReportsStop { .. } => self.reports_stopped = true,
        }
    }

    pub(super) fn slow_stragglers(&mut self) {
        for (index, backend) in self.backends.values_mut().enumerate() {
            if let Backend::Engine(engine) = backend
                && index % 10 == 3
            {
                engine.slow_down(STRAGGLER_SLOWDOWN);
            }
        }
    }

    pub(super) fn crash_backend(&mut self, server: &ServerName) {
        let lost_jobs: Vec<(usize, RequestId, Attempt)> = match self.backends.get_mut(server) {
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
        for (vm, request, attempt) in lost_jobs {
            self.send_failure(vm, request, attempt, FailureKind::ConnectionLost);
        }
    }

    pub(super) fn fail_zone(&mut self) {
        let zones = self.deployment.zone_count;
        for vm in (0..self.failed_vms.len()).step_by(zones) {
            self.failed_vms[vm] = true;
        }
        let failed = self.failed_vms.clone();
        for record in &mut self.outcome.records {
            let arrived = record.arrival.at <= self.now;
            if arrived && failed[record.arrival.vm] && !record.is_settled() {
                record.caller_gone = true;
            }
        }
        let mut zone_servers = Vec::new();
        for pool in [ENGINE_POOL, FRONT_POOL] {
            for (name, server) in &self.deployment.declaration.pools[pool].servers {
                if &*server.availability_zone == "zone-0" {
                    zone_servers.push(name.clone());
                }
            }
        }
        for server in zone_servers {
            self.crash_backend(&server);
        }
    }
}
