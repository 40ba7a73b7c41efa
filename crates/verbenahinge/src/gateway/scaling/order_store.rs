//! Orders in the store, from which the next holder of the lease continues.

use std::collections::BTreeMap;

use verbenahinge_core::gateway::{OrderRecord, ServiceName};
use verbenahinge_platform::orders::{self, ORDERS_KEY, OrderRow};
use verbenahinge_platform::store::{DUTY_TABLE, StoreClient, StoreError};

use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// Orders by service.
type Records = BTreeMap<ServiceName, OrderRecord>;

/// Row of the store with the last orders, as this VM has read or written it.
pub(super) struct OrderStore {
    store: StoreClient,
    row_version: u64,
    saved: Option<Records>,
    /// Whether the last call failed, so that only the first of several failures is logged.
    has_failed: bool,
}

impl OrderStore {
    pub(super) const fn new(store: StoreClient) -> Self {
        Self {
            store,
            row_version: 0,
            saved: None,
            has_failed: false,
        }
    }

    /// Reads the orders of earlier holders; `None` if they cannot be read.
    pub(super) async fn load(&mut self, gateway: &Gateway) -> Option<Records> {
        gateway.update_store_address(&mut self.store);
        let read = self.store.read_row(DUTY_TABLE, ORDERS_KEY).await;
        let read = match read {
            Ok(read) => read,
            Err(error) => {
                self.note_failure(&error);
                return None;
            }
        };
        self.has_failed = false;
        self.row_version = read.row.as_ref().map_or(0, |row| row.version);
        let value = read.row.and_then(|row| row.value);
        let records = match value.map(|value| orders::decode(&value)) {
            Some(Ok(row)) => row.records,
            Some(Err(error)) => {
                LogEvent::OrdersUnsaved.log(&[("cause", &error)]);
                Records::new()
            }
            None => Records::new(),
        };
        self.saved = Some(records.clone());
        Some(records)
    }

    /// Keeps orders in the store; returns whether it has them.
    pub(super) async fn save(&mut self, gateway: &Gateway, number: u64, records: &Records) -> bool {
        if self.saved.as_ref() == Some(records) {
            return true;
        }
        gateway.update_store_address(&mut self.store);
        let written = self.write(number, records).await;
        match written {
            Ok(version) => {
                self.row_version = version;
                self.saved = Some(records.clone());
                self.has_failed = false;
                true
            }
            Err(error) => {
                // A write without a response may have been performed, which the next one has to know.
                self.saved = None;
                self.note_failure(&error);
                if let Ok(read) = self.store.read_row(DUTY_TABLE, ORDERS_KEY).await {
                    self.adopt_version(number, read.row.as_ref());
                }
                false
            }
        }
    }

    async fn write(&mut self, number: u64, records: &Records) -> Result<u64, StoreError> {
        let row = OrderRow {
            number,
            records: records.clone(),
        };
        let value = orders::encode(&row).map_err(|error| StoreError::Malformed {
            problem: error.to_string(),
        })?;
        let written = self
            .store
            .replace(DUTY_TABLE, ORDERS_KEY, self.row_version, &value)
            .await?;
        Ok(written.version)
    }

    /// Continues from a row that another write has changed, unless a later holder wrote it.
    fn adopt_version(&mut self, number: u64, row: Option<&verbenahinge_platform::store::Row>) {
        let Some(row) = row else {
            self.row_version = 0;
            return;
        };
        let value = row.value.as_deref().unwrap_or_default();
        let is_later = orders::decode(value).is_ok_and(|stored| stored.number > number);
        if !is_later {
            self.row_version = row.version;
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if !self.has_failed {
            LogEvent::OrdersUnsaved.log(&[("cause", error)]);
        }
        self.has_failed = true;
    }
}
