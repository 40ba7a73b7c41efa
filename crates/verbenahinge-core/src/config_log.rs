//! Numbered versions of the declaration, stored in the table service.
//!
//! A head row names the newest version, and each version has a row with its declaration. A patch
//! is one compare-and-set transaction that checks the head row and writes both rows. If its
//! reply is lost, the patch id in the rows shows whether it was committed. A VM never returns to
//! an older version. See `docs/design/config.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::declaration::{Declaration, DeclarationError};
use crate::table::{Row, RowKey, RowValue, TableOp, TableReply};
use crate::{ConfigVersion, OperatorName, TableOpId, Timestamp};

/// Key of the head row, which names the newest version.
pub const HEAD_KEY: &str = "config/head";

/// Interval at which the head row is read.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of times that a patch transaction is sent if its replies are lost.
const MAX_SUBMIT_ATTEMPTS: u32 = 5;

/// Patch identifier, chosen by the operator's tool. A patch that is submitted again with the same
/// id and base version creates no second version.
pub type PatchId = Arc<str>;

/// Contents of the head row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the newest accepted version.
    pub version: ConfigVersion,
    /// Patch that created the version.
    pub patch_id: PatchId,
}

/// Row of one version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Version number.
    pub version: ConfigVersion,
    /// Patch that created the version.
    pub patch_id: PatchId,
    /// Operator who submitted the patch.
    pub operator: OperatorName,
    /// Time of the patch submission, in milliseconds since the driver's epoch.
    pub accepted_ms: u64,
    /// Complete declaration.
    pub declaration: Arc<Declaration>,
}

/// A patch that an operator submits against a base version.
#[derive(Clone, Debug)]
pub struct PatchSubmission {
    /// Patch identifier.
    pub patch_id: PatchId,
    /// Version that the patch was made for.
    pub base: ConfigVersion,
    /// Operator who submits the patch.
    pub operator: OperatorName,
    /// JSON patch to apply to the declaration.
    pub patch: json_patch::Patch,
}

/// Reason why a patch was not accepted.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PatchRejection {
    /// The result is not a valid declaration.
    #[display("{_0}")]
    Invalid(#[error(not(source))] DeclarationError),
    /// The patch is not based on the newest version.
    #[display("the patch is against version {base}, the head is version {head}")]
    Conflict {
        /// Version that the patch is based on.
        base: ConfigVersion,
        /// Newest version that this VM knows of.
        head: ConfigVersion,
    },
    /// The table service did not answer; the patch may have been accepted.
    #[display("the table service did not answer; submit the same patch id again to settle it")]
    Unknown,
}

/// Output of [`ConfigLog`], to be handled by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigOutput {
    /// Send this operation to the table service.
    Table(TableOpId, TableOp),
    /// A newer version came into force.
    InForce(ConfigVersion),
    /// A row cannot be parsed, or the row of a version is missing; the version in force stays.
    Unreadable(RowKey),
    /// The submission of a patch has ended.
    PatchResult(PatchId, Result<ConfigVersion, PatchRejection>),
}

#[derive(Clone, Debug)]
enum PendingOp {
    ReadHead,
    ReadVersion,
    Commit(Box<PendingCommit>),
    ReadSuccessor {
        patch_id: PatchId,
        base: ConfigVersion,
    },
}

#[derive(Clone, Debug)]
struct PendingCommit {
    row: VersionRow,
    operation: TableOp,
    attempts: u32,
}

/// Version in force on this VM and the pending table operations.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    in_force: Arc<VersionRow>,
    loaded: bool,
    pending: BTreeMap<TableOpId, PendingOp>,
}

impl Default for ConfigLog {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigLog {
    /// Creates a log whose version 0, the empty declaration, is in force.
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
            loaded: false,
            pending: BTreeMap::new(),
        }
    }

    /// The version in force on this VM.
    #[must_use]
    pub const fn in_force(&self) -> &Arc<VersionRow> {
        &self.in_force
    }

    /// Returns whether the version in force has been confirmed or replaced since the start.
    ///
    /// A head row that does not exist confirms version 0, the empty declaration.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether the reply to this operation is still pending.
    #[must_use]
    pub fn awaits(&self, op: TableOpId) -> bool {
        self.pending.contains_key(&op)
    }

    /// Reads the head row, unless such a read is already pending.
    pub fn poll(&mut self, op: TableOpId) -> Option<ConfigOutput> {
        let polling = self
            .pending
            .values()
            .any(|pending| matches!(pending, PendingOp::ReadHead | PendingOp::ReadVersion));
        if polling {
            return None;
        }
        self.pending.insert(op, PendingOp::ReadHead);
        Some(ConfigOutput::Table(
            op,
            TableOp::Read(RowKey::from(HEAD_KEY)),
        ))
    }

    /// Brings a version into force if it is newer than the current one.
    pub fn adopt_if_newer(&mut self, row: Arc<VersionRow>) -> Option<ConfigOutput> {
        if row.version < self.in_force.version {
            return None;
        }
        self.loaded = true;
        if row.version == self.in_force.version {
            return None;
        }
        self.in_force = row;
        Some(ConfigOutput::InForce(self.in_force.version))
    }

    /// Starts the submission of a patch, or ends it at once if the outcome is already known.
    pub fn submit(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        submission: &PatchSubmission,
    ) -> ConfigOutput {
        let patch_id = submission.patch_id.clone();
        let head = self.in_force.version;
        if submission.patch_id == self.in_force.patch_id {
            return ConfigOutput::PatchResult(patch_id, Ok(head));
        }
        if submission.base < head {
            return self.read_successor(op, patch_id, submission.base);
        }
        if submission.base > head {
            let base = submission.base;
            return ConfigOutput::PatchResult(
                patch_id,
                Err(PatchRejection::Conflict { base, head }),
            );
        }
        match self.in_force.declaration.patched(&submission.patch) {
            Ok(declaration) => self.commit(now, op, submission, declaration),
            Err(error) => ConfigOutput::PatchResult(patch_id, Err(PatchRejection::Invalid(error))),
        }
    }

    fn commit(
        &mut self,
        now: Timestamp,
        op: TableOpId,
        submission: &PatchSubmission,
        declaration: Declaration,
    ) -> ConfigOutput {
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
                Row::new(version_key(row.version), to_row_value(&row)),
            ],
        };
        let pending = PendingCommit {
            row,
            operation: operation.clone(),
            attempts: 1,
        };
        self.pending
            .insert(op, PendingOp::Commit(Box::new(pending)));
        ConfigOutput::Table(op, operation)
    }

    fn head_value(&self) -> RowValue {
        if self.in_force.version == 0 {
            return None;
        }
        head_value(&self.in_force)
    }

    /// Reads the version after `base` to find out whether this patch created it.
    fn read_successor(
        &mut self,
        op: TableOpId,
        patch_id: PatchId,
        base: ConfigVersion,
    ) -> ConfigOutput {
        self.pending
            .insert(op, PendingOp::ReadSuccessor { patch_id, base });
        ConfigOutput::Table(op, TableOp::Read(version_key(base + 1)))
    }

    /// Handles a reply; `next_op` is the id for a follow-up operation if one is needed.
    pub fn handle_reply(
        &mut self,
        op: TableOpId,
        reply: &TableReply,
        next_op: TableOpId,
    ) -> Vec<ConfigOutput> {
        match self.pending.remove(&op) {
            None => Vec::new(),
            Some(PendingOp::ReadHead) => self.handle_head(reply, next_op),
            Some(PendingOp::ReadVersion) => self.handle_version(reply),
            Some(PendingOp::Commit(pending)) => self.handle_commit(*pending, reply, next_op),
            Some(PendingOp::ReadSuccessor { patch_id, base }) => {
                vec![self.handle_successor(patch_id, base, reply)]
            }
        }
    }

    fn handle_head(&mut self, reply: &TableReply, next_op: TableOpId) -> Vec<ConfigOutput> {
        let TableReply::Row(row) = reply else {
            return Vec::new();
        };
        let Some(head) = parse_row::<HeadRow>(&row.value) else {
            if row.value.is_some() {
                return vec![ConfigOutput::Unreadable(row.key.clone())];
            }
            self.loaded = true;
            return Vec::new();
        };
        if head.version <= self.in_force.version {
            self.loaded = true;
            return Vec::new();
        }
        self.pending.insert(next_op, PendingOp::ReadVersion);
        let read = TableOp::Read(version_key(head.version));
        vec![ConfigOutput::Table(next_op, read)]
    }

    fn handle_version(&mut self, reply: &TableReply) -> Vec<ConfigOutput> {
        let TableReply::Row(row) = reply else {
            return Vec::new();
        };
        match parse_row::<VersionRow>(&row.value) {
            Some(version) => self.adopt_if_newer(Arc::new(version)).into_iter().collect(),
            None => vec![ConfigOutput::Unreadable(row.key.clone())],
        }
    }

    fn handle_commit(
        &mut self,
        mut pending: PendingCommit,
        reply: &TableReply,
        next_op: TableOpId,
    ) -> Vec<ConfigOutput> {
        let patch_id = pending.row.patch_id.clone();
        match reply {
            TableReply::Committed => self.accept(pending.row),
            TableReply::Conflict(rows) => {
                let head = rows.iter().find_map(|row| parse_row::<HeadRow>(&row.value));
                if head.is_some_and(|head| head.patch_id == patch_id) {
                    return self.accept(pending.row);
                }
                let base = pending.row.version - 1;
                vec![self.read_successor(next_op, patch_id, base)]
            }
            TableReply::Lost | TableReply::Row(_) => {
                if pending.attempts >= MAX_SUBMIT_ATTEMPTS {
                    return vec![ConfigOutput::PatchResult(
                        patch_id,
                        Err(PatchRejection::Unknown),
                    )];
                }
                pending.attempts += 1;
                let operation = pending.operation.clone();
                self.pending
                    .insert(next_op, PendingOp::Commit(Box::new(pending)));
                vec![ConfigOutput::Table(next_op, operation)]
            }
        }
    }

    fn accept(&mut self, row: VersionRow) -> Vec<ConfigOutput> {
        let version = row.version;
        let patch_id = row.patch_id.clone();
        let mut outputs: Vec<ConfigOutput> =
            self.adopt_if_newer(Arc::new(row)).into_iter().collect();
        outputs.push(ConfigOutput::PatchResult(patch_id, Ok(version)));
        outputs
    }

    fn handle_successor(
        &self,
        patch_id: PatchId,
        base: ConfigVersion,
        reply: &TableReply,
    ) -> ConfigOutput {
        let TableReply::Row(row) = reply else {
            return ConfigOutput::PatchResult(patch_id, Err(PatchRejection::Unknown));
        };
        let successor = parse_row::<VersionRow>(&row.value);
        if successor.is_some_and(|successor| successor.patch_id == patch_id) {
            return ConfigOutput::PatchResult(patch_id, Ok(base + 1));
        }
        let head = self.in_force.version.max(base + 1);
        ConfigOutput::PatchResult(patch_id, Err(PatchRejection::Conflict { base, head }))
    }
}

/// Returns the key of a version's row.
#[must_use]
pub fn version_key(version: ConfigVersion) -> RowKey {
    RowKey::from(format!("config/version/{version:012}"))
}

fn head_value(row: &VersionRow) -> RowValue {
    to_row_value(&HeadRow {
        version: row.version,
        patch_id: row.patch_id.clone(),
    })
}

fn to_row_value<T: Serialize>(row: &T) -> RowValue {
    // Serialization cannot fail: all map keys in a row are strings.
    serde_json::to_string(row).ok().map(Arc::from)
}

fn parse_row<T: for<'a> Deserialize<'a>>(value: &RowValue) -> Option<T> {
    serde_json::from_str(value.as_deref()?).ok()
}
