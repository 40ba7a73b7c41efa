//! Calls to the store for changes of a table, beside which the table is read on other connections if no
//! response comes in time.

use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use verbenahinge_core::gateway::{Feed, StoreCheck};
use verbenahinge_platform::store::{Rows, StoreClient, StoreError};

use super::store_health::StoreHealth;
use super::{read_store, table_name};
use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// First response to a call or to one of the checks beside it.
pub(super) struct CheckedRead {
    /// Rows and whether they are a snapshot.
    pub(super) result: Result<(Rows, bool), StoreError>,
    /// Whether a check was answered first.
    pub(super) is_check: bool,
}

impl CheckedRead {
    const fn of_call(result: Result<(Rows, bool), StoreError>) -> Self {
        Self {
            result,
            is_check: false,
        }
    }
}

/// Reads a table like [`read_store`]; if the replica becomes too old meanwhile, reads it on new connections, of
/// which one that is answered takes the place of the first.
///
/// Ends with an error once neither the call nor a check is pending; the failure of the call has been recorded.
pub(super) async fn read_with_checks(
    gateway: &Gateway,
    store: &mut StoreClient,
    health: &mut StoreHealth,
    feed: Feed,
    timeout: Duration,
    needs_snapshot: bool,
) -> CheckedRead {
    let sent_at = gateway.now();
    let vms = gateway.peers.live_count(sent_at) + 1;
    let mut pacing = StoreCheck::new(sent_at).watcher(gateway.peers.watcher_rank(sent_at), vms);
    let mut checks = FuturesUnordered::new();
    let mut failure = None;
    let checked = {
        let mut call = pin!(read_store(gateway, store, feed, timeout, needs_snapshot));
        loop {
            let now = gateway.now();
            let age = gateway.replicas.with(feed, |replica| replica.age(now));
            let wait = pacing.wait(now, age, checks.len());
            if wait.is_zero() {
                pacing.record_check(now);
                checks.push(check(gateway, feed, needs_snapshot));
                continue;
            }
            tokio::select! {
                biased;
                result = &mut call, if failure.is_none() => match result {
                    Ok(_) | Err(StoreError::VersionTooOld) => return CheckedRead::of_call(result),
                    Err(error) => {
                        health.record_failure(gateway, sent_at, &error);
                        failure = Some(error);
                    }
                },
                Some((client, result)) = checks.next() => match result {
                    Ok(_) | Err(StoreError::VersionTooOld) => break (client, result),
                    Err(error) => log::debug!("table {}: check failed: {error}", table_name(feed)),
                },
                () = actix_rt::time::sleep(wait) => {}
            }
            if checks.is_empty()
                && let Some(error) = failure.take()
            {
                return CheckedRead::of_call(Err(error));
            }
        }
    };
    let (client, result) = checked;
    *store = client;
    let now = gateway.now();
    let age = gateway.replicas.with(feed, |replica| replica.age(now));
    if pacing.was_unanswered(now) {
        gateway
            .replicas
            .record_failure(feed, now.saturating_sub(age.unwrap_or_default()));
    }
    let age_text = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
    LogEvent::StoreChecked.log(&[
        ("table", &table_name(feed)),
        ("checks", &pacing.checks()),
        ("age_ms", &age_text),
    ]);
    CheckedRead {
        result,
        is_check: true,
    }
}

/// Reads a table on a new connection without waiting for a change.
async fn check(
    gateway: &Gateway,
    feed: Feed,
    needs_snapshot: bool,
) -> (StoreClient, Result<(Rows, bool), StoreError>) {
    let mut client = StoreClient::new(gateway.settings.borrow().store);
    let result = read_store(gateway, &mut client, feed, Duration::ZERO, needs_snapshot).await;
    (client, result)
}
