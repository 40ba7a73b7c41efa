//! Replica of one table of the store, fed by the store and by other VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{FeedDelta, RowChange, RowState, StoreGap, StoreRow, StoreVersion};
use crate::{ServerName, Timestamp};

/// Tombstones that a replica keeps to forward removals to other VMs; beyond it, the older half is
/// dropped.
const MAX_TOMBSTONES: usize = 2000;

#[derive(Clone, Debug)]
struct ReplicaRow {
    version: StoreVersion,
    state: RowState,
}

impl ReplicaRow {
    const fn is_present(&self) -> bool {
        matches!(self.state, RowState::Present(_))
    }
}

/// Replica of one table of the store.
///
/// The store has one version counter for all tables, so a replica tracks two versions: the one of
/// the last change in this table, and the one up to which it has applied all changes. A replica moves
/// to a later era of the store with a whole table only.
#[derive(Clone, Debug, Default)]
pub struct TableReplica {
    rows: BTreeMap<String, ReplicaRow>,
    last_changed_version: StoreVersion,
    applied_until: Option<StoreVersion>,
    /// Version up to which removals may be missing from `rows`.
    forgotten_until: StoreVersion,
    confirmed_at: Option<Timestamp>,
}

impl TableReplica {
    /// Version up to which all changes are applied; `None` before the first read.
    #[must_use]
    pub const fn applied_until(&self) -> Option<StoreVersion> {
        self.applied_until
    }

    /// Version of the last change in this table; `None` before the first read.
    #[must_use]
    pub const fn last_changed_version(&self) -> Option<StoreVersion> {
        match self.applied_until {
            Some(_) => Some(self.last_changed_version),
            None => None,
        }
    }

    /// Whether a change of the given version is not applied yet.
    #[must_use]
    pub fn is_behind(&self, version: StoreVersion) -> bool {
        self.applied_until.is_none_or(|applied| applied < version)
    }

    /// Whether the replica has applied changes after the given version.
    #[must_use]
    pub fn is_newer_than(&self, version: StoreVersion) -> bool {
        self.applied_until.is_some_and(|applied| applied > version)
    }

    fn is_of_era(&self, era: u64) -> bool {
        self.applied_until.is_some_and(|applied| applied.era == era)
    }

    /// Whether the given version belongs to a later era than the replica, so that the store has
    /// gone back to an older copy in between.
    #[must_use]
    pub fn is_of_earlier_era(&self, version: StoreVersion) -> bool {
        self.applied_until
            .is_some_and(|applied| applied.era < version.era)
    }

    /// Keys of the rows that were removed before the store returned from an older copy; `None` if
    /// `version` does not belong to a later era than the replica.
    #[must_use]
    pub fn removed_before_copy(&self, version: StoreVersion) -> Option<BTreeSet<String>> {
        if !self.is_of_earlier_era(version) {
            return None;
        }
        let removed = self
            .rows
            .iter()
            .filter(|(_, row)| row.state == RowState::Removed);
        Some(removed.map(|(key, _)| key.clone()).collect())
    }

    /// Value of a row, if it is present.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Arc<[u8]>> {
        match &self.rows.get(key)?.state {
            RowState::Present(value) => Some(Arc::clone(value)),
            RowState::Removed | RowState::Lapsed => None,
        }
    }

    /// Replaces the value of a row that the store is known to have lost, without a new version.
    pub fn restore_value(&mut self, key: &str, value: Arc<[u8]>) {
        if let Some(row) = self.rows.get_mut(key) {
            row.state = RowState::Present(value);
        }
    }

    /// Time since the replica was last known to be up to date.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Records that `version` was the last change of the table `age` ago.
    ///
    /// Ignored if the replica is behind that version, or in another era.
    pub fn confirm_current(&mut self, now: Timestamp, version: StoreVersion, age: Duration) {
        if self.is_behind(version) || !self.is_of_era(version.era) {
            return;
        }
        self.last_changed_version = self.last_changed_version.max(version);
        let at = now.saturating_sub(age);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Applies the whole table as returned by the store; returns the rows that changed.
    ///
    /// Ignored if the replica is newer. `gap` decides whether missing rows were removed or lapsed;
    /// those that an older copy of the store lacks have lapsed.
    pub fn apply_snapshot(
        &mut self,
        now: Timestamp,
        version: StoreVersion,
        mut rows: Vec<StoreRow>,
        gap: StoreGap,
    ) -> Vec<RowChange> {
        if self.is_newer_than(version) {
            return Vec::new();
        }
        let gap = if self.is_of_earlier_era(version) {
            StoreGap::Long
        } else {
            gap
        };
        // Rows that were added and removed since the last read are not among the rows.
        self.forgotten_until = self.forgotten_until.max(version);
        let listed: BTreeSet<String> = rows.iter().map(|row| row.key.clone()).collect();
        for (key, row) in &self.rows {
            if row.is_present() && !listed.contains(key) {
                rows.push(StoreRow {
                    key: key.clone(),
                    version: version.number,
                    value: None,
                });
            }
        }
        self.apply_rows(now, version, rows, gap)
    }

    /// Applies changed rows as returned by the store; returns those that change the replica.
    ///
    /// Ignored if the replica is newer, or of an earlier era: changes of a later one do not tell what
    /// the store lost. `gap` decides whether missing rows were removed or lapsed.
    pub fn apply_changes(
        &mut self,
        now: Timestamp,
        version: StoreVersion,
        rows: Vec<StoreRow>,
        gap: StoreGap,
    ) -> Vec<RowChange> {
        if self.is_newer_than(version) || self.is_of_earlier_era(version) {
            return Vec::new();
        }
        self.apply_rows(now, version, rows, gap)
    }

    fn apply_rows(
        &mut self,
        now: Timestamp,
        version: StoreVersion,
        rows: Vec<StoreRow>,
        gap: StoreGap,
    ) -> Vec<RowChange> {
        let missing_state = self.missing_state(&rows, gap);
        let mut changes = Vec::new();
        for row in rows {
            // The store reports a removed row with the version of its last value.
            let (row_version, state) = match row.value {
                Some(value) => {
                    let number = row.version.min(version.number);
                    (version.with_number(number), RowState::Present(value))
                }
                None => (version, missing_state.clone()),
            };
            let change = RowChange {
                key: row.key,
                state,
            };
            self.apply_row(row_version, change, &mut changes);
        }
        self.drop_old_tombstones();
        self.applied_until = Some(version);
        self.confirmed_at = self.confirmed_at.max(Some(now));
        changes
    }

    /// State of the rows without a value in a response of the store.
    fn missing_state(&self, rows: &[StoreRow], gap: StoreGap) -> RowState {
        let may_have_lapsed = match gap {
            StoreGap::None => false,
            StoreGap::Brief => self.loses_most_rows(rows),
            StoreGap::Long => true,
        };
        if may_have_lapsed {
            RowState::Lapsed
        } else {
            RowState::Removed
        }
    }

    fn loses_most_rows(&self, rows: &[StoreRow]) -> bool {
        let mut lost = 0;
        for row in rows {
            let old = self.rows.get(&row.key);
            if row.value.is_none() && old.is_some_and(ReplicaRow::is_present) {
                lost += 1;
            }
        }
        lost * 2 > self.rows.values().filter(|row| row.is_present()).count()
    }

    /// Records that lapsed rows were still missing at the end of the grace period, so that VMs that
    /// learn of them later don't wait for them again.
    pub fn confirm_removed(&mut self, keys: &[ServerName]) {
        for key in keys {
            if let Some(row) = self.rows.get_mut(&**key)
                && row.state == RowState::Lapsed
            {
                row.state = RowState::Removed;
            }
        }
    }

    /// Applies a delta from another VM; returns the rows that changed, or `None` if the delta is
    /// not newer than the replica or starts after it.
    pub fn apply_delta(&mut self, delta: &FeedDelta) -> Option<Vec<RowChange>> {
        if !self.is_behind(delta.version) {
            return None;
        }
        let fits = match (delta.base, self.applied_until) {
            (None, _) => true,
            (Some(base), Some(applied)) => base <= applied,
            (Some(_), None) => false,
        };
        if !fits {
            return None;
        }
        // Servers that an older copy of the store lacks register again.
        let missing_state = if self.is_of_earlier_era(delta.version) {
            RowState::Lapsed
        } else {
            RowState::Removed
        };
        let mut rows = delta.rows.clone();
        if delta.base.is_none() {
            self.forgotten_until = self.forgotten_until.max(delta.version);
            let listed: BTreeSet<&String> = delta.rows.iter().map(|row| &row.key).collect();
            for (key, row) in &self.rows {
                if row.is_present() && !listed.contains(key) {
                    rows.push(RowChange {
                        key: key.clone(),
                        state: missing_state.clone(),
                    });
                }
            }
        }
        let mut changes = Vec::new();
        for row in rows {
            self.apply_row(delta.version, row, &mut changes);
        }
        self.drop_old_tombstones();
        self.applied_until = Some(delta.version);
        self.last_changed_version = self.last_changed_version.max(delta.version);
        Some(changes)
    }

    fn apply_row(&mut self, version: StoreVersion, row: RowChange, changes: &mut Vec<RowChange>) {
        self.last_changed_version = self.last_changed_version.max(version);
        if let Some(old) = self.rows.get_mut(&row.key)
            && old.state == row.state
        {
            // Other VMs may have seen the row change and change back.
            old.version = old.version.max(version);
            return;
        }
        // Keeps a tombstone for a row that was added and removed between two reads, since other
        // VMs may have seen it added.
        let is_present = matches!(row.state, RowState::Present(_));
        let was_unknown = !is_present && !self.rows.contains_key(&row.key);
        let replica_row = ReplicaRow {
            version,
            state: row.state.clone(),
        };
        self.rows.insert(row.key.clone(), replica_row);
        if !was_unknown {
            changes.push(row);
        }
    }

    /// Drops the older half of the tombstones if there are too many.
    fn drop_old_tombstones(&mut self) {
        let tombstones = self.rows.values().filter(|row| !row.is_present());
        let mut versions: Vec<StoreVersion> = tombstones.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let newest_dropped = versions[versions.len() / 2];
        self.rows
            .retain(|_, row| row.is_present() || row.version > newest_dropped);
        self.forgotten_until = self.forgotten_until.max(newest_dropped);
    }

    /// Rows that changed after `base`, or the whole table if it is `None`.
    ///
    /// The delta starts later than `base` if earlier removals are no longer known; a replica that
    /// has not applied all changes up to there rejects it.
    #[must_use]
    pub fn delta_since(&self, base: Option<StoreVersion>) -> Option<FeedDelta> {
        let version = self.last_changed_version()?;
        let base = base.map(|base| base.max(self.forgotten_until));
        let mut rows = Vec::new();
        for (key, row) in &self.rows {
            let is_new = base.is_none_or(|base| row.version > base);
            if is_new && (row.is_present() || base.is_some()) {
                rows.push(RowChange {
                    key: key.clone(),
                    state: row.state.clone(),
                });
            }
        }
        Some(FeedDelta {
            base,
            version,
            rows,
        })
    }
}
