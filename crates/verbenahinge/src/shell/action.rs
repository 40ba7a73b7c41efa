//! Carries out the actions of the core.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use verbenahinge_core::{
    Action, Attempt, Dispatch, DispatchMode, Event, FailureKind, Frame, Refusal, RefusalReason,
    RequestId, ServerName, TableOpId,
};

use super::decision_log::DecisionStep;
use super::job::{Call, Job, Part, ServiceAnswer};
use super::{PatchResult, Shell};
use crate::api_error::format_id;
use crate::backend;
use crate::event_log::LogEvent;

impl Shell {
    pub(super) fn act(self: &Rc<Self>, action: Action, data: Option<(Frame, &Bytes)>) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(&dispatch),
            Action::Cancel {
                request,
                attempt,
                server,
            } => self.cancel(request, attempt, &server),
            Action::Relay(request) => self.relay(request, data),
            Action::Finish(request) => self.finish(request),
            Action::Refuse { request, refusal } => self.refuse(request, refusal),
            Action::Replay { request, outcome } => self.replay(request, outcome),
            Action::Table { op, operation } => self.table(op, operation),
            Action::SendDigest { links, digest } => self.peers.send_digest(links, &digest),
            Action::FetchConfig(vm) => self.peers.fetch_config(vm),
            Action::ConfigInForce(_) => self.adopt_config(),
            Action::ConfigUnreadable(row) => {
                LogEvent::ConfigUnreadable.log(&[("source", &row), ("cause", &"no such format")]);
            }
            Action::PatchCompleted { patch_id, result } => self.patch_decided(&patch_id, &result),
            Action::HealthChanged { server, up } => Self::health_changed(&server, up),
            Action::Drained => {
                LogEvent::Drained.log(&[]);
                self.drained.notify_one();
            }
        }
    }

    fn health_changed(server: &ServerName, up: bool) {
        let event = if up {
            LogEvent::ServerReadmitted
        } else {
            LogEvent::ServerEjected
        };
        event.log(&[("server", server)]);
    }

    fn table(self: &Rc<Self>, op: TableOpId, operation: verbenahinge_core::table::TableOp) {
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            let reply = shell.platform.execute(operation).await;
            shell.handle(Event::TableReply { op, reply });
        });
    }

    fn patch_decided(&self, patch_id: &Arc<str>, result: &PatchResult) {
        match result {
            Ok(version) => {
                LogEvent::PatchAccepted.log(&[("patch_id", patch_id), ("version", version)]);
            }
            Err(error) => {
                LogEvent::PatchRejected.log(&[("patch_id", patch_id), ("cause", error)]);
            }
        }
        let waiting = self.patches.borrow_mut().remove(patch_id);
        for sender in waiting.unwrap_or_default() {
            if sender.send(result.clone()).is_err() {
                log::trace!("the operator has gone away");
            }
        }
    }

    fn dispatch(self: &Rc<Self>, dispatch: &Dispatch) {
        let now = self.clock.now();
        let address = self.server_address(&dispatch.server);
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&dispatch.request) else {
            return;
        };
        if dispatch.attempt == 1 {
            job.metrics
                .observe_queue_wait(now.saturating_sub(job.arrived));
        } else {
            job.metrics.count_retry();
        }
        if !matches!(dispatch.mode, DispatchMode::Resume { .. }) {
            job.stream = dispatch.attempt;
        }
        self.note_step(
            dispatch.request,
            job,
            "dispatch",
            Some(&dispatch.server),
            None,
        );
        let Some(address) = address else {
            self.fail_later(dispatch, FailureKind::ConnectFailed);
            return;
        };
        let attempt = backend::AttemptSpec {
            address,
            dispatch: dispatch.clone(),
            stream: job.stream,
        };
        if let Some(task) = job.task.take() {
            task.abort();
        }
        job.task = Some(match &job.call {
            Call::Engine(call) => actix_rt::spawn(backend::run_engine(
                Rc::clone(self),
                attempt,
                Rc::clone(call),
            )),
            Call::Service(call) => actix_rt::spawn(backend::run_service(
                Rc::clone(self),
                attempt,
                Rc::clone(call),
            )),
        });
    }

    fn server_address(&self, server: &ServerName) -> Option<SocketAddr> {
        self.with_node(|node| {
            let pools = &node.config().declaration.pools;
            let found = pools.values().find_map(|pool| pool.servers.get(server));
            found.map(|server| server.address)
        })
    }

    fn fail_later(self: &Rc<Self>, dispatch: &Dispatch, kind: FailureKind) {
        let shell = Rc::clone(self);
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        actix_rt::spawn(async move {
            shell.handle(Event::Failed {
                request,
                attempt,
                kind,
            });
        });
    }

    fn cancel(self: &Rc<Self>, request: RequestId, attempt: Attempt, server: &ServerName) {
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&request) else {
            return;
        };
        if let Some(task) = job.task.take() {
            task.abort();
        }
        self.note_step(request, job, "cancel", Some(server), None);
        if !matches!(job.call, Call::Engine(_)) {
            return;
        }
        let address = self.server_address(server);
        let stream = backend::stream_id(request, job.stream.min(attempt));
        if let Some(address) = address {
            let shell = Rc::clone(self);
            actix_rt::spawn(async move { shell.backend.cancel(address, &stream).await });
        }
    }

    fn relay(&self, request: RequestId, data: Option<(Frame, &Bytes)>) {
        let now = self.clock.now();
        let mut jobs = self.jobs.borrow_mut();
        let (Some(job), Some((frame, bytes))) = (jobs.get_mut(&request), data) else {
            return;
        };
        match job.last_token.replace(now) {
            None => job
                .metrics
                .observe_first_token(now.saturating_sub(job.arrived)),
            Some(last) => job.metrics.observe_token_interval(now.saturating_sub(last)),
        }
        job.metrics.count_tokens(frame.tokens);
        if job.keeps_outcome() {
            job.kept.push(bytes.clone());
        }
        job.send(Part::Frame(bytes.clone()));
    }

    /// Keeps the answer of a plain service until the core has accepted it.
    pub(crate) fn keep_answer(&self, request: RequestId, answer: ServiceAnswer) {
        if let Some(job) = self.jobs.borrow_mut().get_mut(&request) {
            job.answer = Some(answer);
        }
    }

    /// The outcome that duplicates of a request get, if it is to be kept.
    pub(crate) fn outcome(&self, request: RequestId) -> Option<Arc<str>> {
        let jobs = self.jobs.borrow();
        let job = jobs.get(&request)?;
        if !job.keeps_outcome() {
            return None;
        }
        backend::encode_outcome(job.answer.as_ref(), &job.kept)
    }

    fn finish(&self, request: RequestId) {
        let Some(job) = self.jobs.borrow_mut().remove(&request) else {
            return;
        };
        let now = self.clock.now();
        self.note_step(request, &job, "finish", None, None);
        job.metrics.observe_total(now.saturating_sub(job.arrived));
        match job.answer.clone() {
            Some(answer) => job.send(Part::Whole(answer)),
            None => job.send(Part::End),
        }
    }

    fn refuse(&self, request: RequestId, refusal: Refusal) {
        let Some(mut job) = self.jobs.borrow_mut().remove(&request) else {
            return;
        };
        if let Some(task) = job.task.take() {
            task.abort();
        }
        self.note_step(request, &job, "refuse", None, Some(refusal));
        job.metrics.count_refusal(refusal.reason);
        let event = match refusal.reason {
            RefusalReason::Quarantined => LogEvent::RequestQuarantined,
            _ => LogEvent::RequestRefused,
        };
        let id = format_id(request);
        event.log(&[
            ("request_id", &id),
            ("reason", &refusal.reason),
            ("verdict", &refusal.verdict),
        ]);
        job.send(Part::Refused(refusal));
    }

    fn replay(&self, request: RequestId, outcome: Arc<str>) {
        let Some(job) = self.jobs.borrow_mut().remove(&request) else {
            return;
        };
        self.note_step(request, &job, "replay", None, None);
        job.send(Part::Replayed(outcome));
    }

    /// Ends a request whose caller has gone away.
    pub(crate) fn caller_gone(self: &Rc<Self>, request: RequestId) {
        self.handle(Event::CallerGone(request));
        self.jobs.borrow_mut().remove(&request);
    }

    fn note_step(
        &self,
        request: RequestId,
        job: &Job,
        step: &str,
        server: Option<&ServerName>,
        refusal: Option<Refusal>,
    ) {
        let after = self.clock.now().saturating_sub(job.arrived);
        let step = DecisionStep {
            after_ms: u64::try_from(after.as_millis()).unwrap_or(u64::MAX),
            step: step.to_owned(),
            server: server.map(ToString::to_string),
            refusal,
        };
        self.decisions.borrow_mut().step(request, step);
    }
}
