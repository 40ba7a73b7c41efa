//! Replicas of the store's tables, kept up to date by watching the store or by other VMs.

mod checked_read;
mod config_changes;
mod confirmation;
mod response_log;
mod row_changes;
mod store_health;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use strum::IntoEnumIterator;
use tokio::sync::Notify;
use verbenahinge_core::gateway::{
    AnnouncedVersion, Feed, StoreContact, StoreGap, StoreVersion, TableReplica, WatchPacing,
    needs_read_at_once, watches_store,
};
use verbenahinge_core::hash::jitter;
use verbenahinge_core::{ConfigVersion, Timestamp};
use verbenahinge_platform::store::{
    OPERATOR_TABLE, Rows, SERVER_TABLE, StoreClient, StoreError, VM_TABLE,
};

use self::checked_read::read_with_checks;
use self::config_changes::apply_newer_config;
use self::confirmation::Confirmations;
pub(super) use self::confirmation::confirm;
use self::response_log::ResponseLog;
pub(super) use self::row_changes::apply_peer_delta;
use self::row_changes::apply_store_rows;
use self::store_health::StoreHealth;
use super::peers::FetchPatience;
use super::{Gateway, crash_store, peers};

/// Time between two checks whether this VM has to watch the store.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time to wait for a change to arrive by datagram before this VM fetches it.
const PUSH_WAIT: Duration = Duration::from_millis(120);

/// Minimum time to wait for a configuration to arrive as a change of its table before this VM
/// fetches it from another one: twice [`PUSH_WAIT`], after which the table itself is fetched.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(240);

/// Pause after a configuration that could not be fetched or read.
const FAILED_FETCH_PAUSE: Duration = Duration::from_secs(2);

/// Time after the start in which a VM that already has a replica should discover other VMs before
/// it watches the store. It has no effect at present, since it is compared with the time since the
/// Unix epoch.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Time between two checks whether no other VM is live: VMs of one fleet start within 0.3 s, and the
/// first messages between them take a round of digests and the network delay. A VM that is not alone
/// should have heard from another one by the first check.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Pause after a response that was older than the replica: the store's rate limit leaves a VM of a
/// fleet of hundreds a few calls per second.
const IGNORED_RESPONSE_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a lookup of other VMs in the store.
const LOOKUP_PAUSE: Duration = Duration::from_secs(3);

/// Replicas of all tables.
pub(crate) struct Replicas {
    by_feed: RefCell<BTreeMap<Feed, TableReplica>>,
    newer_versions: RefCell<BTreeMap<Feed, AnnouncedVersion>>,
    newer_version_notify: Notify,
    unreadable_servers: RefCell<BTreeSet<String>>,
    /// Value of the configuration in force, as it was read.
    config_in_force: RefCell<Option<Arc<[u8]>>>,
    /// Number of large configurations that are being decoded.
    decoding: Cell<usize>,
    /// Configuration that another VM has in force, by the operator's version.
    newer_config: RefCell<Option<AnnouncedVersion>>,
    newer_config_notify: Notify,
    contacts: RefCell<BTreeMap<Feed, StoreContact>>,
    confirmations: Confirmations,
}

impl Replicas {
    pub(crate) fn new() -> Self {
        let by_feed = Feed::iter().map(|feed| (feed, TableReplica::default()));
        Self {
            by_feed: RefCell::new(by_feed.collect()),
            newer_versions: RefCell::default(),
            newer_version_notify: Notify::new(),
            unreadable_servers: RefCell::default(),
            config_in_force: RefCell::default(),
            decoding: Cell::new(0),
            newer_config: RefCell::default(),
            newer_config_notify: Notify::new(),
            contacts: RefCell::default(),
            confirmations: Confirmations::default(),
        }
    }

    fn with_contact<T>(&self, feed: Feed, access: impl FnOnce(&mut StoreContact) -> T) -> T {
        access(self.contacts.borrow_mut().entry(feed).or_default())
    }

    /// Whether the last call for a table failed.
    fn is_failing(&self, feed: Feed) -> bool {
        self.with_contact(feed, |contact| contact.is_failing())
    }

    /// Records that calls for a table have failed or were not answered since a time.
    fn record_failure(&self, feed: Feed, since: Timestamp) {
        self.with_contact(feed, |contact| contact.record_failure(since));
    }

    /// Records the response to a watch, before its rows are applied; returns what it tells about entries that
    /// are missing.
    fn record_response(&self, gateway: &Gateway, feed: Feed) -> StoreGap {
        let now = gateway.now();
        let age = self.with(feed, |replica| replica.age(now));
        let heartbeat = gateway.settings.borrow().bounds.server_heartbeat;
        self.with_contact(feed, |contact| contact.record_response(now, age, heartbeat))
    }

    /// Records the response to a call that did not wait, before its rows are applied; returns what it tells
    /// about entries that are missing.
    fn record_read(&self, gateway: &Gateway, feed: Feed) -> StoreGap {
        let now = gateway.now();
        let age = self.with(feed, |replica| replica.age(now));
        let heartbeat = gateway.settings.borrow().bounds.server_heartbeat;
        self.with_contact(feed, |contact| contact.record_read(now, age, heartbeat))
    }

    /// Records that another VM knows `version` as the last change of a table `age` ago.
    pub(super) fn confirm_current(
        &self,
        gateway: &Gateway,
        feed: Feed,
        version: StoreVersion,
        age: Duration,
    ) {
        let now = gateway.now();
        let (before, after) = self.with(feed, |replica| {
            let before = replica.age(now);
            replica.confirm_current(now, version, age);
            (before, replica.age(now))
        });
        let (Some(before), Some(after)) = (before, after) else {
            return;
        };
        let heartbeat = gateway.settings.borrow().bounds.server_heartbeat;
        let read_at = now.saturating_sub(after);
        let replica_age = before.saturating_sub(after);
        self.with_contact(feed, |contact| {
            contact.record_confirmation(read_at, Some(replica_age), heartbeat);
        });
    }

    /// Runs a closure with exclusive access to the replica of a table.
    pub(crate) fn with<T>(&self, feed: Feed, access: impl FnOnce(&mut TableReplica) -> T) -> T {
        let mut by_feed = self.by_feed.borrow_mut();
        access(by_feed.entry(feed).or_default())
    }

    /// Records that the replica of another VM is newer, and wakes the catch-up task.
    pub(crate) fn note_newer_version(&self, feed: Feed, source: IpAddr, version: StoreVersion) {
        self.newer_versions
            .borrow_mut()
            .entry(feed)
            .and_modify(|newer| newer.announce(source, version))
            .or_insert_with(|| AnnouncedVersion::new(source, version));
        self.newer_version_notify.notify_waiters();
    }

    /// Records that another VM has a newer configuration in force, and wakes the task that fetches
    /// it.
    pub(crate) fn note_newer_config(&self, source: IpAddr, version: ConfigVersion) {
        let version = StoreVersion::from(version);
        self.newer_config
            .borrow_mut()
            .get_or_insert_with(|| AnnouncedVersion::new(source, version))
            .announce(source, version);
        self.newer_config_notify.notify_waiters();
    }

    /// Version from which changes are fetched from a VM with a newer replica; `None` for the whole
    /// table, if there is no replica or the other one belongs to a later era.
    fn base_for_fetch(&self, feed: Feed) -> Option<StoreVersion> {
        let newer = self.newer_versions.borrow().get(&feed).copied();
        self.with(feed, |replica| {
            let has_later_era =
                newer.is_some_and(|newer| replica.is_of_earlier_era(newer.version()));
            replica.applied_until().filter(|_| !has_later_era)
        })
    }

    /// Records that a newer version could not be fetched from the VM that announced it.
    fn record_failed_fetch(&self, feed: Feed) {
        if let Some(newer) = self.newer_versions.borrow_mut().get_mut(&feed) {
            newer.record_failure();
        }
    }

    /// Whether another VM is known to have a newer replica.
    pub(crate) fn is_behind(&self, feed: Feed) -> bool {
        self.newer_source(feed).is_some()
    }

    /// Returns a VM whose replica is newer, and forgets a recorded version that has been applied.
    fn newer_source(&self, feed: Feed) -> Option<IpAddr> {
        let newer = self.newer_versions.borrow().get(&feed).copied()?;
        if self.with(feed, |replica| replica.is_behind(newer.version())) {
            return Some(newer.source());
        }
        self.newer_versions.borrow_mut().remove(&feed);
        None
    }
}

const fn table_name(feed: Feed) -> &'static str {
    match feed {
        Feed::Config => OPERATOR_TABLE,
        Feed::Servers => SERVER_TABLE,
    }
}

/// Watches a table of the store whenever this VM is one of its watchers.
pub(super) async fn watch_feed(gateway: Rc<Gateway>, feed: Feed) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut health = StoreHealth::new(feed);
    let mut needs_snapshot = false;
    let mut response_log = ResponseLog::new(table_name(feed));
    let mut pacing = WatchPacing::new(rand::random());
    loop {
        if !is_watcher(&gateway, feed) {
            actix_rt::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let sent_at = gateway.now();
        let age = gateway.replicas.with(feed, |replica| replica.age(sent_at));
        let timeout = if gateway.replicas.is_failing(feed) || needs_read_at_once(age) {
            Duration::ZERO
        } else {
            let vms = gateway.peers.live_count(sent_at) + 1;
            pacing.next_timeout(gateway.peers.watcher_rank(sent_at), vms)
        };
        gateway.update_store_address(&mut store);
        let read = read_with_checks(
            &gateway,
            &mut store,
            &mut health,
            feed,
            timeout,
            needs_snapshot,
        )
        .await;
        let has_waited = !timeout.is_zero() && !read.is_check;
        match read.result {
            Ok((rows, is_snapshot)) => {
                let now = gateway.now();
                let gap = health.record_success(&gateway, has_waited);
                needs_snapshot = false;
                let is_ignored = response_log.record_rows(&gateway, feed, &rows);
                let vms = gateway.peers.live_count(now) + 1;
                let has_changes = feed == Feed::Servers && !rows.rows.is_empty();
                apply_store_rows(&gateway, feed, rows, is_snapshot, gap).await;
                renew_rows(&gateway);
                let pause = pacing.note_response(now, vms, has_changes);
                if is_ignored {
                    actix_rt::time::sleep(IGNORED_RESPONSE_PAUSE).await;
                } else if !pause.is_zero() {
                    actix_rt::time::sleep(pause).await;
                }
            }
            Err(StoreError::VersionTooOld) => {
                needs_snapshot = true;
                response_log.record_unknown_version(&gateway, feed);
            }
            Err(_) => health.back_off().await,
        }
    }
}

/// Writes the rows of this VM to the store, at the start and in each era: a store that has returned
/// from an older copy may have lost them.
pub(super) fn renew_rows(gateway: &Rc<Gateway>) {
    let version = gateway
        .replicas
        .with(Feed::Servers, |replica| replica.applied_until());
    if let Some(version) = version {
        peers::register_in_era(gateway, version.era);
        crash_store::note_era(gateway, version.era);
    }
}

/// Reads the changes of a table since the replica's version, or a snapshot if there is none or
/// `needs_snapshot` is set; the flag tells whether the rows are a snapshot.
async fn read_store(
    gateway: &Gateway,
    store: &mut StoreClient,
    feed: Feed,
    timeout: Duration,
    needs_snapshot: bool,
) -> Result<(Rows, bool), StoreError> {
    let table = table_name(feed);
    let since = gateway
        .replicas
        .with(feed, |replica| replica.applied_until());
    match since {
        Some(version) if !needs_snapshot => {
            let rows = store.watch_table(table, version.number, timeout).await?;
            if rows.era == version.era {
                return Ok((rows, false));
            }
            // The store has given out the version again, so the changes after it lack those before.
            Ok((store.read_table(table).await?, true))
        }
        _ => Ok((store.read_table(table).await?, true)),
    }
}

/// Fetches changes that another VM has and this one lacks, from that VM or else from the store.
pub(super) async fn catch_up(gateway: Rc<Gateway>, feed: Feed) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    loop {
        let notified = gateway.replicas.newer_version_notify.notified();
        if gateway.replicas.newer_source(feed).is_none() {
            notified.await;
        }
        actix_rt::time::sleep(PUSH_WAIT + jitter(rand::random(), PUSH_WAIT)).await;
        let Some(source) = gateway.replicas.newer_source(feed) else {
            continue;
        };
        let since = gateway.replicas.base_for_fetch(feed);
        peers::fetch_feed(&gateway, source, feed, since, FetchPatience::Brief).await;
        if gateway.replicas.newer_source(feed).is_none() {
            continue;
        }
        gateway.update_store_address(&mut store);
        gateway.replicas.record_failed_fetch(feed);
        match read_store(&gateway, &mut store, feed, Duration::ZERO, false).await {
            Ok((rows, is_snapshot)) => {
                let gap = gateway.replicas.record_read(&gateway, feed);
                apply_store_rows(&gateway, feed, rows, is_snapshot, gap).await;
            }
            Err(error) => {
                log::debug!(
                    "table {}: failed to read changes from the store: {error}",
                    table_name(feed)
                );
                // The other VM may lack removals after this VM's version, but has the whole table.
                peers::fetch_feed(&gateway, source, feed, None, FetchPatience::WhileArriving).await;
            }
        }
    }
}

/// Fetches a configuration that another VM has in force and that this VM's replica lacks though its
/// version is the same: the store lost it when it returned from an older copy.
pub(super) async fn catch_up_config(gateway: Rc<Gateway>) {
    loop {
        let notified = gateway.replicas.newer_config_notify.notified();
        if newer_config(&gateway).is_none() {
            notified.await;
        }
        // A change of the table itself arrives by then.
        actix_rt::time::sleep(CONFIG_FETCH_DELAY + jitter(rand::random(), CONFIG_FETCH_DELAY))
            .await;
        let Some(source) = newer_config(&gateway) else {
            continue;
        };
        let patience = FetchPatience::WhileArriving;
        let delta = peers::fetch_delta(&gateway, source, Feed::Config, None, patience).await;
        match delta {
            Some(delta) => apply_newer_config(&gateway, &delta).await,
            None => log::debug!("failed to fetch the configuration of {source}"),
        }
        if newer_config(&gateway) != Some(source) {
            continue;
        }
        if let Some(newer) = gateway.replicas.newer_config.borrow_mut().as_mut() {
            newer.record_failure();
        }
        actix_rt::time::sleep(FAILED_FETCH_PAUSE).await;
    }
}

/// VM that has a newer configuration in force and that this VM still hears from; forgets one that has been
/// adopted, or whose VM is lost.
fn newer_config(gateway: &Gateway) -> Option<IpAddr> {
    let newer = (*gateway.replicas.newer_config.borrow())?;
    let in_force = StoreVersion::from(gateway.state.borrow().config_version());
    if newer.version() > in_force && gateway.peers.is_live(gateway.now(), newer.source()) {
        return Some(newer.source());
    }
    gateway.replicas.newer_config.replace(None);
    None
}

/// Time since the configuration was last known to be the newest; `None` before the first one.
pub(super) fn config_age(gateway: &Gateway) -> Option<Duration> {
    let now = gateway.now();
    gateway
        .replicas
        .with(Feed::Config, |replica| replica.age(now))
}

/// Whether a newer configuration is known to be in force elsewhere, or is being decoded.
pub(super) fn is_config_outdated(gateway: &Gateway) -> bool {
    gateway.replicas.decoding.get() > 0
        || gateway.replicas.newer_source(Feed::Config).is_some()
        || newer_config(gateway).is_some()
}

/// Whether this VM watches the store itself for a table.
fn is_watcher(gateway: &Gateway, feed: Feed) -> bool {
    let now = gateway.now();
    let (is_known, age) = gateway.replicas.with(feed, |replica| {
        (replica.applied_until().is_some(), replica.age(now))
    });
    if is_known && now < DISCOVERY_TIME {
        return false;
    }
    let age = if is_known { age } else { None };
    watches_store(
        gateway.peers.watcher_rank(now),
        gateway.peers.live_count(now) + 1,
        age,
    )
}

/// Looks up other VMs in the store as long as none is live.
pub(super) async fn discover_vms(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    loop {
        actix_rt::time::sleep(ISOLATION_CHECK_INTERVAL).await;
        if gateway.peers.is_isolated(gateway.now()) {
            gateway.update_store_address(&mut store);
            match store.read_table(VM_TABLE).await {
                Ok(rows) => {
                    for row in rows.rows {
                        if let Ok(ip) = row.key.parse::<IpAddr>() {
                            gateway.peers.add(gateway.now(), ip);
                        }
                    }
                }
                Err(error) => log::debug!("failed to look up other VMs in the store: {error}"),
            }
            actix_rt::time::sleep(LOOKUP_PAUSE).await;
        }
    }
}

/// Writes the address of this VM to the store, so that VMs with stale seeds find it.
pub(super) async fn register_address(gateway: Rc<Gateway>, delay: Duration) {
    actix_rt::time::sleep(delay).await;
    let (address, ip) = {
        let settings = gateway.settings.borrow();
        (settings.store, settings.ip)
    };
    let mut store = StoreClient::new(address);
    let mut jitter_seed = rand::random();
    while let Err(error) = store.put(VM_TABLE, &ip.to_string(), b"1").await {
        log::debug!("failed to write the address of this VM to the store: {error}");
        actix_rt::time::sleep(LOOKUP_PAUSE + jitter(jitter_seed, LOOKUP_PAUSE)).await;
        jitter_seed = jitter_seed.wrapping_add(1);
        gateway.update_store_address(&mut store);
    }
}
