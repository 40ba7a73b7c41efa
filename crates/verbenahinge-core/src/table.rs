//! Operations on the platform's table service.
//!
//! A transaction is an atomic compare-and-set over several rows. Repeating one whose reply was
//! lost is harmless: if it was committed, the repetition conflicts with its own writes, and the
//! returned rows show them.

use std::sync::Arc;

/// Row key.
pub type RowKey = Arc<str>;

/// JSON text of a row, or `None` if the row does not exist.
pub type RowValue = Option<Arc<str>>;

/// A row that is checked, written or returned by the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Row key.
    pub key: RowKey,
    /// Row value, or `None` if the row does not exist.
    pub value: RowValue,
}

impl Row {
    /// Creates a row from its key and value.
    #[must_use]
    pub fn new(key: impl Into<RowKey>, value: RowValue) -> Self {
        Self {
            key: key.into(),
            value,
        }
    }
}

/// An operation of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableOp {
    /// Writes rows if all checked rows have the expected values.
    Commit {
        /// Rows with the values that they must have.
        checks: Vec<Row>,
        /// Rows with their new values.
        writes: Vec<Row>,
    },
    /// Reads one row.
    Read(RowKey),
}

/// Result of a [`TableOp`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableReply {
    /// The transaction was committed.
    Committed,
    /// The transaction was not committed; these checked rows have other values than expected.
    Conflict(Vec<Row>),
    /// The row that was read.
    Row(Row),
    /// No reply was received; the transaction may have been committed.
    Lost,
}
