//! Client of the platform's table service and VM list.
//!
//! `docs/design/outside.md` specifies the protocol. A reply that does not arrive in time counts as
//! lost; its transaction may have been committed.

use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use verbenahinge_core::table::{Row, TableOp, TableReply};

use crate::event_log::LogEvent;

/// Time after which a reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a lost reply, so that retries do not overload a recovering table service.
const LOST_REPLY_DELAY: Duration = Duration::from_millis(200);

const MAX_BODY_BYTES: usize = 64 << 20;

/// JSON form of a [`Row`].
#[derive(Debug, Deserialize, Serialize)]
struct RowJson {
    key: String,
    value: Option<String>,
}

/// Writes that are committed only if every checked row has the given value.
#[derive(Debug, Serialize)]
struct Transaction {
    checks: Vec<RowJson>,
    writes: Vec<RowJson>,
}

#[derive(Debug, Deserialize)]
struct TransactionReply {
    committed: bool,
    /// Checked rows that have other values than expected.
    conflicts: Vec<RowJson>,
}

/// State of a listed VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListedState {
    Live,
    Leaving,
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListedVm {
    pub(crate) address: SocketAddr,
    pub(crate) state: ListedState,
    /// Whether the VM runs a backend server.
    #[serde(default)]
    pub(crate) backend: bool,
}

/// The platform sent no usable reply.
#[derive(Debug, Display, Error)]
#[display("no usable reply from the platform")]
struct Unavailable;

/// Client of the platform that logs when the platform becomes unavailable or available again.
pub(crate) struct PlatformClient {
    client: Client,
    address: SocketAddr,
    available: Cell<bool>,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().timeout(REPLY_TIMEOUT).finish(),
            address,
            available: Cell::new(true),
        }
    }

    /// Executes an operation of the table service.
    pub(crate) async fn execute(&self, operation: TableOp) -> TableReply {
        let reply = match operation {
            TableOp::Commit { checks, writes } => self.commit(checks, writes).await,
            TableOp::Read(key) => self.read(&key).await,
        };
        self.set_available(reply.is_ok());
        if let Ok(reply) = reply {
            return reply;
        }
        actix_rt::time::sleep(LOST_REPLY_DELAY).await;
        TableReply::Lost
    }

    async fn commit(&self, checks: Vec<Row>, writes: Vec<Row>) -> Result<TableReply, Unavailable> {
        let transaction = Transaction {
            checks: checks.into_iter().map(row_to_json).collect(),
            writes: writes.into_iter().map(row_to_json).collect(),
        };
        let url = format!("http://{}/table/transactions", self.address);
        let sent = self.client.post(url).send_json(&transaction).await;
        let mut response = sent.map_err(|_| Unavailable)?;
        let body = response.json::<TransactionReply>().limit(MAX_BODY_BYTES);
        let reply = body.await.map_err(|_| Unavailable)?;
        if reply.committed {
            return Ok(TableReply::Committed);
        }
        let rows = reply.conflicts.into_iter().map(row_from_json).collect();
        Ok(TableReply::Conflict(rows))
    }

    async fn read(&self, key: &str) -> Result<TableReply, Unavailable> {
        let row: RowJson = self.get(&format!("/table/rows/{key}")).await?;
        Ok(TableReply::Row(row_from_json(row)))
    }

    /// Reads all rows whose keys start with a prefix.
    pub(crate) async fn scan(&self, prefix: &str) -> Option<Vec<Row>> {
        let rows: Vec<RowJson> = self.get(&format!("/table/scan/{prefix}")).await.ok()?;
        Some(rows.into_iter().map(row_from_json).collect())
    }

    /// Reads the VM list.
    pub(crate) async fn list_vms(&self) -> Option<Vec<ListedVm>> {
        let list = self.get("/vms").await;
        self.set_available(list.is_ok());
        list.ok()
    }

    async fn get<T: for<'a> Deserialize<'a>>(&self, path: &str) -> Result<T, Unavailable> {
        let url = format!("http://{}{path}", self.address);
        let log_failure = |error: &dyn Display| {
            log::debug!("platform request GET {path} failed: {error}");
            Unavailable
        };
        let mut response = match self.client.get(&url).send().await {
            Ok(response) => response,
            Err(error) => return Err(log_failure(&error)),
        };
        let body = response.json::<T>().limit(MAX_BODY_BYTES);
        body.await.map_err(|error| log_failure(&error))
    }

    fn set_available(&self, available: bool) {
        if self.available.replace(available) == available {
            return;
        }
        let event = if available {
            LogEvent::PlatformAvailable
        } else {
            LogEvent::PlatformUnavailable
        };
        event.log(&[("address", &self.address)]);
    }
}

fn row_to_json(row: Row) -> RowJson {
    RowJson {
        key: row.key.to_string(),
        value: row.value.map(|value| value.to_string()),
    }
}

fn row_from_json(row: RowJson) -> Row {
    Row::new(row.key, row.value.map(Into::into))
}
