//! Emulator of the platform's registry store: rows, transactions, watches and fault injection.
//!
//! `PUT /stand-in/faults` sets the [`StoreFaults`] from a JSON body; `GET /stand-in/watches` returns
//! the number of pending watches by table. `PUT /stand-in/rollback` restores the rows of the version
//! in the JSON body and begins the next era; `GET /stand-in/statuses` returns the number of responses
//! by status.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use verbenahinge_platform::store::{
    ERA_HEADER, READ_PATH, RowJson, RowsJson, SINCE_PARAMETER, TransactionJson, WAIT_PARAMETER,
    WATCH_PATH, WRITE_PATH,
};

/// Path for setting the [`StoreFaults`].
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// Path for reading the number of pending watches by table.
pub const WATCHES_PATH: &str = "/stand-in/watches";

/// Path for restoring the rows of an earlier version.
pub const ROLLBACK_PATH: &str = "/stand-in/rollback";

/// Path for reading the number of responses by status.
pub const STATUSES_PATH: &str = "/stand-in/statuses";

/// Path for reading the newest version.
pub const VERSION_PATH: &str = "/stand-in/version";

/// Number of versions that can be restored.
const MAX_COPIES: usize = 256;

/// Rows by table and key.
type TableRows = BTreeMap<(String, String), RowJson>;

/// Faults of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Every request fails with status 503.
    pub is_down: bool,
    /// Requests receive no response.
    pub is_silent: bool,
    /// Oldest version from which a watch can start; watches from earlier ones fail with status 410.
    pub history_from: u64,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
}

impl StoreFaults {
    /// An outage in which every request fails with status 503.
    #[must_use]
    pub fn outage() -> Self {
        Self {
            is_down: true,
            ..Self::default()
        }
    }
}

#[derive(Default)]
struct Store {
    rows: RefCell<TableRows>,
    version: Cell<u64>,
    era: Cell<u64>,
    copies: RefCell<BTreeMap<u64, TableRows>>,
    statuses: RefCell<BTreeMap<u16, usize>>,
    faults: RefCell<StoreFaults>,
    changed: Notify,
    pending_watches: RefCell<BTreeMap<String, usize>>,
}

/// Counts a watch as pending until dropped, also when its connection is closed.
struct PendingWatch<'a> {
    store: &'a Store,
    table: &'a str,
}

impl<'a> PendingWatch<'a> {
    fn new(store: &'a Store, table: &'a str) -> Self {
        let mut pending = store.pending_watches.borrow_mut();
        *pending.entry(table.to_owned()).or_default() += 1;
        Self { store, table }
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        let mut pending = self.store.pending_watches.borrow_mut();
        if let Some(count) = pending.get_mut(self.table) {
            *count -= 1;
        }
    }
}

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener) {
    let store = Rc::new(Store::default());
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("registry store: failed to accept a connection: {error}");
                continue;
            }
        };
        let store = Rc::clone(&store);
        actix_rt::spawn(async move {
            let service = service_fn(|request| {
                let store = Rc::clone(&store);
                async move { Ok::<_, Infallible>(store.respond(request).await) }
            });
            let result = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                log::debug!("registry store: connection closed with an error: {error}");
            }
        });
    }
}

impl Store {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.handle(request).await;
        let era = HeaderValue::from(self.era.get());
        response.headers_mut().insert(ERA_HEADER, era);
        let status = response.status().as_u16();
        *self.statuses.borrow_mut().entry(status).or_default() += 1;
        response
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        if parts.uri.path() == FAULTS_PATH {
            return self.set_faults(&body);
        }
        match parts.uri.path() {
            WATCHES_PATH => return json_response(&*self.pending_watches.borrow()),
            STATUSES_PATH => return json_response(&*self.statuses.borrow()),
            VERSION_PATH => return json_response(&self.version.get()),
            ROLLBACK_PATH => return self.roll_back(&body),
            _ => {}
        }
        let faults = self.faults.borrow().clone();
        if faults.is_silent {
            return std::future::pending().await;
        }
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.is_down {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = parse_query(parts.uri.query().unwrap_or(""));
        match parts.uri.path() {
            READ_PATH => json_response(&self.read(&query)),
            WATCH_PATH => self.watch(&query).await,
            WRITE_PATH => self.write(&body),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn set_faults(&self, body: &Bytes) -> Response<Full<Bytes>> {
        let Ok(faults) = serde_json::from_slice(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        self.faults.replace(faults);
        self.changed.notify_waiters();
        empty_response(StatusCode::OK)
    }

    /// Restores the rows of an earlier version; later versions are given out again.
    fn roll_back(&self, body: &Bytes) -> Response<Full<Bytes>> {
        let Ok(version) = serde_json::from_slice::<u64>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let copy = self.copies.borrow().get(&version).cloned();
        let Some(rows) = copy.or_else(|| (version == 0).then(TableRows::new)) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        self.copies.borrow_mut().split_off(&(version + 1));
        self.rows.replace(rows);
        self.version.set(version);
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
        empty_response(StatusCode::OK)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> RowsJson {
        let table = query.get("table").map_or("", String::as_str);
        let from = query.get("from").map_or("", String::as_str);
        let limit = query.get("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(usize::MAX);
        let rows = self.rows.borrow();
        let mut found = Vec::new();
        let mut has_more = false;
        for ((row_table, key), row) in rows.iter() {
            if row_table != table || row.tombstone || key.as_str() < from {
                continue;
            }
            if found.len() == limit {
                has_more = true;
                break;
            }
            found.push(row.clone());
        }
        RowsJson {
            rows: found,
            has_more,
            ver: self.version.get(),
        }
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let parse_number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = parse_number(SINCE_PARAMETER).unwrap_or(0);
        let era = self.era.get();
        if since < self.faults.borrow().history_from || since > self.version.get() {
            return empty_response(StatusCode::GONE);
        }
        let wait = Duration::from_millis(parse_number(WAIT_PARAMETER).unwrap_or(0));
        let table = query.get("table").cloned().unwrap_or_default();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.era.get() != era {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            let mut rows = self.rows_changed_since(&table, since);
            let is_expired = tokio::time::Instant::now() >= deadline;
            if !rows.is_empty() || is_expired {
                rows.sort_by_key(|row| row.ver);
                return json_response(&RowsJson {
                    rows,
                    has_more: false,
                    ver: self.version.get(),
                });
            }
            if self.faults.borrow().is_down {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            let _pending = PendingWatch::new(self, &table);
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    fn rows_changed_since(&self, table: &str, since: u64) -> Vec<RowJson> {
        let rows = self.rows.borrow();
        let mut changed = Vec::new();
        for ((row_table, _), row) in rows.iter() {
            if row_table == table && row.ver > since {
                changed.push(row.clone());
            }
        }
        changed
    }

    fn write(&self, body: &Bytes) -> Response<Full<Bytes>> {
        let Ok(transaction) = serde_json::from_slice::<TransactionJson>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let mut rows = self.rows.borrow_mut();
        for condition in &transaction.conditions {
            let key = (condition.table.clone(), condition.key.clone());
            let live = rows.get(&key).filter(|row| !row.tombstone);
            if live.map_or(0, |row| row.ver) != condition.ver {
                return empty_response(StatusCode::PRECONDITION_FAILED);
            }
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        let put = transaction.put.into_iter().map(|row| (row, false));
        let removed = transaction.remove.into_iter().map(|row| (row, true));
        for (mut row, tombstone) in put.chain(removed) {
            row.ver = version;
            row.tombstone = tombstone;
            rows.insert((row.table.clone(), row.key.clone()), row);
        }
        let mut copies = self.copies.borrow_mut();
        copies.insert(version, rows.clone());
        while copies.len() > MAX_COPIES {
            copies.pop_first();
        }
        drop(rows);
        self.changed.notify_waiters();
        json_response(&RowsJson {
            ver: version,
            ..RowsJson::default()
        })
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            parameters.insert(name.to_owned(), percent_decode(value));
        }
    }
    parameters
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, others)) = rest.split_first() {
        let digits = others.get(..2).filter(|_| first == b'%');
        let digits = digits.and_then(|digits| str::from_utf8(digits).ok());
        let decoded = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(first));
        rest = if decoded.is_some() {
            &others[2..]
        } else {
            others
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
