//! Claims of idempotency keys, so that a request that is not repeatable runs at most once.
//!
//! A claim is a row that is written if absent, before the request is dispatched. Claims that
//! wait together go into one transaction. A lost reply is settled by repeating the transaction:
//! a conflict then shows who holds the row. See `docs/design/claims.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::table::{Row, RowKey, RowValue, TableOp, TableReply};
use crate::{RequestId, TableOpId, Timestamp};

/// Claims that one transaction carries at most.
const GROUP_LIMIT: usize = 64;

/// Time between the transactions of one VM, for each VM of the fleet.
const GROUP_INTERVAL_PER_VM: Duration = Duration::from_millis(4);

/// Time for which an idempotency key is remembered.
pub const KEY_TTL: Duration = Duration::from_hours(24);

/// Time for which one VM may keep a suspect to itself.
pub const SUSPECT_TTL: Duration = Duration::from_mins(1);

/// Writes of outcomes and releases that are kept for a store in outage.
const BACKLOG_LIMIT: usize = 4096;

/// State of a claimed key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may be running.
    Claimed,
    /// The request was given up before it ran; the key is free.
    Released,
    /// The request ran to its end.
    Done,
}

/// Row of a claimed key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Holder of the key.
    pub request: String,
    /// State of the key.
    pub state: ClaimState,
    /// When the row was written, since the epoch of the driver.
    pub written_ms: u64,
    /// Answer of the request, once it has run to its end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Arc<str>>,
}

impl ClaimRow {
    fn parse(value: &RowValue) -> Option<Self> {
        serde_json::from_str(value.as_deref()?).ok()
    }

    /// Says whether another request may take the key.
    fn is_free(&self, now: Timestamp, ttl: Duration) -> bool {
        let written = Duration::from_millis(self.written_ms);
        self.state == ClaimState::Released || written.saturating_add(ttl) <= now
    }

    fn to_value(&self) -> RowValue {
        // Its fields are texts and numbers, so that its encoding cannot fail.
        serde_json::to_string(self).ok().map(Arc::from)
    }
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request holds the key and may be dispatched.
    Granted,
    /// Another request holds the key; its outcome if it ran to its end.
    Duplicate(Option<Arc<str>>),
}

#[derive(Clone, Debug)]
struct Claim {
    key: RowKey,
    expected: RowValue,
    written: RowValue,
    request: Option<RequestId>,
    ttl: Duration,
}

#[derive(Clone, Debug)]
struct Group {
    op: TableOpId,
    claims: Vec<Claim>,
}

/// Claims of one VM: waiting, in the current transaction, and held.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    waiting: Vec<Claim>,
    group: Option<Group>,
    held: BTreeMap<RequestId, (RowKey, RowValue)>,
    next_flush: Timestamp,
}

impl Claims {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks for a key on behalf of a request; a claim older than `ttl` no longer holds.
    pub fn request(&mut self, now: Timestamp, key: RowKey, request: RequestId, ttl: Duration) {
        let written = claim_row(now, request, ClaimState::Claimed, None).to_value();
        self.waiting.push(Claim {
            key,
            expected: None,
            written,
            request: Some(request),
            ttl,
        });
    }

    /// Gives up a request; its key becomes free as soon as the store answers.
    pub fn abandon(&mut self, now: Timestamp, request: RequestId) {
        if let Some((key, value)) = self.held.remove(&request) {
            self.release(now, key, value, request);
            return;
        }
        self.waiting.retain(|claim| claim.request != Some(request));
        let Some(group) = &mut self.group else {
            return;
        };
        let Some(claim) = group
            .claims
            .iter_mut()
            .find(|claim| claim.request == Some(request))
        else {
            return;
        };
        claim.request = None;
        let (key, value) = (claim.key.clone(), claim.written.clone());
        self.release(now, key, value, request);
    }

    /// Keeps the outcome of a request that ran to its end, for duplicates.
    pub fn complete(&mut self, now: Timestamp, request: RequestId, outcome: Option<Arc<str>>) {
        let Some((key, expected)) = self.held.remove(&request) else {
            return;
        };
        let written = claim_row(now, request, ClaimState::Done, outcome).to_value();
        self.write_later(key, expected, written);
    }

    /// Forgets a key whose request may have run; the row stays claimed.
    pub fn leave(&mut self, request: RequestId) {
        self.held.remove(&request);
    }

    fn release(&mut self, now: Timestamp, key: RowKey, expected: RowValue, request: RequestId) {
        let written = claim_row(now, request, ClaimState::Released, None).to_value();
        self.write_later(key, expected, written);
    }

    fn write_later(&mut self, key: RowKey, expected: RowValue, written: RowValue) {
        if self.waiting.len() >= BACKLOG_LIMIT {
            return;
        }
        self.waiting.push(Claim {
            key,
            expected,
            written,
            request: None,
            ttl: Duration::MAX,
        });
    }

    /// When the next transaction may be sent, if claims wait.
    #[must_use]
    pub fn next_flush(&self) -> Option<Timestamp> {
        let ready = self.group.is_none() && !self.waiting.is_empty();
        ready.then_some(self.next_flush)
    }

    /// Returns the next transaction, if one is due.
    pub fn flush(&mut self, now: Timestamp, op: TableOpId, vms: u32) -> Option<TableOp> {
        if self.next_flush()? > now {
            return None;
        }
        let mut claims: Vec<Claim> = Vec::new();
        let mut rest = Vec::new();
        for claim in self.waiting.drain(..) {
            let doubled = claims.iter().any(|other| other.key == claim.key);
            if doubled || claims.len() >= GROUP_LIMIT {
                rest.push(claim);
                continue;
            }
            claims.push(claim);
        }
        self.waiting = rest;
        self.next_flush = now + GROUP_INTERVAL_PER_VM * vms.max(1);
        let operation = commit(&claims);
        self.group = Some(Group { op, claims });
        Some(operation)
    }

    /// Says whether the reply to this transaction is awaited here.
    #[must_use]
    pub fn awaits(&self, op: TableOpId) -> bool {
        self.group.as_ref().is_some_and(|group| group.op == op)
    }

    /// Takes in the reply to the current transaction and returns the claims that it settles.
    pub fn reply(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        reply: &TableReply,
    ) -> Vec<(RequestId, ClaimResult)> {
        if !self.awaits(op) {
            return Vec::new();
        }
        let Some(group) = self.group.take() else {
            return Vec::new();
        };
        match reply {
            TableReply::Committed => self.grant_all(group.claims),
            TableReply::Conflict(rows) => self.settle(now, group.claims, rows),
            TableReply::Lost | TableReply::Row(_) => {
                self.try_again(group.claims);
                Vec::new()
            }
        }
    }

    fn grant_all(&mut self, claims: Vec<Claim>) -> Vec<(RequestId, ClaimResult)> {
        let mut settled = Vec::new();
        for claim in claims {
            settled.extend(self.grant(claim));
        }
        settled
    }

    fn grant(&mut self, claim: Claim) -> Option<(RequestId, ClaimResult)> {
        let request = claim.request?;
        self.held.insert(request, (claim.key, claim.written));
        Some((request, ClaimResult::Granted))
    }

    fn settle(
        &mut self,
        now: Timestamp,
        claims: Vec<Claim>,
        rows: &[Row],
    ) -> Vec<(RequestId, ClaimResult)> {
        let mut settled = Vec::new();
        let mut again = Vec::new();
        for mut claim in claims {
            let Some(row) = rows.iter().find(|row| row.key == claim.key) else {
                again.push(claim);
                continue;
            };
            if row.value == claim.written {
                settled.extend(self.grant(claim));
                continue;
            }
            let Some(request) = claim.request else {
                continue;
            };
            match ClaimRow::parse(&row.value) {
                // It may be held by a request that has run.
                None if row.value.is_some() => {
                    settled.push((request, ClaimResult::Duplicate(None)));
                }
                None => {
                    claim.expected.clone_from(&row.value);
                    again.push(claim);
                }
                Some(holder) if holder.is_free(now, claim.ttl) => {
                    claim.expected.clone_from(&row.value);
                    again.push(claim);
                }
                Some(holder) => {
                    settled.push((request, ClaimResult::Duplicate(holder.outcome)));
                }
            }
        }
        self.try_again(again);
        settled
    }

    /// Puts claims back in front, so that releases stay behind the claims that they undo.
    fn try_again(&mut self, mut claims: Vec<Claim>) {
        claims.append(&mut self.waiting);
        self.waiting = claims;
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

fn commit(claims: &[Claim]) -> TableOp {
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
