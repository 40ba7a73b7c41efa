//! Copies of the store's tables: watched at the store, or learned from other VMs.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use strum::IntoEnumIterator;
use tokio::sync::Notify;
use verbenahinge_core::gateway::{
    Feed, FeedDelta, RowChange, RowState, StoreRow, TableReplica, watch_timeout, watches_store,
};
use verbenahinge_core::hash::jitter;
use verbenahinge_platform::store::{
    CONFIG_KEY, OPERATOR_TABLE, Rows, SERVER_TABLE, StoreClient, StoreError, VM_TABLE,
};
use verbenahinge_platform::{registry, routing};

use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Time between two looks at whether this VM has to watch.
const ROLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a change that another VM has is left to the datagram that tells it.
const PUSH_TIME: Duration = Duration::from_millis(120);

/// Time after the start in which other VMs are heard of, before this one begins to watch.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// First pause after a call that failed.
const PAUSE_BASE: Duration = Duration::from_millis(100);

/// Longest pause after calls that failed; every VM pays for its calls.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Time without a word from another VM after which the store is asked for their addresses: VMs of
/// one fleet start within 0.3 s, and the first words between them need a round and the way.
const LONELY_AFTER: Duration = Duration::from_millis(600);

/// Time between two tries to find other VMs through the store.
const LONELY_PAUSE: Duration = Duration::from_secs(3);

/// A change that another VM has.
#[derive(Clone, Copy, Debug)]
struct Behind {
    source: IpAddr,
    version: u64,
}

/// Copies of all tables.
pub(crate) struct Feeds {
    copies: RefCell<BTreeMap<Feed, TableReplica>>,
    behind: RefCell<BTreeMap<Feed, Behind>>,
    news: Notify,
    unreadable: RefCell<BTreeSet<String>>,
}

impl Feeds {
    pub(crate) fn new() -> Self {
        let copies = Feed::iter().map(|feed| (feed, TableReplica::default()));
        Self {
            copies: RefCell::new(copies.collect()),
            behind: RefCell::default(),
            news: Notify::new(),
            unreadable: RefCell::default(),
        }
    }

    /// Reads or changes the copy of a table.
    pub(crate) fn with<T>(&self, feed: Feed, act: impl FnOnce(&mut TableReplica) -> T) -> T {
        let mut copies = self.copies.borrow_mut();
        act(copies.entry(feed).or_default())
    }

    /// Takes note that another VM has a newer copy.
    pub(crate) fn fall_behind(&self, feed: Feed, source: IpAddr, version: u64) {
        self.behind
            .borrow_mut()
            .insert(feed, Behind { source, version });
        self.news.notify_waiters();
    }

    fn is_behind(&self, feed: Feed) -> Option<IpAddr> {
        let behind = self.behind.borrow().get(&feed).copied()?;
        if self.with(feed, |copy| copy.is_behind(behind.version)) {
            return Some(behind.source);
        }
        self.behind.borrow_mut().remove(&feed);
        None
    }
}

const fn table_of(feed: Feed) -> &'static str {
    match feed {
        Feed::Config => OPERATOR_TABLE,
        Feed::Servers => SERVER_TABLE,
    }
}

/// Whether the store answers, and how long to pause when it does not.
struct StoreHealth {
    table: &'static str,
    failures: u32,
    seed: u64,
}

impl StoreHealth {
    fn new(table: &'static str) -> Self {
        Self {
            table,
            failures: 0,
            seed: rand::random(),
        }
    }

    const fn is_lost(&self) -> bool {
        self.failures > 0
    }

    fn note_answer(&mut self) {
        if self.is_lost() {
            LogEvent::PlatformAvailable
                .log(&[("table", &self.table), ("failures", &self.failures)]);
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if !self.is_lost() {
            LogEvent::PlatformUnavailable.log(&[("table", &self.table), ("cause", error)]);
        }
        self.failures += 1;
        let pause = PAUSE_BASE * (1 << self.failures.min(4));
        let pause = pause.min(PAUSE_MAX);
        self.seed = self.seed.wrapping_add(1);
        actix_rt::time::sleep(pause + jitter(self.seed, pause / 2)).await;
    }
}

/// Watches a table at the store whenever that is this VM's part.
pub(super) async fn follow(gateway: Rc<Gateway>, feed: Feed) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut health = StoreHealth::new(table_of(feed));
    let mut must_read = false;
    loop {
        if !watches(&gateway, feed) {
            actix_rt::time::sleep(ROLE_INTERVAL).await;
            continue;
        }
        let wait = watch_timeout(gateway.peers.live(gateway.now()) + 1);
        match read_store(&gateway, &mut store, feed, wait, must_read).await {
            Ok((rows, is_whole)) => {
                let after_outage = health.is_lost();
                health.note_answer();
                must_read = false;
                take_rows(&gateway, feed, rows, is_whole, after_outage);
                peers::announce_watcher(&gateway);
            }
            Err(StoreError::VersionTooOld) => must_read = true,
            Err(error) => health.note_failure(&error).await,
        }
    }
}

/// Reads changes of a table, or all of it if none is known; says which.
async fn read_store(
    gateway: &Gateway,
    store: &mut StoreClient,
    feed: Feed,
    wait: Duration,
    must_read: bool,
) -> Result<(Rows, bool), StoreError> {
    let table = table_of(feed);
    let since = gateway.feeds.with(feed, |copy| copy.applied_until());
    match since {
        Some(version) if !must_read => {
            let rows = store.watch_table(table, version, wait).await?;
            Ok((rows, false))
        }
        _ => Ok((store.read_table(table).await?, true)),
    }
}

/// Learns what other VMs know of a table and this one does not.
pub(super) async fn catch_up(gateway: Rc<Gateway>, feed: Feed) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    loop {
        let news = gateway.feeds.news.notified();
        if gateway.feeds.is_behind(feed).is_none() {
            news.await;
        }
        actix_rt::time::sleep(PUSH_TIME + jitter(rand::random(), PUSH_TIME)).await;
        let Some(source) = gateway.feeds.is_behind(feed) else {
            continue;
        };
        peers::fetch_feed(&gateway, source, feed).await;
        if gateway.feeds.is_behind(feed).is_none() {
            continue;
        }
        match read_store(&gateway, &mut store, feed, Duration::ZERO, false).await {
            Ok((rows, is_whole)) => take_rows(&gateway, feed, rows, is_whole, false),
            Err(error) => log::debug!("{}: not caught up: {error}", table_of(feed)),
        }
    }
}

/// Says whether this VM watches the store itself for a table.
fn watches(gateway: &Gateway, feed: Feed) -> bool {
    let now = gateway.now();
    let (is_known, age) = gateway
        .feeds
        .with(feed, |copy| (copy.applied_until().is_some(), copy.age(now)));
    if is_known && now < SETTLE_TIME {
        return false;
    }
    let age = if is_known { age } else { None };
    watches_store(gateway.peers.rank(now), gateway.peers.live(now) + 1, age)
}

fn take_rows(gateway: &Rc<Gateway>, feed: Feed, rows: Rows, is_whole: bool, after_outage: bool) {
    let now = gateway.now();
    let version = rows.version;
    let base = gateway.feeds.with(feed, |copy| copy.last_changed_version());
    let mut changes = Vec::new();
    for row in rows.rows {
        changes.push(StoreRow {
            key: row.key,
            version: row.version,
            value: row.value.map(Arc::from),
        });
    }
    let news = gateway.feeds.with(feed, |copy| {
        if is_whole {
            copy.apply_snapshot(now, version, changes, after_outage)
        } else {
            copy.apply_changes(now, version, changes, after_outage)
        }
    });
    apply(gateway, feed, &news, "store");
    if !news.is_empty() {
        peers::push_news(gateway, feed, base);
    }
}

/// Takes in what another VM tells of a table, if it fits the copy.
pub(super) fn take_delta(gateway: &Gateway, feed: Feed, delta: &FeedDelta) {
    let news = gateway.feeds.with(feed, |copy| copy.apply_delta(delta));
    if let Some(news) = news {
        apply(gateway, feed, &news, "peer");
    }
}

fn apply(gateway: &Gateway, feed: Feed, news: &[RowChange], source: &str) {
    for row in news {
        match feed {
            Feed::Config => take_config(gateway, row, source),
            Feed::Servers => take_server(gateway, row, source),
        }
    }
    if feed == Feed::Servers {
        gateway.state.borrow_mut().mark_registry_complete();
    }
}

fn take_config(gateway: &Gateway, row: &RowChange, source: &str) {
    let (CONFIG_KEY, RowState::Present(value)) = (row.key.as_str(), &row.state) else {
        return;
    };
    match routing::decode(value) {
        Ok(routing) => {
            let version = routing.version;
            if gateway.state.borrow_mut().adopt_routing(routing) {
                LogEvent::ConfigInForce.log(&[("version", &version), ("source", &source)]);
            }
        }
        Err(error) => LogEvent::ConfigUnreadable.log(&[("source", &source), ("cause", &error)]),
    }
}

fn take_server(gateway: &Gateway, row: &RowChange, source: &str) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let mut unreadable = gateway.feeds.unreadable.borrow_mut();
    let id = row.key.as_str();
    let change = match &row.state {
        RowState::Removed => state.remove_server(id),
        RowState::Lapsed => state.mark_server_missing(now, id),
        RowState::Present(value) => match registry::decode(id, value) {
            Ok(entry) => {
                unreadable.remove(id);
                state.upsert_server(entry)
            }
            Err(error) => {
                if unreadable.insert(id.to_owned()) {
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
        ("source", &source),
    ]);
}

/// Looks for other VMs in the store for as long as none is heard of.
pub(super) async fn find_others(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    loop {
        actix_rt::time::sleep(LONELY_AFTER).await;
        if gateway.peers.is_lonely(gateway.now()) {
            match store.read_table(VM_TABLE).await {
                Ok(rows) => {
                    for row in rows.rows {
                        if let Ok(ip) = row.key.parse::<IpAddr>() {
                            gateway.peers.add(gateway.now(), ip);
                        }
                    }
                }
                Err(error) => log::debug!("other VMs cannot be looked up: {error}"),
            }
            actix_rt::time::sleep(LONELY_PAUSE).await;
        }
    }
}

/// Writes the address of this VM into the store, so that VMs with stale seeds find it.
pub(super) async fn write_address(gateway: Rc<Gateway>) {
    let (address, ip) = {
        let settings = gateway.settings.borrow();
        (settings.store, settings.ip)
    };
    let mut store = StoreClient::new(address);
    if let Err(error) = store.put(VM_TABLE, &ip.to_string(), b"1").await {
        log::debug!("the address of this VM is not in the store: {error}");
    }
}
