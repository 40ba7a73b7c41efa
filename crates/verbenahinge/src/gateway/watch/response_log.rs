//! Log lines for responses of the store that don't continue the versions of a replica.

use verbenahinge_core::gateway::{Feed, StoreVersion};
use verbenahinge_platform::store::Rows;

use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// What the watch of one table has logged, so that a repeated response is logged once.
pub(super) struct ResponseLog {
    table: &'static str,
    era: Option<u64>,
    is_ignored_logged: bool,
    is_unknown_logged: bool,
}

impl ResponseLog {
    pub(super) const fn new(table: &'static str) -> Self {
        Self {
            table,
            era: None,
            is_ignored_logged: false,
            is_unknown_logged: false,
        }
    }

    /// Logs a change of the store's era, and rows that are older than the replica; returns whether
    /// they are older.
    pub(super) fn record_rows(&mut self, gateway: &Gateway, feed: Feed, rows: &Rows) -> bool {
        let version = StoreVersion::new(rows.era, rows.version);
        let (applied, is_older) = gateway.replicas.with(feed, |replica| {
            (replica.applied_until(), replica.is_newer_than(version))
        });
        let applied_text = applied.map_or_else(|| "-".to_owned(), |version| version.to_string());
        let old_era = self.era.replace(rows.era);
        if let Some(old_era) = old_era.filter(|&old_era| old_era != rows.era) {
            LogEvent::StoreEraChanged.log(&[
                ("table", &self.table),
                ("old_era", &old_era),
                ("era", &rows.era),
                ("version", &rows.version),
                ("replica_version", &applied_text),
            ]);
        }
        if is_older && !self.is_ignored_logged {
            LogEvent::StoreResponseIgnored.log(&[
                ("table", &self.table),
                ("era", &rows.era),
                ("version", &rows.version),
                ("replica_version", &applied_text),
            ]);
        }
        self.is_ignored_logged = is_older;
        self.is_unknown_logged &= is_older;
        is_older
    }

    /// Logs that the store does not have the version of the replica.
    pub(super) fn record_unknown_version(&mut self, gateway: &Gateway, feed: Feed) {
        if self.is_unknown_logged {
            return;
        }
        self.is_unknown_logged = true;
        let applied = gateway
            .replicas
            .with(feed, |replica| replica.applied_until());
        let applied_text = applied.map_or_else(|| "-".to_owned(), |version| version.to_string());
        LogEvent::StoreVersionUnknown
            .log(&[("table", &self.table), ("replica_version", &applied_text)]);
    }
}
