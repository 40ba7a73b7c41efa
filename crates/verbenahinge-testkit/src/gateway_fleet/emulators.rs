//! The emulated store and backend servers of a gateway fleet, and their faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use verbenahinge_core::gateway::ServerEntry;
use verbenahinge_emulator::registry_store::{self, StoreFaults};
use verbenahinge_emulator::scripted_server::{
    self, Arrival, ExecutedRequest, MoveRecord, ServerFault, ServerFaults,
};
use verbenahinge_platform::registry;
use verbenahinge_platform::store::{
    CONFIG_KEY, OPERATOR_TABLE, READ_PATH, RowJson, RowsJson, SERVER_TABLE, TransactionJson,
    WRITE_PATH,
};

use super::{GatewayFleet, POLL_INTERVAL, SETTLE_TIMEOUT};
use crate::process::{Process, free_address};

/// Number of slots in the registry entry of each server.
const SLOTS: u32 = 8;

pub(super) struct RegisteredServer {
    pub(super) process: Process,
    pub(super) entry: ServerEntry,
}

impl GatewayFleet {
    /// Starts a backend server and registers it.
    pub async fn add_server(&mut self, id: &str, service: &str) {
        self.add_server_with(id, service, &[]).await;
    }

    /// Starts a backend server with further command-line arguments and registers it.
    pub async fn add_server_with(&mut self, id: &str, service: &str, more_args: &[&str]) {
        let address = free_address();
        let mut args: Vec<String> = vec!["emulate".to_owned(), "server".to_owned()];
        for (flag, value) in [("--listen", address.to_string()), ("--id", id.to_owned())] {
            args.push(flag.to_owned());
            args.push(value);
        }
        args.extend(self.server_args.iter().cloned());
        args.extend(more_args.iter().map(|&arg| arg.to_owned()));
        let process = Process::start(&self.bin, &args, address);
        let entry = ServerEntry::new(id, service, address)
            .availability_zone("a")
            .slots(SLOTS);
        let entry = ServerEntry {
            started_unix_ms: Some(1),
            ..entry
        };
        self.register(&entry).await;
        self.servers.push(RegisteredServer { process, entry });
    }

    /// Writes the registry entry of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if the store rejects the write.
    pub async fn register(&self, entry: &ServerEntry) {
        let value = registry::encode(entry).expect("failed to encode the entry");
        self.write_row(SERVER_TABLE, &entry.id, Some(&value)).await;
    }

    /// Removes the registry entry of a backend server. Its process keeps running.
    pub async fn unregister(&self, server: usize) {
        let id = self.servers[server].entry.id.clone();
        self.write_row(SERVER_TABLE, &id, None).await;
    }

    /// Registry entry of a backend server, as it was first written.
    #[must_use]
    pub fn server_entry(&self, server: usize) -> ServerEntry {
        self.servers[server].entry.clone()
    }

    /// Writes a configuration to the store.
    pub async fn write_config(&self, config: &str) {
        self.write_row(OPERATOR_TABLE, CONFIG_KEY, Some(config.as_bytes()))
            .await;
    }

    /// Writes a row, or removes it if there is no value.
    ///
    /// # Panics
    ///
    /// Panics if the store rejects the write.
    pub async fn write_row(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let row = RowJson {
            table: table.to_owned(),
            key: key.to_owned(),
            value: value.map(|value| STANDARD.encode(value)),
            ..RowJson::default()
        };
        let mut transaction = TransactionJson::default();
        if value.is_some() {
            transaction.put.push(row);
        } else {
            transaction.remove.push(row);
        }
        let is_written =
            send_json(self.store.address(), Method::POST, WRITE_PATH, &transaction).await;
        assert!(is_written, "the store rejected the write of {table}/{key}");
    }

    /// Sets the faults of the store.
    ///
    /// # Panics
    ///
    /// Panics if the store does not accept the faults.
    pub async fn set_store_faults(&self, faults: &StoreFaults) {
        let path = registry_store::FAULTS_PATH;
        assert!(send_json(self.store.address(), Method::PUT, path, faults).await);
    }

    /// Newest version of the store.
    pub async fn store_version(&self) -> u64 {
        get_json(self.store.address(), registry_store::VERSION_PATH).await
    }

    /// Restores the store from its copy of an earlier version, as after a loss of its disks.
    ///
    /// # Panics
    ///
    /// Panics if the store has no copy of that version.
    pub async fn roll_back_store(&self, version: u64) {
        let path = registry_store::ROLLBACK_PATH;
        let is_restored = send_json(self.store.address(), Method::PUT, path, &version).await;
        assert!(is_restored, "the store has no copy of version {version}");
    }

    /// Number of responses of the store with a status.
    pub async fn store_responses(&self, status: u16) -> usize {
        let statuses: BTreeMap<u16, usize> =
            get_json(self.store.address(), registry_store::STATUSES_PATH).await;
        statuses.get(&status).copied().unwrap_or(0)
    }

    /// Keys of the rows of a table, as the store lists them.
    pub async fn store_keys(&self, table: &str) -> Vec<String> {
        let path = format!("{READ_PATH}?table={table}&part=");
        let rows: RowsJson = get_json(self.store.address(), &path).await;
        rows.rows.into_iter().map(|row| row.key).collect()
    }

    /// Waits until a number of watches of a table are pending at the store.
    ///
    /// # Panics
    ///
    /// Panics if they are not in time.
    pub async fn wait_for_watches(&self, table: &str, count: usize) {
        let started = Instant::now();
        loop {
            let watches: BTreeMap<String, usize> =
                get_json(self.store.address(), registry_store::WATCHES_PATH).await;
            let pending = watches.get(table).copied().unwrap_or(0);
            if pending >= count {
                return;
            }
            assert!(
                started.elapsed() < SETTLE_TIMEOUT,
                "{pending} of {count} watches of table {table} are pending"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sets a fault of a server for a number of requests; for all if `times` is 0.
    pub async fn set_server_fault(&self, server: usize, fault: ServerFault, times: u32) {
        self.set_server_faults(
            server,
            &ServerFaults {
                fault,
                times,
                work_ms: 5,
                events: 5,
                ..ServerFaults::default()
            },
        )
        .await;
    }

    /// Sets the fault and the workload of a server.
    ///
    /// # Panics
    ///
    /// Panics if the server does not accept the faults.
    pub async fn set_server_faults(&self, server: usize, faults: &ServerFaults) {
        let address = self.servers[server].process.address();
        let path = scripted_server::FAULTS_PATH;
        assert!(send_json(address, Method::PUT, path, faults).await);
    }

    /// Requests that a server has run.
    pub async fn runs(&self, server: usize) -> Vec<ExecutedRequest> {
        let address = self.servers[server].process.address();
        get_json(address, scripted_server::RUNS_PATH).await
    }

    /// Requests that have reached a server, also those that it rejected.
    pub async fn arrivals(&self, server: usize) -> Vec<Arrival> {
        let address = self.servers[server].process.address();
        get_json(address, scripted_server::ARRIVALS_PATH).await
    }

    /// Calls that a server got to move streams, and its handles and copies that are neither used nor freed.
    pub async fn moves(&self, server: usize) -> (Vec<MoveRecord>, usize) {
        let address = self.servers[server].process.address();
        get_json(address, scripted_server::MOVES_PATH).await
    }

    /// Runs of one request on all servers.
    pub async fn runs_of_request(&self, request: &str) -> Vec<ExecutedRequest> {
        let mut matching_runs = Vec::new();
        for server in 0..self.servers.len() {
            for run in self.runs(server).await {
                if run.request_id == request {
                    matching_runs.push(run);
                }
            }
        }
        matching_runs
    }

    /// Address at which the store listens.
    #[must_use]
    pub const fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Process of a backend server.
    pub fn server_process(&mut self, server: usize) -> &mut Process {
        &mut self.servers[server].process
    }
}

pub(crate) async fn send_json<T: Serialize>(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: &T,
) -> bool {
    let body = serde_json::to_vec(value).expect("failed to encode JSON");
    let response = fetch(address, method, path, body.into()).await;
    response.is_some_and(|(status, _)| status == 200)
}

pub(crate) async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let (_, body) = fetch(address, Method::GET, path, Bytes::new())
        .await
        .expect("no response from the server");
    serde_json::from_slice(&body).expect("JSON")
}

pub(super) async fn fetch(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection_task = actix_rt::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::new(body))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    connection_task.abort();
    Some((status, body))
}
