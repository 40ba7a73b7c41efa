//! Confirms on request that a replica is the newest, for decisions that must not be made by an older one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::Feed;
use verbenahinge_platform::store::{StoreClient, StoreError};

use super::{apply_store_rows, read_store, table_name};
use crate::gateway::Gateway;

/// Maximum wait for a confirmation; a store that is slow takes 0.2 s for a response.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// The last read of a table that was made to confirm its replica.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    sent_at: Timestamp,
    has_succeeded: bool,
}

/// Reads that confirm replicas, one at a time for each table.
#[derive(Default)]
pub(super) struct Confirmations {
    last_reads: RefCell<BTreeMap<Feed, Rc<Mutex<Option<LastRead>>>>>,
}

/// Reads a table from the store after this call has begun, and applies what has changed; returns whether that
/// succeeded in time.
///
/// Calls that come during a read share the next one.
pub(in crate::gateway) async fn confirm(gateway: &Rc<Gateway>, feed: Feed) -> bool {
    let asked_at = gateway.now();
    let gateway = Rc::clone(gateway);
    // A task of its own, since the caller may leave while rows are being applied.
    let read = actix_rt::spawn(async move {
        let last_read = {
            let mut last_reads = gateway.replicas.confirmations.last_reads.borrow_mut();
            Rc::clone(last_reads.entry(feed).or_default())
        };
        let mut last_read = last_read.lock().await;
        if let Some(last) = *last_read
            && last.sent_at >= asked_at
        {
            return last.has_succeeded;
        }
        let sent_at = gateway.now();
        let has_succeeded = read(&gateway, feed).await;
        *last_read = Some(LastRead {
            sent_at,
            has_succeeded,
        });
        has_succeeded
    });
    let result = verbenahinge_http::timeout(CONFIRM_TIMEOUT, read).await;
    matches!(result, Ok(Ok(true)))
}

async fn read(gateway: &Rc<Gateway>, feed: Feed) -> bool {
    // A connection of its own: one that is kept may have gone silent.
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut needs_snapshot = false;
    loop {
        let result = read_store(gateway, &mut store, feed, Duration::ZERO, needs_snapshot);
        match verbenahinge_http::timeout(CONFIRM_TIMEOUT, result).await {
            Ok(Ok((rows, is_snapshot))) => {
                let gap = gateway.replicas.record_read(gateway, feed);
                apply_store_rows(gateway, feed, rows, is_snapshot, gap).await;
                return true;
            }
            Ok(Err(StoreError::VersionTooOld)) if !needs_snapshot => needs_snapshot = true,
            Ok(Err(error)) => {
                log::debug!("table {}: not confirmed: {error}", table_name(feed));
                return false;
            }
            Err(_) => {
                log::debug!("table {}: not confirmed in time", table_name(feed));
                return false;
            }
        }
    }
}
