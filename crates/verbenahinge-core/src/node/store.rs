//! Operations on the platform's table service: configuration log and claims.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::peers::URGENT_INTERVAL;
use super::request_state::Phase;
use super::timer::Timer;
use crate::claims::ClaimResult;
use crate::config_log::{ConfigOutput, PatchSubmission, VersionRow};
use crate::table::{RowKey, TableReply};
use crate::{Action, Refusal, RefusalReason, RequestId, TableOpId, Verdict};

impl Node {
    pub(super) const fn allocate_op(&mut self) -> TableOpId {
        self.next_op += 1;
        self.next_op
    }

    pub(super) fn handle_table_reply(&mut self, op: TableOpId, reply: &TableReply) {
        if self.claims.is_in_flight(op) {
            let resolved = self.claims.handle_reply(self.now, op, reply);
            self.apply_claim_results(resolved);
            return;
        }
        let next_op = self.allocate_op();
        for output in self.config.handle_reply(op, reply, next_op) {
            self.apply_config_output(output);
        }
    }

    pub(super) fn submit_patch(&mut self, submission: &PatchSubmission) {
        let op = self.allocate_op();
        let output = self.config.submit(self.now, op, submission);
        self.apply_config_output(output);
    }

    pub(super) fn adopt_config(&mut self, row: Arc<VersionRow>) {
        if let Some(output) = self.config.adopt_if_newer(row) {
            self.apply_config_output(output);
        }
    }

    pub(super) fn apply_config_output(&mut self, output: ConfigOutput) {
        match output {
            ConfigOutput::Table(op, operation) => {
                self.actions.push(Action::Table { op, operation });
            }
            ConfigOutput::PatchResult(patch_id, result) => {
                self.actions
                    .push(Action::PatchCompleted { patch_id, result });
            }
            ConfigOutput::Unreadable(row) => self.actions.push(Action::ConfigUnreadable(row)),
            ConfigOutput::InForce(version) => {
                self.rebuild_pools();
                self.actions.push(Action::ConfigInForce(version));
                self.schedule_digest(URGENT_INTERVAL, true);
            }
        }
    }

    /// Queues the claim of a key for a request.
    pub(super) fn claim_key(&mut self, request: RequestId, key: RowKey, ttl: Duration) {
        self.claims.queue_claim(self.now, key, request, ttl);
        self.schedule_claims();
    }

    pub(super) fn schedule_claims(&mut self) {
        if let Some(due) = self.claims.next_flush() {
            self.set_timer(due.max(self.now), Timer::ClaimFlush);
        }
    }

    pub(super) fn flush_claims(&mut self) {
        let op = self.allocate_op();
        let vms = self.membership.vm_count();
        if let Some(operation) = self.claims.flush(self.now, op, vms) {
            self.actions.push(Action::Table { op, operation });
        }
    }

    pub(super) fn resolve_claim(&mut self, request: RequestId, result: ClaimResult) {
        let Some(state) = self.requests.get_mut(&request) else {
            self.claims.abandon(self.now, request);
            return;
        };
        if state.phase != Phase::Claiming {
            return;
        }
        match result {
            ClaimResult::Granted => {
                state.claimed = true;
                self.enqueue(request, false);
            }
            ClaimResult::Duplicate(outcome) if state.suspect_claim => {
                self.refuse_suspect(request, outcome.is_some());
            }
            ClaimResult::Duplicate(Some(outcome)) => {
                self.remove_request(request);
                self.actions.push(Action::Replay { request, outcome });
            }
            ClaimResult::Duplicate(None) => {
                let refusal = Refusal::new(RefusalReason::Duplicate);
                self.refuse_accepted(request, refusal.verdict(Verdict::MayHaveRun));
            }
        }
    }

    /// Refuses a suspect that another VM is running or has quarantined.
    fn refuse_suspect(&mut self, request: RequestId, is_quarantined: bool) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let verdict = state.verdict;
        let reason = if is_quarantined {
            self.quarantine
                .mark_quarantined(self.now, state.request.fingerprint);
            RefusalReason::Quarantined
        } else {
            RefusalReason::Suspect
        };
        self.refuse_accepted(request, Refusal::new(reason).verdict(verdict));
    }
}
