//! Wire format of table versions and of the changes of a table.

use verbenahinge_core::gateway::{Feed, FeedDelta, RowChange, RowState, StoreVersion};

/// Version of one replica, with an optional delta.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct FeedMessage {
    /// Number of the table; see [`feed_number`].
    #[prost(uint32, tag = "1")]
    pub(in crate::gateway) feed: u32,
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) version: u64,
    /// Era of the store that the version belongs to.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) era: u64,
    /// Time since the replica was last known to be up to date.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
    /// Latest changes, if they are small.
    #[prost(message, optional, tag = "4")]
    pub(in crate::gateway) delta: Option<DeltaMessage>,
}

/// Row changes between two versions of a table.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct DeltaMessage {
    #[prost(uint64, optional, tag = "1")]
    pub(in crate::gateway) base: Option<u64>,
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) version: u64,
    #[prost(message, repeated, tag = "3")]
    pub(in crate::gateway) rows: Vec<RowMessage>,
    /// Era of the store that `base` belongs to.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) base_era: u64,
    /// Era of the store that `version` belongs to.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) era: u64,
}

/// Change of one row.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct RowMessage {
    #[prost(string, tag = "1")]
    pub(in crate::gateway) key: String,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(in crate::gateway) value: Option<Vec<u8>>,
    /// Whether a row without a value is lapsed, so that it may come back, rather than removed.
    #[prost(bool, tag = "3")]
    pub(in crate::gateway) is_lapsed: bool,
}

impl DeltaMessage {
    /// Converts a delta to its wire format.
    pub(in crate::gateway) fn from_delta(delta: FeedDelta) -> Self {
        let mut rows = Vec::new();
        for row in delta.rows {
            let (value, is_lapsed) = match row.state {
                RowState::Present(value) => (Some(value.to_vec()), false),
                RowState::Removed => (None, false),
                RowState::Lapsed => (None, true),
            };
            rows.push(RowMessage {
                key: row.key,
                value,
                is_lapsed,
            });
        }
        Self {
            base: delta.base.map(|base| base.number),
            version: delta.version.number,
            rows,
            base_era: delta.base.map_or(0, |base| base.era),
            era: delta.version.era,
        }
    }

    /// Converts the wire format back to a delta.
    pub(in crate::gateway) fn into_delta(self) -> FeedDelta {
        let mut rows = Vec::new();
        for row in self.rows {
            let state = match (row.value, row.is_lapsed) {
                (Some(value), _) => RowState::Present(value.into()),
                (None, true) => RowState::Lapsed,
                (None, false) => RowState::Removed,
            };
            rows.push(RowChange {
                key: row.key,
                state,
            });
        }
        let base_era = self.base_era;
        FeedDelta {
            base: self.base.map(|number| StoreVersion::new(base_era, number)),
            version: StoreVersion::new(self.era, self.version),
            rows,
        }
    }
}

/// Number of a table on the wire.
pub(in crate::gateway) const fn feed_number(feed: Feed) -> u32 {
    match feed {
        Feed::Config => 1,
        Feed::Servers => 2,
    }
}

/// Table with a number on the wire; `None` if this software version does not know it.
pub(in crate::gateway) const fn feed_from_number(number: u32) -> Option<Feed> {
    match number {
        1 => Some(Feed::Config),
        2 => Some(Feed::Servers),
        _ => None,
    }
}
