//! The store and the backend servers of a fleet, and what they are told to do wrong.

use std::net::SocketAddr;

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
use verbenahinge_emulator::scripted_server::{self, ExecutedRequest, ServerFault, ServerFaults};
use verbenahinge_platform::registry;
use verbenahinge_platform::store::{
    CONFIG_KEY, OPERATOR_TABLE, RowJson, SERVER_TABLE, TransactionJson, WRITE_PATH,
};

use super::GatewayFleet;
use crate::process::{Process, free_address};

/// Slots that each server says it has.
const SLOTS: u32 = 8;

pub(super) struct RegisteredServer {
    pub(super) process: Process,
    pub(super) entry: ServerEntry,
}

impl GatewayFleet {
    /// Starts a backend server and registers it.
    pub async fn add_server(&mut self, id: &str, service: &str) {
        let address = free_address();
        let mut args: Vec<String> = vec!["emulate".to_owned(), "server".to_owned()];
        for (flag, value) in [("--listen", address.to_string()), ("--id", id.to_owned())] {
            args.push(flag.to_owned());
            args.push(value);
        }
        args.extend(self.server_args.iter().cloned());
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

    /// Writes the entry of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if the store does not take it.
    pub async fn register(&self, entry: &ServerEntry) {
        let value = registry::encode(entry).expect("an entry");
        self.write_row(SERVER_TABLE, &entry.id, Some(&value)).await;
    }

    /// Removes the entry of a backend server, whose process goes on.
    pub async fn unregister(&self, server: usize) {
        let id = self.servers[server].entry.id.clone();
        self.write_row(SERVER_TABLE, &id, None).await;
    }

    /// The entry of a backend server.
    #[must_use]
    pub fn entry(&self, server: usize) -> ServerEntry {
        self.servers[server].entry.clone()
    }

    /// Puts a version of the configuration into the store.
    pub async fn write_config(&self, config: &str) {
        self.write_row(OPERATOR_TABLE, CONFIG_KEY, Some(config.as_bytes()))
            .await;
    }

    /// Writes or removes a row.
    ///
    /// # Panics
    ///
    /// Panics if the store does not take it.
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
        let answer = put_json(self.store.address(), Method::POST, WRITE_PATH, &transaction).await;
        assert!(answer, "the store did not take {table}/{key}");
    }

    /// Makes the store misbehave.
    ///
    /// # Panics
    ///
    /// Panics if the store cannot be told.
    pub async fn store_faults(&self, faults: &StoreFaults) {
        let path = registry_store::FAULTS_PATH;
        assert!(put_json(self.store.address(), Method::PUT, path, faults).await);
    }

    /// Makes a server misbehave for a number of requests; for all if `times` is 0.
    pub async fn fault(&self, server: usize, fault: ServerFault, times: u32) {
        self.server_faults(
            server,
            &ServerFaults {
                fault,
                times,
                work_ms: 5,
                events: 5,
            },
        )
        .await;
    }

    /// Sets all that a server does wrong.
    ///
    /// # Panics
    ///
    /// Panics if the server cannot be told.
    pub async fn server_faults(&self, server: usize, faults: &ServerFaults) {
        let address = self.servers[server].process.address();
        let path = scripted_server::FAULTS_PATH;
        assert!(put_json(address, Method::PUT, path, faults).await);
    }

    /// What a server ran.
    pub async fn runs(&self, server: usize) -> Vec<ExecutedRequest> {
        let address = self.servers[server].process.address();
        get_json(address, scripted_server::RUNS_PATH).await
    }

    /// What all servers ran of one request.
    pub async fn runs_of(&self, request: &str) -> Vec<ExecutedRequest> {
        let mut found = Vec::new();
        for server in 0..self.servers.len() {
            for run in self.runs(server).await {
                if run.request_id == request {
                    found.push(run);
                }
            }
        }
        found
    }

    /// Where the store listens.
    #[must_use]
    pub const fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// The process of a server.
    pub fn server_process(&mut self, server: usize) -> &mut Process {
        &mut self.servers[server].process
    }
}

async fn put_json<T: Serialize>(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: &T,
) -> bool {
    let body = serde_json::to_vec(value).expect("JSON");
    let answer = fetch(address, method, path, body.into()).await;
    answer.is_some_and(|(status, _)| status == 200)
}

async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let (_, body) = fetch(address, Method::GET, path, Bytes::new())
        .await
        .expect("an answer");
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
    let driver = actix_rt::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::new(body))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some((status, body))
}
