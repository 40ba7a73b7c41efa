//! Claims of idempotency keys, so that a request that is not repeatable runs at most once.
//!
//! A claim is a row in the table service that is written, if absent, before the request is
//! dispatched. Pending claims are batched into one transaction. If the reply is lost, the
//! transaction is repeated; a conflict then shows which request holds the row. See
//! `docs/design/claims.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::table::{Row, RowKey, RowValue, TableOp, TableReply};
use crate::{RequestId, TableOpId, Timestamp};

/// Maximum number of claim rows written in one transaction.
const MAX_BATCH_CLAIMS: usize = 64;

/// Minimum time between two transactions of one VM, multiplied by the number of VMs in the fleet.
const FLUSH_INTERVAL_PER_VM: Duration = Duration::from_millis(4);

/// Time for which a claimed or completed idempotency key is held.
pub const IDEMPOTENCY_KEY_TTL: Duration = Duration::from_hours(24);

/// Time for which the claim of one VM to run a suspect holds.
pub const SUSPECT_CLAIM_TTL: Duration = Duration::from_mins(1);

/// Number of pending writes from which further outcomes and releases are dropped, for example
/// during an outage of the store.
const MAX_BACKLOG: usize = 4096;

/// State of a claimed key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may be running.
    Claimed,
    /// The key is free: the request was abandoned before it ran, or it was a suspect that has ended
    /// without being quarantined.
    Released,
    /// The request ran to completion.
    Done,
}

/// Stored row of a claimed key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that wrote the row.
    pub request: String,
    /// State of the key.
    pub state: ClaimState,
    /// When the row was written, in milliseconds since the driver's epoch.
    pub written_ms: u64,
    /// Answer to the request, once it has run to completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Arc<str>>,
}

impl ClaimRow {
    fn parse(value: &RowValue) -> Option<Self> {
        serde_json::from_str(value.as_deref()?).ok()
    }

    /// Returns whether another request may claim the key.
    fn is_free(&self, now: Timestamp, ttl: Duration) -> bool {
        let written = Duration::from_millis(self.written_ms);
        self.state == ClaimState::Released || written.saturating_add(ttl) <= now
    }

    fn to_value(&self) -> RowValue {
        // Serialization cannot fail: all fields are strings, numbers or unit variants.
        serde_json::to_string(self).ok().map(Arc::from)
    }
}

/// Result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request holds the key and may be dispatched.
    Granted,
    /// Another request holds the key; carries its outcome if that was stored.
    Duplicate(Option<Arc<str>>),
}

/// Conditional write of a claim row: a claim, or without `request`, an outcome or a release.
#[derive(Clone, Debug)]
struct ClaimWrite {
    key: RowKey,
    expected: RowValue,
    written: RowValue,
    request: Option<RequestId>,
    ttl: Duration,
}

#[derive(Clone, Debug)]
struct Batch {
    op: TableOpId,
    claims: Vec<ClaimWrite>,
}

/// Claims of one VM: pending, in the transaction in flight, and held.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    pending: Vec<ClaimWrite>,
    batch: Option<Batch>,
    held: BTreeMap<RequestId, (RowKey, RowValue)>,
    next_flush: Timestamp,
}

impl Claims {
    /// Creates an empty set of claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues the claim of a key for a request; an existing claim older than `ttl` is replaced.
    pub fn queue_claim(&mut self, now: Timestamp, key: RowKey, request: RequestId, ttl: Duration) {
        let written = claim_row(now, request, ClaimState::Claimed, None).to_value();
        self.pending.push(ClaimWrite {
            key,
            expected: None,
            written,
            request: Some(request),
            ttl,
        });
    }

    /// Drops the claim of a request; a key that is or may become claimed is released in the store.
    pub fn abandon(&mut self, now: Timestamp, request: RequestId) {
        if let Some((key, value)) = self.held.remove(&request) {
            self.queue_release(now, key, value, request);
            return;
        }
        self.pending.retain(|claim| claim.request != Some(request));
        let Some(batch) = &mut self.batch else {
            return;
        };
        let Some(claim) = batch
            .claims
            .iter_mut()
            .find(|claim| claim.request == Some(request))
        else {
            return;
        };
        claim.request = None;
        let (key, value) = (claim.key.clone(), claim.written.clone());
        self.queue_release(now, key, value, request);
    }

    /// Stores the outcome of a completed request, for its duplicates.
    pub fn complete(&mut self, now: Timestamp, request: RequestId, outcome: Option<Arc<str>>) {
        let Some((key, expected)) = self.held.remove(&request) else {
            return;
        };
        let written = claim_row(now, request, ClaimState::Done, outcome).to_value();
        self.queue_write(key, expected, written);
    }

    /// Drops the local state of a request that may have run; its row stays claimed.
    pub fn forget(&mut self, request: RequestId) {
        self.held.remove(&request);
    }

    fn queue_release(
        &mut self,
        now: Timestamp,
        key: RowKey,
        expected: RowValue,
        request: RequestId,
    ) {
        let written = claim_row(now, request, ClaimState::Released, None).to_value();
        self.queue_write(key, expected, written);
    }

    fn queue_write(&mut self, key: RowKey, expected: RowValue, written: RowValue) {
        if self.pending.len() >= MAX_BACKLOG {
            return;
        }
        self.pending.push(ClaimWrite {
            key,
            expected,
            written,
            request: None,
            ttl: Duration::MAX,
        });
    }

    /// Returns when the next transaction may be sent, if writes are pending and none is in flight.
    #[must_use]
    pub fn next_flush(&self) -> Option<Timestamp> {
        let ready = self.batch.is_none() && !self.pending.is_empty();
        ready.then_some(self.next_flush)
    }

    /// Starts the next transaction, if one is due.
    pub fn flush(&mut self, now: Timestamp, op: TableOpId, vms: u32) -> Option<TableOp> {
        if self.next_flush()? > now {
            return None;
        }
        let mut claims: Vec<ClaimWrite> = Vec::new();
        let mut deferred = Vec::new();
        for claim in self.pending.drain(..) {
            let key_in_batch = claims.iter().any(|other| other.key == claim.key);
            if key_in_batch || claims.len() >= MAX_BATCH_CLAIMS {
                deferred.push(claim);
                continue;
            }
            claims.push(claim);
        }
        self.pending = deferred;
        self.next_flush = now + FLUSH_INTERVAL_PER_VM * vms.max(1);
        let operation = build_commit(&claims);
        self.batch = Some(Batch { op, claims });
        Some(operation)
    }

    /// Returns whether `op` is the transaction in flight.
    #[must_use]
    pub fn is_in_flight(&self, op: TableOpId) -> bool {
        self.batch.as_ref().is_some_and(|batch| batch.op == op)
    }

    /// Handles the reply to the transaction in flight and returns the claims that it resolves.
    pub fn handle_reply(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        reply: &TableReply,
    ) -> Vec<(RequestId, ClaimResult)> {
        if !self.is_in_flight(op) {
            return Vec::new();
        }
        let Some(batch) = self.batch.take() else {
            return Vec::new();
        };
        match reply {
            TableReply::Committed => self.grant_all(batch.claims),
            TableReply::Conflict(rows) => self.resolve_conflict(now, batch.claims, rows),
            TableReply::Lost | TableReply::Row(_) => {
                self.requeue(batch.claims);
                Vec::new()
            }
        }
    }

    fn grant_all(&mut self, claims: Vec<ClaimWrite>) -> Vec<(RequestId, ClaimResult)> {
        let mut resolved = Vec::new();
        for claim in claims {
            resolved.extend(self.grant(claim));
        }
        resolved
    }

    fn grant(&mut self, claim: ClaimWrite) -> Option<(RequestId, ClaimResult)> {
        let request = claim.request?;
        self.held.insert(request, (claim.key, claim.written));
        Some((request, ClaimResult::Granted))
    }

    fn resolve_conflict(
        &mut self,
        now: Timestamp,
        claims: Vec<ClaimWrite>,
        rows: &[Row],
    ) -> Vec<(RequestId, ClaimResult)> {
        let mut resolved = Vec::new();
        let mut retries = Vec::new();
        for mut claim in claims {
            let Some(row) = rows.iter().find(|row| row.key == claim.key) else {
                retries.push(claim);
                continue;
            };
            if row.value == claim.written {
                resolved.extend(self.grant(claim));
                continue;
            }
            let Some(request) = claim.request else {
                continue;
            };
            match ClaimRow::parse(&row.value) {
                // An unreadable row may belong to a request that has run.
                None if row.value.is_some() => {
                    resolved.push((request, ClaimResult::Duplicate(None)));
                }
                None => {
                    claim.expected.clone_from(&row.value);
                    retries.push(claim);
                }
                Some(holder) if holder.is_free(now, claim.ttl) => {
                    claim.expected.clone_from(&row.value);
                    retries.push(claim);
                }
                Some(holder) => {
                    resolved.push((request, ClaimResult::Duplicate(holder.outcome)));
                }
            }
        }
        self.requeue(retries);
        resolved
    }

    /// Puts claims back at the front, so that a release stays behind the claim that it undoes.
    fn requeue(&mut self, mut claims: Vec<ClaimWrite>) {
        claims.append(&mut self.pending);
        self.pending = claims;
    }
}

fn claim_row(
    now: Timestamp,
    request: RequestId,
    state: ClaimState,
    outcome: Option<Arc<str>>,
) -> ClaimRow {
    ClaimRow {
        request: format!("{request:032x}"),
        state,
        written_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        outcome,
    }
}

fn build_commit(claims: &[ClaimWrite]) -> TableOp {
    let checks = claims
        .iter()
        .map(|claim| Row::new(claim.key.clone(), claim.expected.clone()))
        .collect();
    let writes = claims
        .iter()
        .map(|claim| Row::new(claim.key.clone(), claim.written.clone()))
        .collect();
    TableOp::Commit { checks, writes }
}
