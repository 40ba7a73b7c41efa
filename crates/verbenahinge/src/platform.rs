//! Client of the platform: table service and list of VMs.
//!
//! The protocol stands in `docs/design/outside.md`. An answer that does not come in time counts
//! as lost: the transaction may have taken effect.

use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use verbenahinge_core::table::{Row, TableOp, TableReply};

use crate::event_log::LogEvent;

/// Time after which an answer counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause after a lost answer, so that repetitions do not press on a store that recovers.
const LOST_PAUSE: Duration = Duration::from_millis(200);

const BODY_LIMIT_BYTES: usize = 64 << 20;

#[derive(Debug, Deserialize, Serialize)]
struct RowPair {
    key: String,
    value: Option<String>,
}

#[derive(Debug, Serialize)]
struct Transaction {
    checks: Vec<RowPair>,
    writes: Vec<RowPair>,
}

#[derive(Debug, Deserialize)]
struct TransactionReply {
    committed: bool,
    conflicts: Vec<RowPair>,
}

/// State of a listed VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListedState {
    Live,
    Leaving,
}

/// A VM of the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListedVm {
    pub(crate) address: SocketAddr,
    pub(crate) state: ListedState,
    #[serde(default)]
    pub(crate) backend: bool,
}

/// No usable answer came from the platform.
#[derive(Debug, Display, Error)]
#[display("the platform does not answer")]
struct Unavailable;

/// Client of the platform.
pub(crate) struct Platform {
    client: Client,
    address: SocketAddr,
    available: Cell<bool>,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder().timeout(REPLY_TIMEOUT).finish(),
            address,
            available: Cell::new(true),
        }
    }

    /// Carries out one operation of the table service.
    pub(crate) async fn table(&self, operation: TableOp) -> TableReply {
        let reply = match operation {
            TableOp::Commit { checks, writes } => self.commit(checks, writes).await,
            TableOp::Read(key) => self.read(&key).await,
        };
        self.note(reply.is_ok());
        if let Ok(reply) = reply {
            return reply;
        }
        actix_rt::time::sleep(LOST_PAUSE).await;
        TableReply::Lost
    }

    async fn commit(&self, checks: Vec<Row>, writes: Vec<Row>) -> Result<TableReply, Unavailable> {
        let transaction = Transaction {
            checks: checks.into_iter().map(to_pair).collect(),
            writes: writes.into_iter().map(to_pair).collect(),
        };
        let url = format!("http://{}/table/transactions", self.address);
        let sent = self.client.post(url).send_json(&transaction).await;
        let mut response = sent.map_err(|_| Unavailable)?;
        let body = response.json::<TransactionReply>().limit(BODY_LIMIT_BYTES);
        let reply = body.await.map_err(|_| Unavailable)?;
        if reply.committed {
            return Ok(TableReply::Committed);
        }
        let rows = reply.conflicts.into_iter().map(from_pair).collect();
        Ok(TableReply::Conflict(rows))
    }

    async fn read(&self, key: &str) -> Result<TableReply, Unavailable> {
        let row: RowPair = self.get(&format!("/table/rows/{key}")).await?;
        Ok(TableReply::Row(from_pair(row)))
    }

    /// Reads the rows whose keys begin with a prefix.
    pub(crate) async fn scan(&self, prefix: &str) -> Option<Vec<Row>> {
        let pairs: Vec<RowPair> = self.get(&format!("/table/scan/{prefix}")).await.ok()?;
        Some(pairs.into_iter().map(from_pair).collect())
    }

    /// Reads the list of VMs.
    pub(crate) async fn vms(&self) -> Option<Vec<ListedVm>> {
        let list = self.get("/vms").await;
        self.note(list.is_ok());
        list.ok()
    }

    async fn get<T: for<'a> Deserialize<'a>>(&self, path: &str) -> Result<T, Unavailable> {
        let url = format!("http://{}{path}", self.address);
        let failed = |error: &dyn Display| {
            log::debug!("no answer to {path} from the platform: {error}");
            Unavailable
        };
        let mut response = match self.client.get(&url).send().await {
            Ok(response) => response,
            Err(error) => return Err(failed(&error)),
        };
        let body = response.json::<T>().limit(BODY_LIMIT_BYTES);
        body.await.map_err(|error| failed(&error))
    }

    fn note(&self, available: bool) {
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

fn to_pair(row: Row) -> RowPair {
    RowPair {
        key: row.key.to_string(),
        value: row.value.map(|value| value.to_string()),
    }
}

fn from_pair(pair: RowPair) -> Row {
    Row::new(pair.key, pair.value.map(Into::into))
}
