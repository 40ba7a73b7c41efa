//! Changes of the replicas' rows, and what follows from them: configurations that come into force,
//! servers that come and go, and messages to other VMs.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenahinge_core::gateway::{
    Feed, FeedDelta, RowChange, RowState, StoreGap, StoreRow, StoreVersion,
};
use verbenahinge_platform::store::{CONFIG_KEY, Rows};
use verbenahinge_platform::{registry, routing};

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
pub(super) fn apply_store_rows(
    gateway: &Rc<Gateway>,
    feed: Feed,
    rows: Rows,
    is_snapshot: bool,
    gap: StoreGap,
) {
    let now = gateway.now();
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
    apply_row_changes(gateway, feed, &changes, origin, removed_before.as_ref());
    if !changes.is_empty() {
        peers::push_change(gateway, feed, base);
    }
}

/// Applies a delta from another VM if it is newer than the replica and does not start after it.
pub(in crate::gateway) fn apply_peer_delta(
    gateway: &Gateway,
    from: IpAddr,
    feed: Feed,
    delta: &FeedDelta,
) {
    let now = gateway.now();
    let (age, removed_before, changes) = gateway.replicas.with(feed, |replica| {
        let removed_before = replica.removed_before_copy(delta.version);
        (replica.age(now), removed_before, replica.apply_delta(delta))
    });
    if let Some(changes) = changes {
        let origin = ChangeOrigin {
            peer: Some(from),
            version: delta.version,
            age,
        };
        apply_row_changes(gateway, feed, &changes, origin, removed_before.as_ref());
    }
}

/// Applies changes of a replica; `removed_before` holds the rows that had been removed before the
/// store returned from an older copy, if the changes lead from one era to another.
fn apply_row_changes(
    gateway: &Gateway,
    feed: Feed,
    changes: &[RowChange],
    origin: ChangeOrigin,
    removed_before: Option<&BTreeSet<String>>,
) {
    for row in changes {
        match feed {
            Feed::Config => apply_config(gateway, row, origin),
            Feed::Servers => apply_server(gateway, row, origin, removed_before),
        }
    }
    if feed == Feed::Servers {
        gateway.state.borrow_mut().mark_registry_complete();
    }
}

fn apply_config(gateway: &Gateway, row: &RowChange, origin: ChangeOrigin) {
    let source = origin.source();
    let (CONFIG_KEY, RowState::Present(value)) = (row.key.as_str(), &row.state) else {
        return;
    };
    let started = Instant::now();
    match routing::decode(value) {
        Ok(routing) => {
            let decode_time = started.elapsed();
            let version = routing.version;
            let routes = routing.route_count();
            let in_force = gateway.state.borrow().config_version();
            let started = Instant::now();
            if gateway.state.borrow_mut().adopt_routing(routing) {
                let adopt_time = started.elapsed();
                gateway
                    .replicas
                    .config_in_force
                    .replace(Some(value.clone()));
                LogEvent::ConfigInForce.log(&[
                    ("version", &version),
                    ("source", &source),
                    ("bytes", &value.len()),
                    ("routes", &routes),
                    ("decode_us", &decode_time.as_micros()),
                    ("adopt_us", &adopt_time.as_micros()),
                ]);
            } else if version < in_force {
                LogEvent::ConfigOutdated.log(&[
                    ("version", &version),
                    ("in_force", &in_force),
                    ("source", &source),
                ]);
                restore_config(gateway);
            }
        }
        Err(error) => {
            LogEvent::ConfigUnreadable.log(&[("source", &source), ("cause", &error)]);
            restore_config(gateway);
        }
    }
}

/// Puts the configuration in force back into the replica, so that other VMs get it from this one.
fn restore_config(gateway: &Gateway) {
    let in_force = gateway.replicas.config_in_force.borrow().clone();
    if let Some(value) = in_force {
        gateway.replicas.with(Feed::Config, |replica| {
            replica.restore_value(CONFIG_KEY, value);
        });
    }
}

/// Brings the configuration of another VM into force if it is newer, though the store may not have
/// it any more.
pub(super) fn apply_newer_config(gateway: &Gateway, from: IpAddr, delta: &FeedDelta) {
    let age = gateway
        .replicas
        .with(Feed::Config, |replica| replica.age(gateway.now()));
    let origin = ChangeOrigin {
        peer: Some(from),
        version: delta.version,
        age,
    };
    for row in &delta.rows {
        apply_config(gateway, row, origin);
    }
    restore_config(gateway);
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
    let service = entry.map_or("-", |entry| &*entry.service);
    let address = entry.map_or_else(|| "-".to_owned(), |entry| entry.address.to_string());
    LogEvent::ServerListed.log(&[
        ("server", &id),
        ("change", &change),
        ("service", &service),
        ("address", &address),
        ("source", &origin.source()),
        ("peer", &origin.peer_text()),
        ("table_version", &origin.version.number),
        ("era", &origin.version.era),
        ("age_ms", &origin.age_text()),
    ]);
}
