//! Rows of the store that hold where streams began, as one VM writes them for others.
//!
//! Load pattern: a service has servers of several software versions, and all VMs lose power at once. The
//! rows form a ring, so that their number is bounded. Each write replaces the oldest row on condition that
//! it is still as read, so that two VMs that write at the same time do not replace each other's rows. See
//! `docs/design/stream-versions.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{StreamId, StreamOrigin, StreamOrigins};
use crate::Timestamp;

/// Minimum time between two writes; streams that began in it are lost with all VMs.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(75);

/// Rows of one ring.
const RING_ROWS: u64 = 512;

/// Time that a ring covers, in lifetimes of streams.
const RING_COVERAGE: f64 = 1.25;

/// Most streams in one row, of 28 bytes each: a row of the store has at most 64 KiB.
const MAX_ROW_STREAMS: usize = 1500;

/// Row of the store with streams that began at about the same time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRow {
    /// Number of the write, from which the position in the ring follows.
    pub number: u64,
    /// Version of the row in the store; 0 if there is none yet.
    pub row_version: u64,
    /// Where the streams began.
    pub origins: Vec<StreamOrigin>,
}

impl StreamRow {
    /// Creates the row that stands for one that cannot be read, so that it can be replaced in its turn.
    #[must_use]
    pub const fn unreadable(slot: u64, row_version: u64) -> Self {
        Self {
            number: slot,
            row_version,
            origins: Vec::new(),
        }
    }

    /// Position of the row in its ring.
    #[must_use]
    pub const fn slot(&self) -> u64 {
        self.number % RING_ROWS
    }
}

/// Streams that a VM keeps in the store for others, and the rows of its ring.
#[derive(Clone, Debug, Default)]
pub struct StreamLedger {
    kept: StreamOrigins,
    pending: BTreeSet<StreamId>,
    /// Versions of the rows by their position in the ring.
    row_versions: BTreeMap<u64, u64>,
    /// Number of the next write; `None` while the ring has to be read.
    next_number: Option<u64>,
    last_write_at: Option<Timestamp>,
}

impl StreamLedger {
    /// Creates a ledger whose ring has not been read.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            kept: StreamOrigins::new(),
            pending: BTreeSet::new(),
            row_versions: BTreeMap::new(),
            next_number: None,
            last_write_at: None,
        }
    }

    /// Adds streams that have to be written.
    pub fn keep(&mut self, now: Timestamp, origins: &[StreamOrigin]) {
        for origin in origins {
            if self.kept.version(origin.stream) != Some(origin.version) {
                self.pending.insert(origin.stream);
            }
        }
        self.kept.merge(now, origins);
    }

    /// Whether streams have to be written.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the ring has to be read before the next write.
    #[must_use]
    pub const fn needs_read(&self) -> bool {
        self.next_number.is_none()
    }

    /// Requests that the ring is read again: a write has failed, or the store has lost rows.
    pub const fn request_read(&mut self) {
        self.next_number = None;
    }

    /// Adopts the rows of the ring; what this VM keeps and they lack is written again.
    pub fn adopt_rows(&mut self, now: Timestamp, rows: &[StreamRow]) {
        self.kept.expire(now);
        self.pending = self.kept.streams().collect();
        self.row_versions.clear();
        let mut next_number = 0;
        for row in rows {
            next_number = next_number.max(row.number + 1);
            self.row_versions.insert(row.slot(), row.row_version);
            for origin in &row.origins {
                self.pending.remove(&origin.stream);
            }
        }
        self.next_number = Some(next_number);
    }

    /// Time until the next write; `None` if there is nothing to write.
    ///
    /// The ring has to cover more than the `lifetime` of streams, so that no row is replaced while its
    /// streams may still be resumed.
    #[must_use]
    pub fn write_delay(&self, now: Timestamp, lifetime: Duration) -> Option<Duration> {
        if self.pending.is_empty() {
            return None;
        }
        let ring_rows = u32::try_from(RING_ROWS).unwrap_or(u32::MAX);
        let interval = MIN_WRITE_INTERVAL.max(lifetime.mul_f64(RING_COVERAGE) / ring_rows);
        let due = self.last_write_at.map(|at| at + interval);
        Some(due.map_or(Duration::ZERO, |due| due.saturating_sub(now)))
    }

    /// Takes the row to write next; `None` if there is nothing to write or the ring has to be read first.
    pub fn take_row(&mut self, now: Timestamp) -> Option<StreamRow> {
        let number = self.next_number?;
        self.kept.expire(now);
        let mut origins = Vec::new();
        while origins.len() < MAX_ROW_STREAMS
            && let Some(stream) = self.pending.pop_first()
        {
            origins.extend(self.kept.origin(now, stream));
        }
        if origins.is_empty() {
            return None;
        }
        self.last_write_at = Some(now);
        let mut row = StreamRow {
            number,
            row_version: 0,
            origins,
        };
        row.row_version = self.row_versions.get(&row.slot()).copied().unwrap_or(0);
        Some(row)
    }

    /// Records that a row was written; the store has given it a version.
    pub fn confirm(&mut self, row: &StreamRow, row_version: u64) {
        self.row_versions.insert(row.slot(), row_version);
        self.next_number = Some(row.number + 1);
    }
}
