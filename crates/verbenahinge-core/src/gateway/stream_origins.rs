//! Software versions at which streams began.
//!
//! Load pattern: servers of several versions serve side by side during a release, while servers and VMs
//! fail. A caller whose stream breaks comes back at once, mostly at another VM. See
//! `docs/design/stream-versions.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::SoftwareVersion;
use crate::Timestamp;

/// Identifies a stream over all tries of its caller: hash of the ID of the request that brought its first
/// event.
pub type StreamId = u64;

/// Most streams whose version is kept; those that expire first are dropped.
const MAX_STREAMS: usize = 1 << 16;

/// Version at which a stream began, as told to other VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// Identifies the stream.
    pub stream: StreamId,
    /// Version of the server that sent the first event.
    pub version: SoftwareVersion,
    /// Time until the stream has ended for certain.
    pub time_left: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    version: SoftwareVersion,
    expires_at: Timestamp,
    /// Whether this VM has passed events of the stream on.
    is_own: bool,
}

/// Versions at which streams began, as far as this VM knows.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    records: BTreeMap<StreamId, Record>,
    by_expiry: BTreeSet<(Timestamp, StreamId)>,
    /// Streams of this VM that other VMs have not been told of.
    untold: BTreeSet<StreamId>,
}

impl StreamOrigins {
    /// Creates an empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            untold: BTreeSet::new(),
        }
    }

    /// Records that this VM passes on a stream that began at a version.
    pub fn note_own(&mut self, now: Timestamp, origin: StreamOrigin) {
        self.insert(now, origin, true);
    }

    /// Adds what another VM knows.
    pub fn merge(&mut self, now: Timestamp, origins: &[StreamOrigin]) {
        for &origin in origins {
            if origin.time_left.is_zero() {
                continue;
            }
            let known = self.records.get(&origin.stream);
            if known.is_none_or(|known| known.expires_at < now + origin.time_left) {
                let is_own = known.is_some_and(|known| known.is_own);
                self.insert(now, origin, is_own);
            }
        }
    }

    fn insert(&mut self, now: Timestamp, origin: StreamOrigin, is_own: bool) {
        let record = Record {
            version: origin.version,
            expires_at: now + origin.time_left,
            is_own,
        };
        if let Some(old) = self.records.insert(origin.stream, record) {
            self.by_expiry.remove(&(old.expires_at, origin.stream));
        }
        self.by_expiry.insert((record.expires_at, origin.stream));
        while self.records.len() > MAX_STREAMS {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.records.remove(&stream);
            self.untold.remove(&stream);
        }
    }

    /// Version at which a stream began.
    #[must_use]
    pub fn version(&self, stream: StreamId) -> Option<SoftwareVersion> {
        self.records.get(&stream).map(|record| record.version)
    }

    /// Streams whose version is known.
    pub fn streams(&self) -> impl Iterator<Item = StreamId> {
        self.records.keys().copied()
    }

    /// Version at which a stream began, in the form for other VMs.
    #[must_use]
    pub fn origin(&self, now: Timestamp, stream: StreamId) -> Option<StreamOrigin> {
        let record = self.records.get(&stream)?;
        Some(StreamOrigin {
            stream,
            version: record.version,
            time_left: record.expires_at.saturating_sub(now),
        })
    }

    /// Marks a stream as one that other VMs have to be told of.
    pub fn mark_untold(&mut self, stream: StreamId) {
        self.untold.insert(stream);
    }

    /// Marks all streams of this VM as those that other VMs have to be told of.
    pub fn mark_own_untold(&mut self) {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        self.untold = own.map(|(&stream, _)| stream).collect();
    }

    /// Whether other VMs have to be told of streams.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Takes the streams that other VMs have to be told of.
    pub fn take_untold(&mut self, now: Timestamp) -> Vec<StreamOrigin> {
        let untold = std::mem::take(&mut self.untold);
        let origins = untold.into_iter();
        origins
            .filter_map(|stream| self.origin(now, stream))
            .collect()
    }

    /// Drops streams that have ended.
    pub fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.first().is_some_and(|&(at, _)| at <= now) {
            self.remove_first();
        }
    }
}
