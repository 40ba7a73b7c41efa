//! Copies of the store's tables agree, whichever way a change reaches them.

use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{FeedRow, RowState, StoreRow, TableCopy, watches_store};

fn row(key: &str, version: u64, value: Option<&str>) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        version,
        value: value.map(|value| Arc::from(value.as_bytes())),
    }
}

fn present(key: &str, value: &str) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        state: RowState::Present(Arc::from(value.as_bytes())),
    }
}

fn gone(key: &str, state: RowState) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        state,
    }
}

const NOW: Duration = Duration::from_secs(10);

/// A copy that has read one row.
fn copy() -> TableCopy {
    let mut copy = TableCopy::default();
    copy.take_whole(NOW, 20, vec![row("a", 12, Some("1"))], false);
    copy
}

#[test]
fn removals_travel_in_deltas() {
    let mut watcher = copy();
    let mut other = copy();
    let base = watcher.changed_at();
    // The store reports a row that is gone with the version of its last value.
    let news = watcher.take_changes(NOW, 30, vec![row("a", 12, None)], false);
    assert_eq!(news, [gone("a", RowState::Removed)]);
    let delta = watcher.delta_since(base).expect("a change");
    assert_eq!(
        other.take_delta(&delta),
        Some(vec![gone("a", RowState::Removed)])
    );
}

#[test]
fn removals_of_unseen_rows_travel() {
    // One watcher saw the row come, another one saw it come and go in one answer.
    let mut first = copy();
    first.take_changes(NOW, 30, vec![row("b", 28, Some("2"))], false);
    let mut second = copy();
    let base = second.changed_at();
    second.take_changes(NOW, 40, vec![row("b", 28, None)], false);
    let delta = second.delta_since(base).expect("a change");
    assert_eq!(
        first.take_delta(&delta),
        Some(vec![gone("b", RowState::Removed)])
    );
}

#[test]
fn deltas_with_a_gap_are_left_out() {
    let mut watcher = copy();
    watcher.take_changes(NOW, 30, vec![row("b", 28, Some("2"))], false);
    let base = watcher.changed_at();
    watcher.take_changes(NOW, 40, vec![row("c", 35, Some("3"))], false);
    let late = watcher.delta_since(base).expect("a change");
    let mut other = copy();
    assert_eq!(other.take_delta(&late), None);
    assert!(other.is_behind(late.version));
    let whole = watcher.delta_since(other.seen_until()).expect("a change");
    let news = other.take_delta(&whole).expect("a change that fits");
    assert_eq!(news, [present("b", "2"), present("c", "3")]);
}

#[test]
fn older_answers_change_nothing() {
    let mut copy = copy();
    copy.take_changes(NOW, 30, vec![row("a", 28, Some("2"))], false);
    let stale = copy.take_whole(NOW, 25, vec![row("a", 12, Some("1"))], false);
    assert!(stale.is_empty());
    assert_eq!(copy.changed_at(), Some(28));
}

#[test]
fn rows_lapse_in_an_outage() {
    let mut copy = copy();
    let news = copy.take_whole(NOW, 30, Vec::new(), true);
    assert_eq!(news, [gone("a", RowState::Lapsed)]);
    let news = copy.take_changes(NOW, 32, vec![row("a", 31, Some("1"))], false);
    assert_eq!(news, [present("a", "1")]);
}

#[test]
fn other_tables_do_not_count() {
    let mut watcher = copy();
    watcher.take_changes(NOW, 500, Vec::new(), false);
    assert_eq!(watcher.changed_at(), Some(12));
    let other = copy();
    assert!(!other.is_behind(watcher.changed_at().expect("a version")));
}

#[test]
fn whole_copies_replace() {
    let mut watcher = TableCopy::default();
    watcher.take_whole(NOW, 50, vec![row("b", 45, Some("2"))], false);
    let whole = watcher.delta_since(None).expect("a table");
    let mut other = copy();
    let news = other.take_delta(&whole).expect("a newer table");
    assert_eq!(news, [present("b", "2"), gone("a", RowState::Removed)]);
}

#[test]
fn more_vms_watch_when_copies_age() {
    let watchers = |age: Option<u64>| {
        let age = age.map(Duration::from_millis);
        (0..84).filter(|&rank| watches_store(rank, 84, age)).count()
    };
    assert_eq!(watchers(Some(500)), 5);
    assert_eq!(watchers(Some(3000)), 20);
    assert_eq!(watchers(Some(9000)), 84);
    assert_eq!(watchers(None), 84);
}

#[test]
fn small_fleets_watch_all() {
    // Three of nine VMs lost the store together, and they were the only ones that watched.
    let fresh = Some(Duration::from_millis(10));
    assert!((0..9).all(|rank| watches_store(rank, 9, fresh)));
}
