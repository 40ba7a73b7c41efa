//! Replicas of the store's tables converge, whichever way a change reaches them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{
    RowChange, RowState, StoreGap, StoreRow, StoreVersion, TableReplica, watches_store,
};

fn row(key: &str, version: u64, value: Option<&str>) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        version,
        value: value.map(|value| Arc::from(value.as_bytes())),
    }
}

fn present(key: &str, value: &str) -> RowChange {
    RowChange {
        key: key.to_owned(),
        state: RowState::Present(Arc::from(value.as_bytes())),
    }
}

fn missing(key: &str, state: RowState) -> RowChange {
    RowChange {
        key: key.to_owned(),
        state,
    }
}

const NOW: Duration = Duration::from_secs(10);

/// Replica that has read one row from the store.
fn replica() -> TableReplica {
    let mut replica = TableReplica::default();
    replica.apply_snapshot(
        NOW,
        20.into(),
        vec![row("a", 12, Some("1"))],
        StoreGap::None,
    );
    replica
}

#[test]
fn deltas_include_removals() {
    let mut watcher = replica();
    let mut other = replica();
    let base = watcher.last_changed_version();
    // The store reports a removed row with the version of its last value.
    let changes = watcher.apply_changes(NOW, 30.into(), vec![row("a", 12, None)], StoreGap::None);
    assert_eq!(changes, [missing("a", RowState::Removed)]);
    let delta = watcher.delta_since(base).expect("delta");
    assert_eq!(
        other.apply_delta(&delta),
        Some(vec![missing("a", RowState::Removed)])
    );
}

#[test]
fn deltas_include_unseen_removals() {
    // One watcher saw the row added; the other read its addition and removal in one response.
    let mut first = replica();
    first.apply_changes(
        NOW,
        30.into(),
        vec![row("b", 28, Some("2"))],
        StoreGap::None,
    );
    let mut second = replica();
    let base = second.last_changed_version();
    second.apply_changes(NOW, 40.into(), vec![row("b", 28, None)], StoreGap::None);
    let delta = second.delta_since(base).expect("delta");
    assert_eq!(
        first.apply_delta(&delta),
        Some(vec![missing("b", RowState::Removed)])
    );
}

#[test]
fn gapped_deltas_are_rejected() {
    let mut watcher = replica();
    watcher.apply_changes(
        NOW,
        30.into(),
        vec![row("b", 28, Some("2"))],
        StoreGap::None,
    );
    let base = watcher.last_changed_version();
    watcher.apply_changes(
        NOW,
        40.into(),
        vec![row("c", 35, Some("3"))],
        StoreGap::None,
    );
    let late = watcher.delta_since(base).expect("delta");
    let mut other = replica();
    assert_eq!(other.apply_delta(&late), None);
    assert!(other.is_behind(late.version));
    let whole = watcher.delta_since(other.applied_until()).expect("delta");
    let changes = other.apply_delta(&whole).expect("applicable delta");
    assert_eq!(changes, [present("b", "2"), present("c", "3")]);
}

#[test]
fn older_responses_are_ignored() {
    let mut replica = replica();
    replica.apply_changes(
        NOW,
        30.into(),
        vec![row("a", 28, Some("2"))],
        StoreGap::None,
    );
    let stale = replica.apply_snapshot(
        NOW,
        25.into(),
        vec![row("a", 12, Some("1"))],
        StoreGap::None,
    );
    assert!(stale.is_empty());
    assert_eq!(replica.last_changed_version(), Some(28.into()));
}

#[test]
fn outage_lapses_missing_rows() {
    let mut replica = replica();
    let changes = replica.apply_snapshot(NOW, 30.into(), Vec::new(), StoreGap::Long);
    assert_eq!(changes, [missing("a", RowState::Lapsed)]);
    let changes = replica.apply_changes(
        NOW,
        32.into(),
        vec![row("a", 31, Some("1"))],
        StoreGap::None,
    );
    assert_eq!(changes, [present("a", "1")]);
}

#[test]
fn other_tables_keep_version() {
    let mut watcher = replica();
    watcher.apply_changes(NOW, 500.into(), Vec::new(), StoreGap::None);
    assert_eq!(watcher.last_changed_version(), Some(12.into()));
    let other = replica();
    assert!(!other.is_behind(watcher.last_changed_version().expect("version")));
}

#[test]
fn snapshot_delta_replaces_rows() {
    let mut watcher = TableReplica::default();
    watcher.apply_snapshot(
        NOW,
        50.into(),
        vec![row("b", 45, Some("2"))],
        StoreGap::None,
    );
    let whole = watcher.delta_since(None).expect("snapshot");
    let mut other = replica();
    let changes = other.apply_delta(&whole).expect("newer snapshot");
    assert_eq!(
        changes,
        [present("b", "2"), missing("a", RowState::Removed)]
    );
}

#[test]
fn large_table_forwards_removals() {
    // Guards against tombstones that were dropped as soon as the table itself had many rows.
    let keys: Vec<String> = (0..2001).map(|index| format!("s{index:04}")).collect();
    let rows = || keys.iter().map(|key| row(key, 1, Some("1"))).collect();
    let mut watcher = TableReplica::default();
    watcher.apply_snapshot(NOW, 10.into(), rows(), StoreGap::None);
    let mut other = watcher.clone();
    let base = watcher.applied_until();
    watcher.apply_changes(NOW, 20.into(), vec![row(&keys[7], 1, None)], StoreGap::None);
    let delta = watcher.delta_since(base).expect("delta");
    assert_eq!(
        other.apply_delta(&delta),
        Some(vec![missing(&keys[7], RowState::Removed)])
    );
}

#[test]
fn forgotten_removals_reject_delta() {
    // Guards against a replica that adopts a version without the removals that the sender forgot.
    let mut watcher = replica();
    let mut other = replica();
    for index in 0..2001_u64 {
        let key = format!("s{index:04}");
        let version = 30 + 2 * index;
        watcher.apply_changes(
            NOW,
            version.into(),
            vec![row(&key, version, Some("1"))],
            StoreGap::None,
        );
        watcher.apply_changes(
            NOW,
            (version + 1).into(),
            vec![row(&key, version, None)],
            StoreGap::None,
        );
    }
    let delta = watcher.delta_since(other.applied_until()).expect("delta");
    assert_eq!(other.apply_delta(&delta), None);
    let whole = watcher.delta_since(None).expect("snapshot");
    assert_eq!(other.apply_delta(&whole), Some(Vec::new()));
}

#[test]
fn started_vm_hides_removal() {
    // Guards against a delta of a VM that started after a removal and never saw the row.
    let mut behind = replica();
    let mut started = TableReplica::default();
    started.apply_snapshot(
        NOW,
        40.into(),
        vec![row("b", 35, Some("2"))],
        StoreGap::None,
    );
    let delta = started.delta_since(behind.applied_until()).expect("delta");
    assert_eq!(behind.apply_delta(&delta), None);
    assert!(behind.is_behind(delta.version));
    // A later change finds the VM that is behind as it was.
    started.apply_changes(
        NOW,
        50.into(),
        vec![row("c", 45, Some("3"))],
        StoreGap::None,
    );
    let delta = started.delta_since(Some(35.into())).expect("delta");
    assert_eq!(behind.apply_delta(&delta), None);
    let whole = started.delta_since(None).expect("snapshot");
    let changes = behind.apply_delta(&whole).expect("newer snapshot");
    assert_eq!(
        changes,
        [
            present("b", "2"),
            present("c", "3"),
            missing("a", RowState::Removed)
        ]
    );
}

#[test]
fn unchanged_row_keeps_version() {
    // Guards against a row that was changed and changed back between two reads of one VM, while
    // another VM saw the state in between.
    let mut watcher = replica();
    let mut other = replica();
    other.apply_changes(NOW, 30.into(), vec![row("a", 12, None)], StoreGap::None);
    watcher.apply_changes(
        NOW,
        40.into(),
        vec![row("a", 38, Some("1"))],
        StoreGap::None,
    );
    let delta = watcher.delta_since(Some(30.into())).expect("delta");
    assert_eq!(other.apply_delta(&delta), Some(vec![present("a", "1")]));
}

#[test]
fn aging_replicas_add_watchers() {
    let watchers = |age: Option<u64>| -> Vec<usize> {
        let age = age.map(Duration::from_millis);
        (0..84)
            .filter(|&rank| watches_store(rank, 84, age))
            .collect()
    };
    assert_eq!(watchers(Some(500)), [0, 1, 2, 3, 4]);
    assert_eq!(watchers(Some(3000)).len(), 10);
    assert_eq!(watchers(None).len(), 84);
    // The others have their turns, two at a time at most, and all of them within 15 s.
    let mut had_turns = BTreeSet::new();
    for age_ms in (4000..19_000).step_by(50) {
        let turns = watchers(Some(age_ms));
        assert!(turns.len() <= 12, "{age_ms}: {turns:?}");
        had_turns.extend(turns);
    }
    assert_eq!(had_turns.len(), 84);
}

#[test]
fn small_fleets_all_watch() {
    // Guards against stale replicas in a fleet of nine: only three VMs watched, and exactly these
    // three lost the store at the same time.
    let fresh = Some(Duration::from_millis(10));
    assert!((0..9).all(|rank| watches_store(rank, 9, fresh)));
}

/// Replica that has read a table of the second era, whose versions were given out before.
fn replica_after_rollback() -> TableReplica {
    let mut replica = replica();
    let rows = vec![row("b", 5, Some("2"))];
    replica.apply_snapshot(NOW, StoreVersion::new(1, 9), rows, StoreGap::None);
    replica
}

#[test]
fn later_eras_replace_higher_versions() {
    let mut replica = replica();
    let rows = vec![row("b", 5, Some("2"))];
    let changes = replica.apply_snapshot(NOW, StoreVersion::new(1, 9), rows, StoreGap::None);
    assert_eq!(changes, [present("b", "2"), missing("a", RowState::Lapsed)]);
    let late = replica.apply_snapshot(NOW, 25.into(), vec![row("a", 24, None)], StoreGap::None);
    assert_eq!(late, []);
    assert_eq!(replica.applied_until(), Some(StoreVersion::new(1, 9)));
}

#[test]
fn changes_never_span_eras() {
    let mut replica = replica();
    let rows = vec![row("b", 30, Some("2"))];
    let changes = replica.apply_changes(NOW, StoreVersion::new(1, 30), rows, StoreGap::None);
    assert_eq!(changes, []);
    assert_eq!(replica.applied_until(), Some(20.into()));
}

#[test]
fn deltas_never_span_eras() {
    let mut behind = replica();
    let ahead = replica_after_rollback();
    let delta = ahead.delta_since(behind.applied_until()).expect("delta");
    assert_eq!(behind.apply_delta(&delta), None);
    assert!(behind.is_behind(delta.version));
    let whole = ahead.delta_since(None).expect("snapshot");
    assert_eq!(
        behind.apply_delta(&whole),
        Some(vec![present("b", "2"), missing("a", RowState::Lapsed)])
    );
    // A VM that has not heard of the later era has nothing to offer.
    let old = replica().delta_since(None).expect("snapshot");
    assert_eq!(behind.apply_delta(&old), None);
}

#[test]
fn other_eras_confirm_nothing() {
    let mut replica = replica_after_rollback();
    let later = NOW + Duration::from_secs(5);
    replica.confirm_current(later, 20.into(), Duration::ZERO);
    assert_eq!(replica.age(later), Some(Duration::from_secs(5)));
}
