//! Client of the platform's table service and VM list.
//!
//! `docs/design/outside.md` specifies the protocol. A reply that does not arrive in time counts as
//! lost; its transaction may have been committed.

use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{Request, header};
use serde::{Deserialize, Serialize};
use verbenahinge_core::table::{Row, TableOp, TableReply};
use verbenahinge_http::HttpClient;

use crate::event_log::LogEvent;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

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
    client: HttpClient,
    address: SocketAddr,
    available: Cell<bool>,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(CONNECT_TIMEOUT),
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
        let body = serde_json::to_vec(&transaction).map_err(|error| {
            log::warn!("a transaction cannot be encoded: {error}");
            Unavailable
        })?;
        let request = Request::post(url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body));
        let reply: TransactionReply = self.exchange(request, "POST /table/transactions").await?;
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
        let request = Request::get(url).body(Full::default());
        self.exchange(request, &format!("GET {path}")).await
    }

    /// Sends a request and decodes the whole reply; a failure is logged with the given name of the request.
    async fn exchange<T: for<'a> Deserialize<'a>>(
        &self,
        request: hyper::http::Result<Request<Full<Bytes>>>,
        name: &str,
    ) -> Result<T, Unavailable> {
        let log_failure = |error: &dyn Display| {
            log::debug!("platform request {name} failed: {error}");
            Unavailable
        };
        let request = request.map_err(|error| log_failure(&error))?;
        let fetched = self
            .client
            .fetch(request, MAX_BODY_BYTES, REPLY_TIMEOUT)
            .await;
        let response = fetched.map_err(|error| log_failure(&error))?;
        serde_json::from_slice(response.body()).map_err(|error| log_failure(&error))
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
