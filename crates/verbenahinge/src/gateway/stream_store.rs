//! Keeps where streams began in the store while a service has several software versions, since all VMs may
//! lose power in the midst of a release.
//!
//! One VM writes the rows of a ring for all VMs that tell it of streams. A VM reads the table when a caller
//! comes back for a stream of which no VM in reach knows. See `docs/design/stream-versions.md`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{StreamLedger, StreamOrigin, StreamRow};
use verbenahinge_platform::store::{STREAM_TABLE, StoreClient, StoreError};
use verbenahinge_platform::streams;

use super::Gateway;
use crate::event_log::LogEvent;

/// Rings of rows, each of which is written by one VM.
const RINGS: usize = 4;

/// Another VM has written the row in the meantime.
const PRECONDITION_FAILED: StoreError = StoreError::UnexpectedStatus { status: 412 };

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Minimum time between two reads for callers that come back.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait of a caller that comes back for the table to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Streams that this VM writes for others, by ring, and when it last read the table.
#[derive(Default)]
pub(crate) struct StreamStore {
    ledgers: RefCell<[StreamLedger; RINGS]>,
    changed: Notify,
    /// Era of the store in which this VM has last written or read a row.
    era: Cell<Option<u64>>,
    /// Time of the last read for a caller; held during a read, so that others wait for it.
    read_at: Mutex<Option<Timestamp>>,
}

impl StreamStore {
    fn request_read(&self, ring: usize) {
        self.ledgers.borrow_mut()[ring].request_read();
    }
}

/// Ring that keeps a stream: a small fleet uses one only, so that it makes few calls.
pub(super) fn ring_of(stream: u64, is_large_fleet: bool) -> usize {
    let ring = if is_large_fleet {
        stream % RINGS as u64
    } else {
        0
    };
    usize::try_from(ring).unwrap_or_default()
}

/// Adds streams that this VM has to write to a ring.
pub(super) fn keep(gateway: &Gateway, ring: usize, origins: &[StreamOrigin]) {
    let now = gateway.now();
    if let Some(ledger) = gateway.stream_store.ledgers.borrow_mut().get_mut(ring) {
        ledger.keep(now, origins);
    }
    gateway.stream_store.changed.notify_one();
}

/// Writes the streams of all rings that this VM keeps, for as long as the process runs.
pub(super) async fn write_streams(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    loop {
        let Some((ring, delay)) = next_ring(&gateway) else {
            gateway.stream_store.changed.notified().await;
            continue;
        };
        actix_rt::time::sleep(delay).await;
        gateway.update_store_address(&mut store);
        if let Err(error) = write_ring(&gateway, &mut store, ring).await {
            log::debug!("failed to write streams to the store: {error}");
            gateway.stream_store.request_read(ring);
            if error != PRECONDITION_FAILED {
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Ring that is written next, and the time until then.
fn next_ring(gateway: &Gateway) -> Option<(usize, Duration)> {
    let now = gateway.now();
    let lifetime = gateway.state.borrow().stream_lifetime();
    let ledgers = gateway.stream_store.ledgers.borrow();
    let mut next: Option<(usize, Duration)> = None;
    for (ring, ledger) in ledgers.iter().enumerate() {
        let Some(delay) = ledger.write_delay(now, lifetime) else {
            continue;
        };
        if next.is_none_or(|(_, shortest)| delay < shortest) {
            next = Some((ring, delay));
        }
    }
    next
}

async fn write_ring(
    gateway: &Gateway,
    store: &mut StoreClient,
    ring: usize,
) -> Result<(), StoreError> {
    let stream_store = &gateway.stream_store;
    if stream_store.ledgers.borrow()[ring].needs_read() {
        read_rows(gateway, store).await?;
    }
    let now = gateway.now();
    let taken = stream_store.ledgers.borrow_mut()[ring].take_row(now);
    let Some(row) = taken else {
        return Ok(());
    };
    let value = streams::encode(now, &row).map_err(|error| StoreError::Malformed {
        problem: error.to_string(),
    })?;
    let key = streams::key(ring, &row);
    let written = store
        .replace(STREAM_TABLE, &key, row.row_version, &value)
        .await?;
    let mut ledgers = stream_store.ledgers.borrow_mut();
    ledgers[ring].confirm(&row, written.version);
    if stream_store.era.replace(Some(written.era)) != Some(written.era) {
        // The store has returned from an older copy, which lacks the latest rows.
        ledgers[ring].request_read();
    }
    Ok(())
}

/// Reads the table: what it tells of streams, and the rows of the rings.
async fn read_rows(gateway: &Gateway, store: &mut StoreClient) -> Result<(), StoreError> {
    let table = store.read_table(STREAM_TABLE).await?;
    let now = gateway.now();
    let mut rings: [Vec<StreamRow>; RINGS] = Default::default();
    let mut known = 0;
    for row in table.rows {
        let Some(value) = row.value else {
            continue;
        };
        let position = streams::position(&row.key);
        let ring = position.and_then(|(ring, slot)| Some((rings.get_mut(ring)?, slot)));
        let Some((rows, slot)) = ring else {
            log::warn!(
                "row {:?} of table {STREAM_TABLE} belongs to no ring",
                row.key
            );
            continue;
        };
        let decoded = streams::decode(now, &row.key, row.version, &value);
        let stream_row = decoded.unwrap_or_else(|error| {
            log::warn!("replacing a row of table {STREAM_TABLE} in its turn: {error}");
            StreamRow::unreadable(slot, row.version)
        });
        known += stream_row.origins.len();
        let mut state = gateway.state.borrow_mut();
        state.merge_stream_origins(now, &stream_row.origins);
        rows.push(stream_row);
    }
    gateway.stream_store.era.set(Some(table.era));
    let mut ledgers = gateway.stream_store.ledgers.borrow_mut();
    for (ledger, rows) in ledgers.iter_mut().zip(&rings) {
        ledger.adopt_rows(now, rows);
    }
    LogEvent::StreamsRead.log(&[("streams", &known), ("era", &table.era)]);
    Ok(())
}

/// Reads the table for a caller that comes back, unless that was done just now.
pub(super) async fn refresh(gateway: &Gateway) {
    let read = verbenahinge_http::timeout(READ_TIMEOUT, async {
        let mut read_at = gateway.stream_store.read_at.lock().await;
        let is_recent = read_at.is_some_and(|at| at + MIN_READ_INTERVAL > gateway.now());
        if is_recent {
            return Ok(());
        }
        let mut store = StoreClient::new(gateway.settings.borrow().store);
        read_rows(gateway, &mut store).await?;
        *read_at = Some(gateway.now());
        Ok::<(), StoreError>(())
    });
    match read.await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("failed to read streams from the store: {error}"),
        Err(_) => log::debug!("the store did not tell streams within {READ_TIMEOUT:?}"),
    }
}
