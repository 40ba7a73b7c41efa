//! Changes of the replicas' rows, and what follows from them: servers that come and go, and messages to
//! other VMs. [`config_changes`] has what follows for the configuration.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::gateway::{
    Feed, FeedDelta, RowChange, RowState, StoreGap, StoreRow, StoreVersion,
};
use verbenahinge_platform::registry;
use verbenahinge_platform::store::{CONFIG_KEY, Rows};

use super::config_changes::{self, LargeConfig};
use crate::event_log::LogEvent;
use crate::gateway::{Gateway, peers};

/// Where a change of a replica came from, for the log.
#[derive(Clone, Copy, Debug)]
struct ChangeOrigin {
    /// VM that sent the change; `None` if it was read from the store.
    peer: Option<IpAddr>,
    /// Version of the replica after the change.
    version: StoreVersion,
    /// Age of the replica before the change, which is the maximum age of the change.
    age: Option<Duration>,
}

impl ChangeOrigin {
    const fn source(self) -> &'static str {
        match self.peer {
            Some(_) => "peer",
            None => "store",
        }
    }

    fn peer_text(self) -> String {
        self.peer
            .map_or_else(|| "-".to_owned(), |peer| peer.to_string())
    }

    fn age_text(self) -> String {
        self.age
            .map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
    }
}

/// Applies rows that were read from the store, and tells other VMs of the changes.
pub(super) async fn apply_store_rows(
    gateway: &Rc<Gateway>,
    feed: Feed,
    rows: Rows,
    is_snapshot: bool,
    gap: StoreGap,
) {
    // A response may have waited in its socket while the process stood still.
    let now = gateway.arrival_time();
    let version = StoreVersion::new(rows.era, rows.version);
    let (base, age, removed_before) = gateway.replicas.with(feed, |replica| {
        let removed_before = replica.removed_before_copy(version);
        (
            replica.last_changed_version(),
            replica.age(now),
            removed_before,
        )
    });
    let mut store_rows = Vec::new();
    for row in rows.rows {
        store_rows.push(StoreRow {
            key: row.key,
            version: row.version,
            value: row.value.map(Arc::from),
        });
    }
    let changes = gateway.replicas.with(feed, |replica| {
        if is_snapshot {
            replica.apply_snapshot(now, version, store_rows, gap)
        } else {
            replica.apply_changes(now, version, store_rows, gap)
        }
    });
    let origin = ChangeOrigin {
        peer: None,
        version,
        age,
    };
    let large_config = apply_row_changes(gateway, feed, &changes, origin, removed_before.as_ref());
    if !changes.is_empty() {
        peers::push_change(gateway, feed, base);
    }
    if let Some(large_config) = large_config {
        large_config.apply(gateway).await;
    }
}

/// Applies a delta from another VM if it is newer than the replica and does not start after it.
///
/// Returns a configuration that is too large to be decoded at once.
#[must_use]
pub(in crate::gateway) fn apply_peer_delta(
    gateway: &Gateway,
    from: IpAddr,
    feed: Feed,
    delta: &FeedDelta,
) -> Option<LargeConfig> {
    let now = gateway.now();
    let (age, removed_before, changes) = gateway.replicas.with(feed, |replica| {
        let removed_before = replica.removed_before_copy(delta.version);
        (replica.age(now), removed_before, replica.apply_delta(delta))
    });
    let changes = changes?;
    let origin = ChangeOrigin {
        peer: Some(from),
        version: delta.version,
        age,
    };
    apply_row_changes(gateway, feed, &changes, origin, removed_before.as_ref())
}

/// Applies changes of a replica; `removed_before` holds the rows that had been removed before the
/// store returned from an older copy, if the changes lead from one era to another.
fn apply_row_changes(
    gateway: &Gateway,
    feed: Feed,
    changes: &[RowChange],
    origin: ChangeOrigin,
    removed_before: Option<&BTreeSet<String>>,
) -> Option<LargeConfig> {
    let mut large_config = None;
    for row in changes {
        match (feed, &row.state) {
            (Feed::Config, RowState::Present(value)) if row.key == CONFIG_KEY => {
                large_config = config_changes::apply_config(gateway, value, origin.source());
            }
            (Feed::Config, _) => {}
            (Feed::Servers, _) => apply_server(gateway, row, origin, removed_before),
        }
    }
    if feed == Feed::Servers {
        gateway.state.borrow_mut().mark_registry_complete();
    }
    large_config
}

fn apply_server(
    gateway: &Gateway,
    row: &RowChange,
    origin: ChangeOrigin,
    removed_before: Option<&BTreeSet<String>>,
) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let mut unreadable_servers = gateway.replicas.unreadable_servers.borrow_mut();
    let id = row.key.as_str();
    let change = match &row.state {
        RowState::Removed => state.remove_server(id),
        RowState::Lapsed => state.mark_server_missing(now, id),
        RowState::Present(value) => match registry::decode(id, value) {
            Ok(entry) => {
                unreadable_servers.remove(id);
                match removed_before {
                    Some(removed) => state.restore_server(now, entry, removed.contains(id)),
                    None => state.upsert_server(entry),
                }
            }
            Err(error) => {
                if unreadable_servers.insert(id.to_owned()) {
                    LogEvent::ServerUnreadable.log(&[("server", &id), ("cause", &error)]);
                }
                state.remove_server(id)
            }
        },
    };
    let Some(change) = change else {
        return;
    };
    let entry = state.registry().get(id);
    let drain = gateway.settings.borrow().bounds.drain;
    gateway.stream_mover.note_entry(now, id, entry, drain);
    let service = entry.map_or("-", |entry| &*entry.service);
    let address = entry.map_or_else(|| "-".to_owned(), |entry| entry.address.to_string());
    let software = entry.and_then(|entry| entry.software.as_deref());
    LogEvent::ServerListed.log(&[
        ("server", &id),
        ("change", &change),
        ("service", &service),
        ("address", &address),
        ("software", &software.unwrap_or("-")),
        ("source", &origin.source()),
        ("peer", &origin.peer_text()),
        ("table_version", &origin.version.number),
        ("era", &origin.version.era),
        ("age_ms", &origin.age_text()),
    ]);
}
