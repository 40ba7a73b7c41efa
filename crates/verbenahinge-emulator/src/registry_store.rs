//! A stand-in for the prepared platform's store: rows, watches, and faults.
//!
//! `PUT /stand-in/faults` with a JSON [`StoreFaults`] makes it misbehave.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use verbenahinge_platform::store::{
    READ_PATH, RowJson, RowsJson, SINCE_PARAMETER, TransactionJson, WAIT_PARAMETER, WATCH_PATH,
    WRITE_PATH,
};

/// Path at which faults are set.
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// How the store misbehaves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Every call is refused.
    pub is_down: bool,
    /// No call is answered.
    pub is_silent: bool,
    /// Watches that ask for earlier versions are told that the history is gone.
    pub history_from: u64,
    /// Time that every answer takes.
    pub delay_ms: u64,
}

#[derive(Default)]
struct Store {
    rows: RefCell<BTreeMap<(String, String), RowJson>>,
    version: Cell<u64>,
    faults: RefCell<StoreFaults>,
    changed: Notify,
}

/// Serves until the future is dropped.
pub async fn run(listener: TcpListener) {
    let store = Rc::new(Store::default());
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("store: accept failed: {error}");
                continue;
            }
        };
        let store = Rc::clone(&store);
        actix_rt::spawn(async move {
            let service = service_fn(|request| {
                let store = Rc::clone(&store);
                async move { Ok::<_, Infallible>(store.answer(request).await) }
            });
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("store: connection ended: {error}");
            }
        });
    }
}

impl Store {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        if parts.uri.path() == FAULTS_PATH {
            return self.set_faults(&body);
        }
        let faults = self.faults.borrow().clone();
        if faults.is_silent {
            return std::future::pending().await;
        }
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.is_down {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = parse_query(parts.uri.query().unwrap_or(""));
        match parts.uri.path() {
            READ_PATH => json(&self.read(&query)),
            WATCH_PATH => self.watch(&query).await,
            WRITE_PATH => self.write(&body),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn set_faults(&self, body: &Bytes) -> Response<Full<Bytes>> {
        let Ok(faults) = serde_json::from_slice(body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        self.faults.replace(faults);
        self.changed.notify_waiters();
        plain(StatusCode::OK)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> RowsJson {
        let table = query.get("table").map_or("", String::as_str);
        let rows = self.rows.borrow();
        let mut found = Vec::new();
        for ((of, _), row) in rows.iter() {
            if of == table && !row.tombstone {
                found.push(row.clone());
            }
        }
        RowsJson {
            rows: found,
            has_more: false,
            ver: self.version.get(),
        }
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = number(SINCE_PARAMETER).unwrap_or(0);
        if since < self.faults.borrow().history_from {
            return plain(StatusCode::GONE);
        }
        let wait = Duration::from_millis(number(WAIT_PARAMETER).unwrap_or(0));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let mut rows = self.changes(&table, since);
            let is_over = tokio::time::Instant::now() >= end;
            if !rows.is_empty() || is_over {
                rows.sort_by_key(|row| row.ver);
                return json(&RowsJson {
                    rows,
                    has_more: false,
                    ver: self.version.get(),
                });
            }
            if self.faults.borrow().is_down {
                return plain(StatusCode::SERVICE_UNAVAILABLE);
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    fn changes(&self, table: &str, since: u64) -> Vec<RowJson> {
        let rows = self.rows.borrow();
        let mut changed = Vec::new();
        for ((of, _), row) in rows.iter() {
            if of == table && row.ver > since {
                changed.push(row.clone());
            }
        }
        changed
    }

    fn write(&self, body: &Bytes) -> Response<Full<Bytes>> {
        let Ok(transaction) = serde_json::from_slice::<TransactionJson>(body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let mut rows = self.rows.borrow_mut();
        for condition in &transaction.conditions {
            let key = (condition.table.clone(), condition.key.clone());
            let live = rows.get(&key).filter(|row| !row.tombstone);
            if live.map_or(0, |row| row.ver) != condition.ver {
                return plain(StatusCode::PRECONDITION_FAILED);
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
        drop(rows);
        self.changed.notify_waiters();
        json(&RowsJson {
            ver: version,
            ..RowsJson::default()
        })
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            parameters.insert(name.to_owned(), value.to_owned());
        }
    }
    parameters
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
