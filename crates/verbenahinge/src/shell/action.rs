//! Executes the actions of the core.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use verbenahinge_core::{
    Action, Attempt, Dispatch, DispatchMode, Event, FailureKind, Frame, Refusal, RefusalReason,
    RequestId, ServerName, TableOpId,
};

use super::decision_log::DecisionStep;
use super::pending_request::{AnswerPart, BackendCall, PendingRequest, ServiceAnswer};
use super::{PatchResult, Shell};
use crate::api_error::format_request_id;
use crate::backend;
use crate::event_log::LogEvent;

impl Shell {
    pub(super) fn execute(self: &Rc<Self>, action: Action, current_frame: Option<(Frame, &Bytes)>) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(&dispatch),
            Action::Cancel {
                request,
                attempt,
                server,
            } => self.cancel(request, attempt, &server),
            Action::Relay(request) => self.relay(request, current_frame),
            Action::Finish(request) => self.finish(request),
            Action::Refuse { request, refusal } => self.refuse(request, refusal),
            Action::Replay { request, outcome } => self.replay(request, outcome),
            Action::Table { op, operation } => self.run_table_op(op, operation),
            Action::SendDigest { links, digest } => self.peers.send_digest(links, &digest),
            Action::FetchConfig(vm) => self.peers.fetch_config(vm),
            Action::ConfigInForce(_) => self.apply_config(),
            Action::ConfigUnreadable(row) => {
                LogEvent::ConfigUnreadable
                    .log(&[("source", &row), ("cause", &"missing or not parseable")]);
            }
            Action::PatchCompleted { patch_id, result } => self.patch_completed(&patch_id, &result),
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

    fn run_table_op(self: &Rc<Self>, op: TableOpId, operation: verbenahinge_core::table::TableOp) {
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            let reply = shell.platform.execute(operation).await;
            shell.handle(Event::TableReply { op, reply });
        });
    }

    fn patch_completed(&self, patch_id: &Arc<str>, result: &PatchResult) {
        match result {
            Ok(version) => {
                LogEvent::PatchAccepted.log(&[("patch_id", patch_id), ("version", version)]);
            }
            Err(error) => {
                LogEvent::PatchRejected.log(&[("patch_id", patch_id), ("cause", error)]);
            }
        }
        let waiting = self.pending_patches.borrow_mut().remove(patch_id);
        for sender in waiting.unwrap_or_default() {
            if sender.send(result.clone()).is_err() {
                log::trace!("a patch result was dropped: the operator has disconnected");
            }
        }
    }

    fn dispatch(self: &Rc<Self>, dispatch: &Dispatch) {
        let now = self.clock.now();
        let address = self.server_address(&dispatch.server);
        let mut pending_requests = self.pending_requests.borrow_mut();
        let Some(pending) = pending_requests.get_mut(&dispatch.request) else {
            return;
        };
        if dispatch.attempt == 1 {
            pending
                .metrics
                .observe_queue_wait(now.saturating_sub(pending.arrived));
        } else {
            pending.metrics.count_retry();
        }
        if !matches!(dispatch.mode, DispatchMode::Resume { .. }) {
            pending.stream_attempt = dispatch.attempt;
        }
        self.record_step(
            dispatch.request,
            pending,
            "dispatch",
            Some(&dispatch.server),
            None,
        );
        let Some(address) = address else {
            self.defer_failure(dispatch, FailureKind::ConnectFailed);
            return;
        };
        let spec = backend::AttemptSpec {
            address,
            dispatch: dispatch.clone(),
            stream_attempt: pending.stream_attempt,
        };
        if let Some(task) = pending.task.take() {
            task.abort();
        }
        pending.task = Some(match &pending.call {
            BackendCall::Engine(call) => actix_rt::spawn(backend::run_completion(
                Rc::clone(self),
                spec,
                Rc::clone(call),
            )),
            BackendCall::Service(call) => actix_rt::spawn(backend::run_service_call(
                Rc::clone(self),
                spec,
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

    fn defer_failure(self: &Rc<Self>, dispatch: &Dispatch, kind: FailureKind) {
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
        let mut pending_requests = self.pending_requests.borrow_mut();
        let Some(pending) = pending_requests.get_mut(&request) else {
            return;
        };
        if let Some(task) = pending.task.take() {
            task.abort();
        }
        self.record_step(request, pending, "cancel", Some(server), None);
        if !matches!(pending.call, BackendCall::Engine(_)) {
            return;
        }
        let address = self.server_address(server);
        let stream = backend::stream_id(request, pending.stream_attempt.min(attempt));
        if let Some(address) = address {
            let shell = Rc::clone(self);
            actix_rt::spawn(async move { shell.backend.cancel(address, &stream).await });
        }
    }

    fn relay(&self, request: RequestId, current_frame: Option<(Frame, &Bytes)>) {
        let now = self.clock.now();
        let mut pending_requests = self.pending_requests.borrow_mut();
        let (Some(pending), Some((frame, bytes))) =
            (pending_requests.get_mut(&request), current_frame)
        else {
            return;
        };
        match pending.last_token.replace(now) {
            None => pending
                .metrics
                .observe_first_token(now.saturating_sub(pending.arrived)),
            Some(last) => pending
                .metrics
                .observe_token_interval(now.saturating_sub(last)),
        }
        pending.metrics.count_tokens(frame.tokens);
        if pending.keeps_outcome() {
            pending.kept_frames.push(bytes.clone());
        }
        pending.send(AnswerPart::Frame(bytes.clone()));
    }

    /// Stores the answer of a plain service until the core decides to finish the request.
    pub(crate) fn set_service_answer(&self, request: RequestId, answer: ServiceAnswer) {
        if let Some(pending) = self.pending_requests.borrow_mut().get_mut(&request) {
            pending.service_answer = Some(answer);
        }
    }

    /// Returns the encoded outcome for duplicates of a request, or `None` if none is stored.
    pub(crate) fn encoded_outcome(&self, request: RequestId) -> Option<Arc<str>> {
        let pending_requests = self.pending_requests.borrow();
        let pending = pending_requests.get(&request)?;
        if !pending.keeps_outcome() {
            return None;
        }
        backend::encode_outcome(pending.service_answer.as_ref(), &pending.kept_frames)
    }

    fn finish(&self, request: RequestId) {
        let Some(pending) = self.pending_requests.borrow_mut().remove(&request) else {
            return;
        };
        let now = self.clock.now();
        self.record_step(request, &pending, "finish", None, None);
        pending
            .metrics
            .observe_total(now.saturating_sub(pending.arrived));
        match pending.service_answer.clone() {
            Some(answer) => pending.send(AnswerPart::Whole(answer)),
            None => pending.send(AnswerPart::End),
        }
    }

    fn refuse(&self, request: RequestId, refusal: Refusal) {
        let Some(mut pending) = self.pending_requests.borrow_mut().remove(&request) else {
            return;
        };
        if let Some(task) = pending.task.take() {
            task.abort();
        }
        self.record_step(request, &pending, "refuse", None, Some(refusal));
        pending.metrics.count_refusal(refusal.reason);
        let event = match refusal.reason {
            RefusalReason::Quarantined => LogEvent::RequestQuarantined,
            _ => LogEvent::RequestRefused,
        };
        let id = format_request_id(request);
        event.log(&[
            ("request_id", &id),
            ("reason", &refusal.reason),
            ("verdict", &refusal.verdict),
        ]);
        pending.send(AnswerPart::Refused(refusal));
    }

    fn replay(&self, request: RequestId, outcome: Arc<str>) {
        let Some(pending) = self.pending_requests.borrow_mut().remove(&request) else {
            return;
        };
        self.record_step(request, &pending, "replay", None, None);
        pending.send(AnswerPart::Replayed(outcome));
    }

    /// Ends a request whose caller has disconnected.
    pub(crate) fn caller_gone(self: &Rc<Self>, request: RequestId) {
        self.handle(Event::CallerGone(request));
        self.pending_requests.borrow_mut().remove(&request);
    }

    fn record_step(
        &self,
        request: RequestId,
        pending: &PendingRequest,
        step: &str,
        server: Option<&ServerName>,
        refusal: Option<Refusal>,
    ) {
        let after = self.clock.now().saturating_sub(pending.arrived);
        let step = DecisionStep {
            after_ms: u64::try_from(after.as_millis()).unwrap_or(u64::MAX),
            step: step.to_owned(),
            server: server.map(ToString::to_string),
            refusal,
        };
        self.decision_log.borrow_mut().push_step(request, step);
    }
}
