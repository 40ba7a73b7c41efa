//! The numbered versions of the declaration, kept in the table service.
//!
//! One row names the head, one row a version holds its declaration. A patch is one transaction
//! that compares the head and writes both rows; its patch id settles a lost reply. A VM never
//! goes back to an older version. See `docs/design/config.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::declaration::{Declaration, DeclarationError};
use crate::table::{Row, RowKey, RowValue, TableOp, TableReply};
use crate::{ConfigVersion, OperatorName, TableOpId, Timestamp};

/// Key of the row that names the head.
pub const HEAD_KEY: &str = "config/head";

/// Time between two looks at the head.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Times that a transaction with a lost reply is repeated.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Identifies a patch, chosen by the operator's tool; the same patch is accepted once.
pub type PatchId = Arc<str>;

/// Row that names the head.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The newest accepted version.
    pub version: ConfigVersion,
    /// The patch that made it.
    pub patch_id: PatchId,
}

/// Row of one version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Number of the version.
    pub version: ConfigVersion,
    /// The patch that made it.
    pub patch_id: PatchId,
    /// Who submitted the patch.
    pub operator: OperatorName,
    /// When it was accepted, since the epoch of the driver.
    pub accepted_ms: u64,
    /// The whole declaration.
    pub declaration: Arc<Declaration>,
}

/// A patch that an operator submits against a version.
#[derive(Clone, Debug)]
pub struct PatchSubmission {
    /// Identifies the patch.
    pub patch_id: PatchId,
    /// The version that the operator has seen.
    pub base: ConfigVersion,
    /// Who submits it.
    pub operator: OperatorName,
    /// The change.
    pub patch: json_patch::Patch,
}

/// Why a patch is not accepted.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PatchRejection {
    /// The result is not a valid declaration.
    #[display("{_0}")]
    Invalid(#[error(not(source))] DeclarationError),
    /// Another version is at the head.
    #[display("the patch is against version {base}, the head is version {head}")]
    Conflict {
        /// The version that the patch names.
        base: ConfigVersion,
        /// The version at the head.
        head: ConfigVersion,
    },
    /// The table service did not answer; the patch may have been accepted.
    #[display("the table service did not answer; submit the same patch id again to settle it")]
    Unknown,
}

/// What the log asks of its owner after an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogStep {
    /// Send this to the table service.
    Table(TableOpId, TableOp),
    /// A newer version came into force.
    InForce(ConfigVersion),
    /// A row cannot be read; the version in force stays.
    Unreadable(RowKey),
    /// A submission ended.
    Decided(PatchId, Result<ConfigVersion, PatchRejection>),
}

#[derive(Clone, Debug)]
enum Pending {
    PollHead,
    ReadVersion,
    Submit(Box<Submission>),
    Settle {
        patch_id: PatchId,
        base: ConfigVersion,
    },
}

#[derive(Clone, Debug)]
struct Submission {
    row: VersionRow,
    operation: TableOp,
    attempts: u32,
}

/// The version in force on this VM and the operations under way.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    in_force: Arc<VersionRow>,
    known: bool,
    pending: BTreeMap<TableOpId, Pending>,
}

impl Default for ConfigLog {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigLog {
    /// Creates a log with the empty version 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            in_force: Arc::new(VersionRow {
                version: 0,
                patch_id: Arc::from(""),
                operator: Arc::from(""),
                accepted_ms: 0,
                declaration: Arc::new(Declaration::default()),
            }),
            known: false,
            pending: BTreeMap::new(),
        }
    }

    /// The version in force on this VM.
    #[must_use]
    pub const fn in_force(&self) -> &Arc<VersionRow> {
        &self.in_force
    }

    /// Says whether the log has been read since the start.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Says whether the reply to this operation is awaited here.
    #[must_use]
    pub fn awaits(&self, op: TableOpId) -> bool {
        self.pending.contains_key(&op)
    }

    /// Looks at the head, unless a look is already under way.
    pub fn poll(&mut self, op: TableOpId) -> Option<LogStep> {
        let polling = self
            .pending
            .values()
            .any(|pending| matches!(pending, Pending::PollHead | Pending::ReadVersion));
        if polling {
            return None;
        }
        self.pending.insert(op, Pending::PollHead);
        Some(LogStep::Table(op, TableOp::Read(RowKey::from(HEAD_KEY))))
    }

    /// Brings a version into force if it is newer.
    pub fn learn(&mut self, row: Arc<VersionRow>) -> Option<LogStep> {
        if row.version < self.in_force.version {
            return None;
        }
        self.known = true;
        if row.version == self.in_force.version {
            return None;
        }
        self.in_force = row;
        Some(LogStep::InForce(self.in_force.version))
    }

    /// Submits a patch.
    pub fn submit(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        submission: &PatchSubmission,
    ) -> LogStep {
        let patch_id = submission.patch_id.clone();
        let head = self.in_force.version;
        if submission.patch_id == self.in_force.patch_id {
            return LogStep::Decided(patch_id, Ok(head));
        }
        if submission.base < head {
            return self.settle(op, patch_id, submission.base);
        }
        if submission.base > head {
            let base = submission.base;
            return LogStep::Decided(patch_id, Err(PatchRejection::Conflict { base, head }));
        }
        match self.in_force.declaration.patched(&submission.patch) {
            Ok(declaration) => self.commit(now, op, submission, declaration),
            Err(error) => LogStep::Decided(patch_id, Err(PatchRejection::Invalid(error))),
        }
    }

    fn commit(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        submission: &PatchSubmission,
        declaration: Declaration,
    ) -> LogStep {
        let row = VersionRow {
            version: submission.base + 1,
            patch_id: submission.patch_id.clone(),
            operator: submission.operator.clone(),
            accepted_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            declaration: Arc::new(declaration),
        };
        let operation = TableOp::Commit {
            checks: vec![Row::new(HEAD_KEY, self.head_value())],
            writes: vec![
                Row::new(HEAD_KEY, head_value(&row)),
                Row::new(version_key(row.version), to_value(&row)),
            ],
        };
        let submission = Submission {
            row,
            operation: operation.clone(),
            attempts: 1,
        };
        self.pending
            .insert(op, Pending::Submit(Box::new(submission)));
        LogStep::Table(op, operation)
    }

    fn head_value(&self) -> RowValue {
        if self.in_force.version == 0 {
            return None;
        }
        head_value(&self.in_force)
    }

    /// Reads the version after the base, to see whether this patch made it.
    fn settle(&mut self, op: TableOpId, patch_id: PatchId, base: ConfigVersion) -> LogStep {
        self.pending.insert(op, Pending::Settle { patch_id, base });
        LogStep::Table(op, TableOp::Read(version_key(base + 1)))
    }

    /// Takes in a reply; `next_op` numbers a further operation if one is needed.
    pub fn reply(&mut self, op: TableOpId, reply: &TableReply, next_op: TableOpId) -> Vec<LogStep> {
        match self.pending.remove(&op) {
            None => Vec::new(),
            Some(Pending::PollHead) => self.head_read(reply, next_op),
            Some(Pending::ReadVersion) => self.version_read(reply),
            Some(Pending::Submit(submission)) => self.submitted(*submission, reply, next_op),
            Some(Pending::Settle { patch_id, base }) => {
                vec![self.settled(patch_id, base, reply)]
            }
        }
    }

    fn head_read(&mut self, reply: &TableReply, next_op: TableOpId) -> Vec<LogStep> {
        let TableReply::Row(row) = reply else {
            return Vec::new();
        };
        let Some(head) = parse::<HeadRow>(&row.value) else {
            if row.value.is_some() {
                return vec![LogStep::Unreadable(row.key.clone())];
            }
            self.known = true;
            return Vec::new();
        };
        if head.version <= self.in_force.version {
            self.known = true;
            return Vec::new();
        }
        self.pending.insert(next_op, Pending::ReadVersion);
        let read = TableOp::Read(version_key(head.version));
        vec![LogStep::Table(next_op, read)]
    }

    fn version_read(&mut self, reply: &TableReply) -> Vec<LogStep> {
        let TableReply::Row(row) = reply else {
            return Vec::new();
        };
        match parse::<VersionRow>(&row.value) {
            Some(version) => self.learn(Arc::new(version)).into_iter().collect(),
            None => vec![LogStep::Unreadable(row.key.clone())],
        }
    }

    fn submitted(
        &mut self,
        mut submission: Submission,
        reply: &TableReply,
        next_op: TableOpId,
    ) -> Vec<LogStep> {
        let patch_id = submission.row.patch_id.clone();
        match reply {
            TableReply::Committed => self.accepted(submission.row),
            TableReply::Conflict(rows) => {
                let head = rows.iter().find_map(|row| parse::<HeadRow>(&row.value));
                if head.is_some_and(|head| head.patch_id == patch_id) {
                    return self.accepted(submission.row);
                }
                let base = submission.row.version - 1;
                vec![self.settle(next_op, patch_id, base)]
            }
            TableReply::Lost | TableReply::Row(_) => {
                if submission.attempts >= SUBMIT_ATTEMPTS {
                    return vec![LogStep::Decided(patch_id, Err(PatchRejection::Unknown))];
                }
                submission.attempts += 1;
                let operation = submission.operation.clone();
                self.pending
                    .insert(next_op, Pending::Submit(Box::new(submission)));
                vec![LogStep::Table(next_op, operation)]
            }
        }
    }

    fn accepted(&mut self, row: VersionRow) -> Vec<LogStep> {
        let version = row.version;
        let patch_id = row.patch_id.clone();
        let mut steps: Vec<LogStep> = self.learn(Arc::new(row)).into_iter().collect();
        steps.push(LogStep::Decided(patch_id, Ok(version)));
        steps
    }

    fn settled(&self, patch_id: PatchId, base: ConfigVersion, reply: &TableReply) -> LogStep {
        let TableReply::Row(row) = reply else {
            return LogStep::Decided(patch_id, Err(PatchRejection::Unknown));
        };
        let made = parse::<VersionRow>(&row.value);
        if made.is_some_and(|made| made.patch_id == patch_id) {
            return LogStep::Decided(patch_id, Ok(base + 1));
        }
        let head = self.in_force.version.max(base + 1);
        LogStep::Decided(patch_id, Err(PatchRejection::Conflict { base, head }))
    }
}

/// Key of the row of a version.
#[must_use]
pub fn version_key(version: ConfigVersion) -> RowKey {
    RowKey::from(format!("config/version/{version:012}"))
}

fn head_value(row: &VersionRow) -> RowValue {
    to_value(&HeadRow {
        version: row.version,
        patch_id: row.patch_id.clone(),
    })
}

fn to_value<T: Serialize>(row: &T) -> RowValue {
    // Rows have names and numbers as keys, so that their encoding cannot fail.
    serde_json::to_string(row).ok().map(Arc::from)
}

fn parse<T: for<'a> Deserialize<'a>>(value: &RowValue) -> Option<T> {
    serde_json::from_str(value.as_deref()?).ok()
}
