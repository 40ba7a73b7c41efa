//! In-memory table whose transactions compare the values of rows before they write.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Row to check or write, or row that was read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key of the row.
    pub key: String,
    /// Value of the row, or `None` if it does not exist.
    pub value: Option<String>,
}

/// Transaction whose writes take effect only if all checked rows have the expected values.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Expected rows.
    pub checks: Vec<KeyValue>,
    /// Rows to write; a value of `None` removes the row.
    pub writes: Vec<KeyValue>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Current values of the checked rows that differ from the expected ones.
    pub conflicts: Vec<KeyValue>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<String, String>,
}

impl Table {
    pub(super) fn read(&self, key: &str) -> Option<String> {
        self.rows.get(key).cloned()
    }

    pub(super) fn scan(&self, prefix: &str) -> Vec<KeyValue> {
        let mut found = Vec::new();
        for (key, value) in self.rows.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            found.push(KeyValue {
                key: key.clone(),
                value: Some(value.clone()),
            });
        }
        found
    }

    pub(super) fn commit(&mut self, transaction: &TableTransaction) -> TransactionResponse {
        let mut conflicts = Vec::new();
        for check in &transaction.checks {
            let value = self.read(&check.key);
            if value == check.value {
                continue;
            }
            conflicts.push(KeyValue {
                key: check.key.clone(),
                value,
            });
        }
        let committed = conflicts.is_empty();
        if committed {
            self.write(&transaction.writes);
        }
        TransactionResponse {
            committed,
            conflicts,
        }
    }

    fn write(&mut self, writes: &[KeyValue]) {
        for write in writes {
            match &write.value {
                Some(value) => self.rows.insert(write.key.clone(), value.clone()),
                None => self.rows.remove(&write.key),
            };
        }
    }
}
