//! Tables of the store that VMs replicate, their changes, and the choice of the VMs that watch the
//! store for them.
//!
//! Load pattern: many VMs that need the same changes from a store that bills each call and limits
//! its rate, and that may answer none of them for seconds. A few VMs watch the store and forward changes to the
//! others; as replicas become stale, a few more watch, and then all VMs by turns. See
//! `docs/design/feeds.md`.

use std::sync::Arc;
use std::time::Duration;

use strum::{EnumIter, IntoStaticStr};

use super::StoreVersion;

/// Largest fleet in which every VM watches the store: so few watches cost little, and any group of
/// VMs may lose the store at the same time.
const ALL_WATCH_MAX_VMS: usize = 16;

/// VMs that watch the store in a larger fleet while replicas are fresh. A third of all VMs may lose
/// the store at once, which rarely includes all five.
const WATCHER_COUNT: usize = 5;

/// VMs that watch the store once replicas are no longer fresh, and that check it beside their watches. If the
/// store answers none of them, they make fewer calls than the largest fleet in which every VM watches.
const STALE_WATCHER_COUNT: usize = WATCHER_COUNT * 2;

/// Age of a replica from which the other VMs call the store by turns: all watchers may have lost it.
const TURNS_MIN_AGE: Duration = FRESH_MAX_AGE.saturating_mul(2);

/// Time between the turns of two VMs.
const TURN_SPACING: Duration = Duration::from_millis(200);

/// Time in which a VM makes its call, once it has its turn.
const TURN_TIME: Duration = Duration::from_millis(300);

/// Time that one watch request waits for a change if every VM watches.
const WATCH_TIMEOUT_ALL: Duration = Duration::from_secs(4);

/// Time that one watch request waits for a change if a few VMs watch for all, and that of the first of them
/// if every VM watches: all of these begin to watch at the moment of the last change, so that without
/// it no replica would be confirmed before all watches end.
const WATCH_TIMEOUT_FEW: Duration = Duration::from_millis(1500);

/// Age up to which a replica counts as fresh: `WATCH_TIMEOUT_FEW`, the delivery time of a digest,
/// and one lost digest. A change has to reach all VMs within three seconds.
pub(super) const FRESH_MAX_AGE: Duration = Duration::from_secs(2);

/// A table of the store that every VM replicates.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Feed {
    /// The operator's configuration.
    Config,
    /// The registry entries of the backend servers.
    Servers,
}

/// State of a row after a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowState {
    /// The row holds a value.
    Present(Arc<[u8]>),
    /// The row was removed.
    Removed,
    /// The row is missing after an outage of the store and may come back.
    Lapsed,
}

/// Change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// State after the change.
    pub state: RowState,
}

/// Row changes between two versions of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedDelta {
    /// Oldest version that the changes apply to; `None` if `rows` is the whole table.
    pub base: Option<StoreVersion>,
    /// Version after the changes.
    pub version: StoreVersion,
    /// Changed rows.
    pub rows: Vec<RowChange>,
}

/// A row as returned by the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRow {
    /// Key of the row.
    pub key: String,
    /// Number of the version of the last change; for a removed row, that of its last value.
    pub version: u64,
    /// Value, or `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// Whether a VM watches the store itself.
///
/// `rank` is its position among the `vms` live VMs, in an order that all of them agree on; `age` is
/// the age of its replica. A response to any VM makes the replicas of all others fresh again by its digests, so
/// that the number of calls does not grow with the fleet while the store answers none.
#[must_use]
pub fn watches_store(rank: usize, vms: usize, age: Option<Duration>) -> bool {
    let Some(age) = age else {
        return true;
    };
    if all_watch(vms) {
        return true;
    }
    if age <= FRESH_MAX_AGE {
        return rank < WATCHER_COUNT;
    }
    if rank < STALE_WATCHER_COUNT {
        return true;
    }
    let Some(since_turns) = age.checked_sub(TURNS_MIN_AGE) else {
        return false;
    };
    has_turn(since_turns, rank - STALE_WATCHER_COUNT, vms)
}

/// Whether the VM at a position behind the watchers has its turn.
fn has_turn(since_turns: Duration, position: usize, vms: usize) -> bool {
    let spacing = TURN_SPACING.as_millis();
    let turns = vms.saturating_sub(STALE_WATCHER_COUNT).max(position + 1) as u128;
    let into_cycle = since_turns.as_millis() % (spacing * turns);
    let begins = spacing * position as u128;
    (begins..begins + TURN_TIME.as_millis()).contains(&into_cycle)
}

/// Whether a VM reads a table beside a watch that has not been answered.
pub(super) const fn checks_store(rank: usize, vms: usize) -> bool {
    all_watch(vms) || rank < STALE_WATCHER_COUNT
}

/// Whether every VM of a fleet watches the store.
pub(super) const fn all_watch(vms: usize) -> bool {
    vms <= ALL_WATCH_MAX_VMS
}

/// Time that one watch request waits for a change in a fleet of `vms` VMs.
///
/// `rank` is the position of the VM in the order in which VMs are picked to watch the store.
#[must_use]
pub const fn watch_timeout(rank: usize, vms: usize) -> Duration {
    if all_watch(vms) && rank > 0 {
        WATCH_TIMEOUT_ALL
    } else {
        WATCH_TIMEOUT_FEW
    }
}
