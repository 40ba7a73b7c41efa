//! Copies of the store's tables, and who keeps them up to date.
//!
//! Load pattern: many VMs that would all ask the store for the same changes, where each call has
//! a price and the store a rate. A few VMs watch the store and tell the others; when what they
//! tell grows old, more VMs watch, up to all of them. See `docs/design/feeds.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{EnumIter, IntoStaticStr};

use crate::Timestamp;

/// VMs up to which each one watches the store itself: so few cost little, and any of them may
/// lose the store together.
const ALL_WATCH: usize = 16;

/// VMs that watch the store in a larger fleet while all is well. A third of all VMs may lose the
/// store at once, which rarely hits all of five.
const WATCHERS: usize = 5;

/// Factor by which the number of watchers grows with each step of age.
const WATCHERS_STEP: usize = 4;

/// Time for which one watch waits for a change where every VM watches.
const WAIT_ALL: Duration = Duration::from_secs(4);

/// Time for which one watch waits for a change where a few VMs watch for all.
const WAIT_FEW: Duration = Duration::from_millis(1500);

/// Age of a copy up to which it counts as fresh: the time that one watch of a few waits, the time
/// that a digest takes to arrive, and a lost one. A change has to be known within three seconds.
const FRESH: Duration = Duration::from_secs(2);

/// Removed rows that are remembered, so that others can be told.
const REMOVED_LIMIT: usize = 2000;

/// Tables that are copied.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Feed {
    /// The operator's configuration.
    Config,
    /// The entries of the backend servers.
    Servers,
}

/// What became of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowState {
    /// It holds a value.
    Present(Arc<[u8]>),
    /// It is gone.
    Removed,
    /// It is missing after an outage and may come back.
    Lapsed,
}

/// One row that changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// Name of the row.
    pub key: String,
    /// What became of it.
    pub state: RowState,
}

/// Rows that changed between two versions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedDelta {
    /// Version that the rows are a change of; `None` if they are the whole table.
    pub base: Option<u64>,
    /// Version after the change.
    pub version: u64,
    /// Rows that changed.
    pub rows: Vec<FeedRow>,
}

#[derive(Clone, Debug)]
struct CopiedRow {
    version: u64,
    state: RowState,
}

/// One row as the store returned it: its name, its version, and its value unless it is gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// Name of the row.
    pub key: String,
    /// Version of its last change.
    pub version: u64,
    /// Its value, unless it is gone.
    pub value: Option<Arc<[u8]>>,
}

/// A copy of one table.
///
/// The store counts the versions of all tables together, so that a copy knows two of them: the
/// one of the last change in this table, and the one up to which it has seen all changes.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, CopiedRow>,
    changed_at: u64,
    seen_until: Option<u64>,
    confirmed: Option<Timestamp>,
}

impl TableCopy {
    /// Version up to which all changes are in the copy, once there is one.
    #[must_use]
    pub const fn seen_until(&self) -> Option<u64> {
        self.seen_until
    }

    /// Version of the last change in this table, once there is a copy.
    #[must_use]
    pub const fn changed_at(&self) -> Option<u64> {
        match self.seen_until {
            Some(_) => Some(self.changed_at),
            None => None,
        }
    }

    /// Says whether a change of the given version is not in the copy.
    #[must_use]
    pub fn is_behind(&self, version: u64) -> bool {
        self.seen_until.is_none_or(|seen| seen < version)
    }

    /// Time since the copy was known to be the newest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// Takes note that a change was the last one of the table some time ago.
    pub fn confirm(&mut self, now: Timestamp, version: u64, age: Duration) {
        if self.is_behind(version) {
            return;
        }
        self.changed_at = self.changed_at.max(version);
        let at = now.saturating_sub(age);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Takes in the whole table as the store returned it; returns the rows that changed.
    ///
    /// A copy that is newer stays. After an outage, rows that are missing count as lapsed.
    pub fn take_whole(
        &mut self,
        now: Timestamp,
        version: u64,
        mut rows: Vec<StoreRow>,
        after_outage: bool,
    ) -> Vec<FeedRow> {
        let listed: BTreeSet<String> = rows.iter().map(|row| row.key.clone()).collect();
        for (key, row) in &self.rows {
            let is_present = matches!(row.state, RowState::Present(_));
            if is_present && !listed.contains(key) {
                rows.push(StoreRow {
                    key: key.clone(),
                    version,
                    value: None,
                });
            }
        }
        self.take_changes(now, version, rows, after_outage)
    }

    /// Takes in rows that changed, as the store returned them; returns those that are news.
    pub fn take_changes(
        &mut self,
        now: Timestamp,
        version: u64,
        rows: Vec<StoreRow>,
        after_outage: bool,
    ) -> Vec<FeedRow> {
        if self.seen_until.is_some_and(|seen| version < seen) {
            return Vec::new();
        }
        let mut news = Vec::new();
        for row in rows {
            // A row that is gone still bears the version of its last value.
            let (changed_at, state) = match row.value {
                Some(value) => (row.version.min(version), RowState::Present(value)),
                None if after_outage => (version, RowState::Lapsed),
                None => (version, RowState::Removed),
            };
            let changed = FeedRow {
                key: row.key,
                state,
            };
            self.store(changed_at, changed, &mut news);
        }
        self.seen_until = Some(version);
        self.confirmed = self.confirmed.max(Some(now));
        news
    }

    /// Takes in what another VM tells; returns the rows that changed, `None` if the change does
    /// not fit the copy.
    pub fn take_delta(&mut self, delta: &FeedDelta) -> Option<Vec<FeedRow>> {
        if !self.is_behind(delta.version) {
            return None;
        }
        let fits = match (delta.base, self.seen_until) {
            (None, _) => true,
            (Some(base), Some(seen)) => base <= seen,
            (Some(_), None) => false,
        };
        if !fits {
            return None;
        }
        let mut rows = delta.rows.clone();
        if delta.base.is_none() {
            let named: BTreeSet<&String> = delta.rows.iter().map(|row| &row.key).collect();
            for (key, row) in &self.rows {
                let is_present = matches!(row.state, RowState::Present(_));
                if is_present && !named.contains(key) {
                    rows.push(FeedRow {
                        key: key.clone(),
                        state: RowState::Removed,
                    });
                }
            }
        }
        let mut news = Vec::new();
        for row in rows {
            self.store(delta.version, row, &mut news);
        }
        self.seen_until = Some(delta.version);
        self.changed_at = self.changed_at.max(delta.version);
        Some(news)
    }

    fn store(&mut self, version: u64, row: FeedRow, news: &mut Vec<FeedRow>) {
        self.changed_at = self.changed_at.max(version);
        let old = self.rows.get(&row.key).map(|old| &old.state);
        if old == Some(&row.state) {
            return;
        }
        // A row that came and went unseen is remembered, since others may have seen it come.
        let was_unknown = old.is_none() && !matches!(row.state, RowState::Present(_));
        let copied = CopiedRow {
            version,
            state: row.state.clone(),
        };
        self.rows.insert(row.key.clone(), copied);
        if !was_unknown {
            news.push(row);
        }
        if self.rows.len() > REMOVED_LIMIT {
            self.rows
                .retain(|_, row| matches!(row.state, RowState::Present(_)));
        }
    }

    /// Rows that changed after a version, or the whole table.
    #[must_use]
    pub fn delta_since(&self, base: Option<u64>) -> Option<FeedDelta> {
        let version = self.changed_at()?;
        let mut rows = Vec::new();
        for (key, row) in &self.rows {
            let is_new = base.is_none_or(|base| row.version > base);
            let is_present = matches!(row.state, RowState::Present(_));
            if is_new && (is_present || base.is_some()) {
                rows.push(FeedRow {
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

/// Says whether a VM watches the store itself.
///
/// `rank` is its place among the `vms` that are known to live, the same on all of them, and `age`
/// that of its copy.
#[must_use]
pub fn watches_store(rank: usize, vms: usize, age: Option<Duration>) -> bool {
    let Some(age) = age else {
        return true;
    };
    if vms <= ALL_WATCH {
        return true;
    }
    if age <= FRESH {
        return rank < WATCHERS;
    }
    if age <= FRESH * 2 {
        return rank < WATCHERS * WATCHERS_STEP;
    }
    true
}

/// Time for which one watch waits for a change.
#[must_use]
pub const fn watch_wait(vms: usize) -> Duration {
    if vms <= ALL_WATCH { WAIT_ALL } else { WAIT_FEW }
}
