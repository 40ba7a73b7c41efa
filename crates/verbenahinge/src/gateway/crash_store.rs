//! Keeps the requests and prompt parts that crash backend servers in the store, since VMs may all be
//! replaced.
//!
//! A VM reads the table when it starts and in each era of the store, and writes the records that
//! the store lacks. See `docs/design/crash-records.md`.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use verbenahinge_core::gateway::{CrashRecord, SuspectScope};
use verbenahinge_core::hash::jitter;
use verbenahinge_core::quarantine::RECORD_TTL;
use verbenahinge_platform::quarantine;
use verbenahinge_platform::store::{QUARANTINE_TABLE, StoreClient, StoreError};

use super::crash_check::{self, BlameSource, hex};
use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Time over which the VMs of a fleet spread their reads after a new era or a new record, so that
/// most find that another VM has written what was missing.
const SPREAD: Duration = Duration::from_secs(2);

/// Pause after a failed call, before up to as much jitter is added.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Live VMs, by their rank, that write records which this VM did not find itself: enough that one of
/// them reaches the store.
const WRITERS: usize = 3;

/// Most records that are written in a row, so that the writes of others get their turn.
const MAX_WRITES: usize = 64;

/// Whether the records in the store may differ from those of this VM.
pub(crate) struct CrashStore {
    era: Cell<Option<u64>>,
    needs_sync: Cell<SyncNeed>,
    notify: Notify,
}

/// How soon the records have to be compared with the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SyncNeed {
    None,
    /// Another VM has probably written the record.
    Spread,
    /// The VM starts, or has found a record itself.
    Now,
}

impl CrashStore {
    pub(crate) const fn new() -> Self {
        Self {
            era: Cell::new(None),
            needs_sync: Cell::new(SyncNeed::Now),
            notify: Notify::const_new(),
        }
    }

    /// Notes the era of the store; returns whether it is a new one, in which records may be lost.
    fn note_era(&self, era: u64) -> bool {
        let old = self.era.replace(Some(era));
        old.is_some_and(|old| old != era)
    }

    fn request(&self, need: SyncNeed) {
        self.needs_sync.set(self.needs_sync.get().max(need));
        self.notify.notify_waiters();
    }
}

/// Notes the era of the store: the records are written again in each.
pub(super) fn note_era(gateway: &Gateway, era: u64) {
    if gateway.crash_store.note_era(era) {
        request_backup(gateway);
    }
}

/// Requests that the store is compared with records that have changed.
pub(super) fn request_sync(gateway: &Gateway, source: BlameSource) {
    match source {
        BlameSource::Own => gateway.crash_store.request(SyncNeed::Now),
        BlameSource::Other => request_backup(gateway),
    }
}

/// Requests that records of other VMs are written, in case that those VMs could not.
fn request_backup(gateway: &Gateway) {
    if gateway.peers.watcher_rank(gateway.now()) < WRITERS {
        gateway.crash_store.request(SyncNeed::Spread);
    }
}

/// Compares the records of this VM with those in the store whenever they may differ.
pub(super) async fn sync_records(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut jitter_seed = rand::random();
    loop {
        let notified = gateway.crash_store.notify.notified();
        match gateway.crash_store.needs_sync.get() {
            SyncNeed::None => {
                notified.await;
                continue;
            }
            SyncNeed::Spread => {
                tokio::select! {
                    () = notified => {}
                    () = actix_rt::time::sleep(jitter(jitter_seed, SPREAD)) => {}
                }
            }
            SyncNeed::Now => {}
        }
        gateway.crash_store.needs_sync.set(SyncNeed::None);
        jitter_seed = jitter_seed.wrapping_add(1);
        gateway.update_store_address(&mut store);
        if let Err(error) = sync_once(&gateway, &mut store).await {
            log::debug!("failed to compare crash records with the store: {error}");
            gateway.crash_store.request(SyncNeed::Spread);
            actix_rt::time::sleep(RETRY_PAUSE + jitter(jitter_seed, RETRY_PAUSE)).await;
        }
    }
}

/// Reads the records of the store, removes those that have expired or that a success has cleared, and
/// writes those that it lacks.
async fn sync_once(gateway: &Rc<Gateway>, store: &mut StoreClient) -> Result<(), StoreError> {
    let now = gateway.now();
    let mut stored = BTreeSet::new();
    let mut records = Vec::new();
    let mut expired = Vec::new();
    for row in store.read_table(QUARANTINE_TABLE).await?.rows {
        let Some(value) = row.value else {
            continue;
        };
        match quarantine::decode(now, &row.key, &value) {
            Ok(record) if record.age >= RECORD_TTL => expired.push(row.key),
            Ok(record) => {
                stored.insert(record.fingerprint);
                records.push(record);
            }
            Err(error) => {
                log::warn!("removing a row of table {QUARANTINE_TABLE}: {error}");
                expired.push(row.key);
            }
        }
    }
    merge_records(gateway, &records, "store");
    for &fingerprint in &stored {
        if gateway.state.borrow().crash_guard().is_cleared(fingerprint) {
            expired.push(quarantine::row_key(fingerprint));
        }
    }
    for key in expired {
        store.remove(QUARANTINE_TABLE, &key).await?;
    }
    let mut missing = gateway.state.borrow().crash_guard().refused_records(now);
    missing.retain(|record| !stored.contains(&record.fingerprint));
    if missing.len() > MAX_WRITES {
        gateway.crash_store.request(SyncNeed::Spread);
    }
    for record in missing.iter().take(MAX_WRITES) {
        let key = quarantine::row_key(record.fingerprint);
        let value = quarantine::encode(now, record).map_err(|error| StoreError::Malformed {
            problem: error.to_string(),
        })?;
        store.put(QUARANTINE_TABLE, &key, &value).await?;
    }
    Ok(())
}

/// Adds records from another VM or from the store, and logs those that are new.
///
/// A crash names dozens of parts, so that only those are logged that are blamed for it.
pub(super) fn merge_records(gateway: &Rc<Gateway>, records: &[CrashRecord], source: &str) {
    if records.is_empty() {
        return;
    }
    let now = gateway.now();
    let learned = gateway.state.borrow_mut().merge_crash_records(now, records);
    for fingerprint in learned {
        let (is_quarantined, scope) = {
            let state = gateway.state.borrow();
            let guard = state.crash_guard();
            (guard.is_blamed(fingerprint), guard.scope(fingerprint))
        };
        if !is_quarantined && scope != Some(SuspectScope::Request) {
            continue;
        }
        LogEvent::CrashRecordLearned.log(&[
            ("fingerprint", &hex(fingerprint)),
            ("peer", &source),
            ("quarantined", &is_quarantined),
        ]);
    }
    crash_check::update_blame(gateway, BlameSource::Other);
    if gateway.state.borrow().crash_guard().has_untold() {
        peers::push_cleared(gateway);
    }
}
