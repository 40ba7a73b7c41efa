//! In-memory fake of the platform's table service.

use std::collections::BTreeMap;

use verbenahinge_core::table::{Row, RowKey, RowValue, TableOp, TableReply};

/// Rows with compare-and-set transactions over several keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeTable {
    rows: BTreeMap<RowKey, RowValue>,
}

impl FakeTable {
    fn value(&self, key: &RowKey) -> RowValue {
        self.rows.get(key).cloned().flatten()
    }

    /// Applies an operation; a commit writes nothing if any of its checks fails.
    pub(crate) fn apply(&mut self, operation: TableOp) -> TableReply {
        let (checks, writes) = match operation {
            TableOp::Read(key) => {
                let value = self.value(&key);
                return TableReply::Row(Row { key, value });
            }
            TableOp::Commit { checks, writes } => (checks, writes),
        };
        let mut conflicts = Vec::new();
        for check in checks {
            let value = self.value(&check.key);
            if value != check.value {
                conflicts.push(Row {
                    key: check.key,
                    value,
                });
            }
        }
        if !conflicts.is_empty() {
            return TableReply::Conflict(conflicts);
        }
        for write in writes {
            self.rows.insert(write.key, write.value);
        }
        TableReply::Committed
    }
}
