//! What the node does with the platform's table service.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::flight::Phase;
use super::peers::URGENT_INTERVAL;
use super::timer::Timer;
use crate::claims::ClaimResult;
use crate::config_log::{ConfigOutput, PatchSubmission, VersionRow};
use crate::table::{RowKey, TableReply};
use crate::{Action, Refusal, RefusalReason, RequestId, TableOpId, Verdict};

impl Node {
    pub(super) const fn take_op(&mut self) -> TableOpId {
        self.next_op += 1;
        self.next_op
    }

    pub(super) fn table_reply(&mut self, op: TableOpId, reply: &TableReply) {
        if self.claims.awaits(op) {
            let settled = self.claims.reply(self.now, op, reply);
            self.settle_claims(settled);
            return;
        }
        let next_op = self.take_op();
        for step in self.config.handle_reply(op, reply, next_op) {
            self.log_step(step);
        }
    }

    pub(super) fn patch(&mut self, submission: &PatchSubmission) {
        let op = self.take_op();
        let step = self.config.submit(self.now, op, submission);
        self.log_step(step);
    }

    pub(super) fn config_learned(&mut self, row: Arc<VersionRow>) {
        if let Some(step) = self.config.adopt_if_newer(row) {
            self.log_step(step);
        }
    }

    pub(super) fn log_step(&mut self, step: ConfigOutput) {
        match step {
            ConfigOutput::Table(op, operation) => self.out.push(Action::Table { op, operation }),
            ConfigOutput::PatchResult(patch_id, result) => {
                self.out.push(Action::PatchCompleted { patch_id, result });
            }
            ConfigOutput::Unreadable(row) => self.out.push(Action::ConfigUnreadable(row)),
            ConfigOutput::InForce(version) => {
                self.rebuild_pools();
                self.out.push(Action::ConfigInForce(version));
                self.schedule_digest(URGENT_INTERVAL, true);
            }
        }
    }

    /// Asks for the claim of an idempotency key.
    pub(super) fn claim_key(&mut self, request: RequestId, key: RowKey, ttl: Duration) {
        self.claims.request(self.now, key, request, ttl);
        self.schedule_claims();
    }

    pub(super) fn schedule_claims(&mut self) {
        if let Some(due) = self.claims.next_flush() {
            self.set_timer(due.max(self.now), Timer::ClaimFlush);
        }
    }

    pub(super) fn flush_claims(&mut self) {
        let op = self.take_op();
        let vms = self.membership.vm_count();
        if let Some(operation) = self.claims.flush(self.now, op, vms) {
            self.out.push(Action::Table { op, operation });
        }
    }

    pub(super) fn claim_settled(&mut self, request: RequestId, result: ClaimResult) {
        let Some(flight) = self.flights.get_mut(&request) else {
            self.claims.abandon(self.now, request);
            return;
        };
        if flight.phase != Phase::Claiming {
            return;
        }
        match result {
            ClaimResult::Granted => {
                flight.claimed = true;
                self.enqueue(request, false);
            }
            ClaimResult::Duplicate(outcome) if flight.suspect_claim => {
                self.suspect_is_held(request, outcome.is_some());
            }
            ClaimResult::Duplicate(Some(outcome)) => {
                self.remove_flight(request);
                self.out.push(Action::Replay { request, outcome });
            }
            ClaimResult::Duplicate(None) => {
                let refusal = Refusal::new(RefusalReason::Duplicate);
                self.refuse_later(request, refusal.verdict(Verdict::MayHaveRun));
            }
        }
    }

    /// Refuses a suspect that another VM is running or has found to crash servers.
    fn suspect_is_held(&mut self, request: RequestId, convicted: bool) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let verdict = flight.verdict;
        let reason = if convicted {
            self.quarantine
                .convict(self.now, flight.request.fingerprint);
            RefusalReason::Quarantined
        } else {
            RefusalReason::Suspect
        };
        self.refuse_later(request, Refusal::new(reason).verdict(verdict));
    }
}
