//! Messages between VMs and backend servers.

use verbenahinge_core::{
    Attempt, Dispatch, DispatchMode, Event, FailureKind, Frame, RequestId, ServerName,
};

use super::{Backend, SimEvent, Simulation, delivered_frames, engine_job, record_index};
use crate::fake_engine::EngineOutput;
use crate::fake_service::ServiceJob;

impl Simulation<'_> {
    pub(super) fn submit(&mut self, vm: usize, dispatch: &Dispatch) {
        let now = self.now;
        let index = record_index(dispatch.request);
        let arrival = self.outcome.records[index].arrival.clone();
        let failure = match self.backends.get_mut(&dispatch.server) {
            Some(Backend::Engine(engine)) if !engine.down => {
                if let DispatchMode::Resume { .. } = dispatch.mode {
                    Some(FailureKind::Rejected)
                } else {
                    let seq = delivered_frames(dispatch.mode);
                    let remaining =
                        arrival.output_tokens - self.outcome.records[index].delivered_tokens;
                    engine.submit(
                        now,
                        engine_job(vm, dispatch, &arrival, remaining.max(1), seq),
                    );
                    None
                }
            }
            Some(Backend::Service(service)) if !service.down => {
                service.submit(
                    now,
                    ServiceJob {
                        request: dispatch.request,
                        attempt: dispatch.attempt,
                        vm,
                        service_time: arrival.service_time,
                    },
                );
                None
            }
            _ => Some(FailureKind::ConnectFailed),
        };
        match failure {
            Some(kind) => self.send_failure(vm, dispatch.request, dispatch.attempt, kind),
            None => self.arm_backend_timer(&dispatch.server.clone()),
        }
    }

    pub(super) fn send_failure(
        &mut self,
        vm: usize,
        request: RequestId,
        attempt: Attempt,
        kind: FailureKind,
    ) {
        let event = Event::Failed {
            request,
            attempt,
            kind,
        };
        let due = self.now + self.deployment.network_delay;
        self.schedule(due, SimEvent::Deliver { vm, event });
    }

    pub(super) fn arm_backend_timer(&mut self, server: &ServerName) {
        let due = match &self.backends[server] {
            Backend::Engine(engine) => engine.next_due(),
            Backend::Service(service) => service.next_due(),
        };
        let Some(due) = due else {
            return;
        };
        let due = due.max(self.now);
        if self
            .backend_timers
            .get(server)
            .is_some_and(|armed| *armed <= due)
        {
            return;
        }
        self.backend_timers.insert(server.clone(), due);
        let server = server.clone();
        self.schedule(due, SimEvent::BackendTimer { server });
    }

    pub(super) fn advance_backend(&mut self, server: &ServerName) {
        self.backend_timers.remove(server);
        let now = self.now;
        match self.backends.get_mut(server) {
            Some(Backend::Engine(engine)) => {
                let outputs = engine.advance(now);
                for output in outputs {
                    self.handle_engine_output(output);
                }
            }
            Some(Backend::Service(service)) => {
                for job in service.advance(now) {
                    self.send_finished(job.vm, job.request, job.attempt);
                }
            }
            None => return,
        }
        self.arm_backend_timer(server);
    }

    pub(super) fn handle_engine_output(&mut self, output: EngineOutput) {
        match output {
            EngineOutput::Prefilled { request, tokens } => {
                let record = self.record(request);
                record.prefilled_tokens += tokens;
                record.first_prefill_tokens.get_or_insert(tokens);
            }
            EngineOutput::Frame { job, tokens, last } => {
                self.record(job.request).generated_tokens += tokens;
                let due = self.now + self.deployment.network_delay;
                let event = Event::Frame(Frame {
                    request: job.request,
                    attempt: job.attempt,
                    seq: job.next_seq,
                    tokens,
                });
                self.schedule(due, SimEvent::Deliver { vm: job.vm, event });
                if last {
                    self.send_finished(job.vm, job.request, job.attempt);
                }
            }
        }
    }

    pub(super) fn send_finished(&mut self, vm: usize, request: RequestId, attempt: Attempt) {
        let event = Event::Finished {
            request,
            attempt,
            outcome: None,
        };
        let due = self.now + self.deployment.network_delay;
        self.schedule(due, SimEvent::Deliver { vm, event });
    }

    pub(super) fn cancel(&mut self, server: &ServerName, request: RequestId, attempt: Attempt) {
        if let Some(Backend::Engine(engine)) = self.backends.get_mut(server) {
            engine.cancel(self.now, request, attempt);
            self.arm_backend_timer(server);
        }
    }
}
