//! Performs the actions of the router and records them in the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use verbenahinge_core::digest::Digest;
use verbenahinge_core::{Action, Dispatch, DispatchMode, Event, Refusal, RequestId, ServerName};

use super::{Backend, SimEvent, Simulation, record_index};
use crate::dispatch_record::DispatchRecord;
use crate::preemption_record::PreemptionRecord;
use crate::request_record::{RefusalRecord, RequestRecord};

/// Time until a reply of the table service arrives.
const TABLE_LATENCY: Duration = Duration::from_millis(5);

/// Maximum number of times that a caller retries after a refusal.
const MAX_CALLER_RETRIES: u32 = 3;

impl Simulation<'_> {
    pub(super) fn perform(&mut self, vm: usize, action: Action, tokens: u32) {
        let hop = self.deployment.network_delay;
        match action {
            Action::Dispatch(dispatch) => self.dispatch(vm, dispatch),
            Action::Cancel {
                request,
                attempt,
                server,
            } => {
                self.record_preemption(request, &server);
                let event = SimEvent::Cancel {
                    server,
                    request,
                    attempt,
                };
                self.schedule(self.now + hop, event);
            }
            Action::Relay(request) => {
                let now = self.now;
                let record = self.record(request);
                record.delivered_tokens += tokens;
                record.first_token.get_or_insert(now);
            }
            Action::Finish(request) => {
                let now = self.now;
                let record = self.record(request);
                record.first_token.get_or_insert(now);
                record.end = Some(now);
                record.end_count += 1;
            }
            Action::Refuse { request, refusal } => self.handle_refusal(request, refusal),
            Action::SendDigest { links, digest } => self.send_digest(&links, &digest),
            Action::Table { op, operation } => {
                let reply = self.table.apply(operation);
                let event = Event::TableReply { op, reply };
                let due = self.now + TABLE_LATENCY;
                self.schedule(due, SimEvent::Deliver { vm, event });
            }
            // The other actions concern operators, and a run has none.
            _ => {}
        }
    }

    /// Records a cancellation as a preemption unless the server is down, the caller is gone or the
    /// request has ended.
    fn record_preemption(&mut self, request: RequestId, server: &ServerName) {
        let down = match &self.backends[server] {
            Backend::Engine(engine) => engine.down,
            Backend::Service(service) => service.down,
        };
        let record = &self.outcome.records[record_index(request)];
        if down || record.is_settled() {
            return;
        }
        self.outcome.preemptions.push(PreemptionRecord {
            at: self.now,
            pool: record.arrival.pool.clone(),
            tier: self.deployment.tier(&record.arrival.class),
        });
    }

    pub(super) fn record(&mut self, request: RequestId) -> &mut RequestRecord {
        &mut self.outcome.records[record_index(request)]
    }

    fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let now = self.now;
        let record = self.record(dispatch.request);
        let (pool, class) = (record.arrival.pool.clone(), record.arrival.class.clone());
        if !matches!(dispatch.mode, DispatchMode::Resume { .. }) {
            record.dispatches += 1;
            let tier = self.deployment.tier(&class);
            self.outcome.dispatches.push(DispatchRecord {
                at: now,
                pool,
                class,
                tier,
                floor: dispatch.guaranteed,
            });
        }
        let due = now + self.deployment.network_delay;
        self.schedule(due, SimEvent::Submit { vm, dispatch });
    }

    fn handle_refusal(&mut self, request: RequestId, refusal: Refusal) {
        let now = self.now;
        let callers_retry = self.scenario.callers_return;
        let record = self.record(request);
        record.refusals.push(RefusalRecord {
            at: now,
            reason: refusal.reason,
            verdict: refusal.verdict,
            retry_after: refusal.retry_after,
        });
        let Some(delay) = refusal.retry_after else {
            return;
        };
        if !callers_retry || record.resubmissions >= MAX_CALLER_RETRIES {
            return;
        }
        let mut retry = record.arrival.clone();
        retry.at = now + delay;
        let next = RequestRecord::new(retry, record.resubmissions + 1);
        if next.arrival.at >= self.scenario.duration() {
            return;
        }
        let index = self.outcome.records.len();
        self.schedule(next.arrival.at, SimEvent::RequestArrival(index));
        self.outcome.records.push(next);
    }

    fn send_digest(&mut self, links: &[SocketAddr], digest: &Digest) {
        let due = self.now + self.deployment.network_delay;
        for address in links {
            let Some(vm) = self.deployment.vms.iter().position(|vm| vm == address) else {
                continue;
            };
            self.outcome.digests += 1;
            let event = Event::Digest(digest.clone());
            self.schedule(due, SimEvent::Deliver { vm, event });
        }
    }
}
