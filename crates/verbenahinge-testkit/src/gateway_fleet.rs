//! A store, backend servers and VMs of the gateway as processes on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

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
use verbenahinge_core::gateway::{Bounds, ServerEntry, ServerState};
use verbenahinge_emulator::registry_store::{self, StoreFaults};
use verbenahinge_emulator::scripted_server::{self, Run, ServerFault, ServerFaults};
use verbenahinge_platform::node_file::VmSettings;
use verbenahinge_platform::store::{
    CONFIG_KEY, OPERATOR_TABLE, RowText, SERVER_TABLE, TransactionText, WRITE_PATH,
};
use verbenahinge_platform::{READY_PATH, registry};

use crate::process::{Process, free_address};
use crate::{CallerConnection, GatewayAnswer, GatewayRequest};

/// Time within which something that was asked for must have happened.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// Slots that each server says it has.
const SLOTS: u32 = 8;

/// Size of a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayOptions {
    vms: u8,
    servers: usize,
    config: String,
    server_args: Vec<String>,
}

impl GatewayOptions {
    /// Creates a fleet of one VM and two servers with a configuration in the platform's format.
    #[must_use]
    pub fn new(config: impl Into<String>) -> Self {
        Self {
            vms: 1,
            servers: 2,
            config: config.into(),
            server_args: Vec::new(),
        }
    }

    /// Sets the number of VMs.
    #[must_use]
    pub const fn vms(mut self, vms: u8) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the number of servers.
    #[must_use]
    pub const fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    /// Adds an argument of the servers.
    #[must_use]
    pub fn server_arg(mut self, flag: &str, value: &str) -> Self {
        self.server_args.push(flag.to_owned());
        self.server_args.push(value.to_owned());
        self
    }
}

struct GatewayVm {
    process: Process,
    settings: VmSettings,
}

struct RegisteredServer {
    process: Process,
    entry: ServerEntry,
}

/// A store, backend servers and VMs of the gateway as processes on loopback.
pub struct GatewayFleet {
    bin: PathBuf,
    folder: PathBuf,
    store: Process,
    servers: Vec<RegisteredServer>,
    vms: Vec<GatewayVm>,
    control_port: u16,
    peer_port: u16,
    server_args: Vec<String>,
}

impl GatewayFleet {
    /// Starts a fleet and waits until every VM takes callers.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub async fn start(bin: impl AsRef<Path>, options: GatewayOptions) -> Self {
        let bin = bin.as_ref().to_path_buf();
        let store_address = free_address();
        let store_args = ["emulate", "store", "--listen", &store_address.to_string()];
        let folder = std::env::temp_dir().join(format!("gateway-{}", store_address.port()));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let mut fleet = Self {
            store: Process::start(&bin, &store_args.map(ToOwned::to_owned), store_address),
            bin,
            folder,
            servers: Vec::new(),
            vms: Vec::new(),
            control_port: free_address().port(),
            peer_port: free_address().port(),
            server_args: options.server_args,
        };
        fleet.write_config(&options.config).await;
        for index in 0..options.servers {
            fleet
                .add_server(&format!("server-{index}"), "service")
                .await;
        }
        for _ in 0..options.vms {
            fleet.add_vm();
        }
        for vm in 0..fleet.vms.len() {
            fleet.wait_ready(vm).await;
        }
        fleet
    }

    /// Starts another VM without waiting for it.
    ///
    /// # Panics
    ///
    /// Panics if its settings cannot be written.
    pub fn add_vm(&mut self) {
        self.add_vm_with(self.store.address());
    }

    /// Starts another VM that reaches the store at the given address.
    ///
    /// # Panics
    ///
    /// Panics if its settings cannot be written.
    pub fn add_vm_with(&mut self, store: SocketAddr) {
        let index = u8::try_from(self.vms.len()).expect("a small fleet");
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, index + 1));
        let seed = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
        let listen = SocketAddr::new(ip, free_address().port());
        let settings = VmSettings {
            name: format!("vm-{index}"),
            ip,
            availability_zone: "a".into(),
            listen,
            ready_listen: SocketAddr::new(ip, free_address().port()),
            control_listen: Some(SocketAddr::new(ip, self.control_port)),
            peer_port: self.peer_port,
            seeds: vec![SocketAddr::new(seed, self.control_port)],
            store,
            bounds: Bounds {
                shutdown_grace: Duration::from_secs(8),
                drain: Duration::from_secs(2),
                config_apply: Duration::from_secs(2),
                retry_ratio: 0.2,
                retry_slack: 60.0,
                retry_window: Duration::from_secs(10),
            },
            memory_mb: 256,
        };
        let file = self.folder.join(format!("{}.conf", settings.name));
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        let file = file.to_string_lossy().into_owned();
        let args = ["gateway", "--node-file", &file, "--log-level", "debug"];
        let log = self.folder.join(format!("{}.log", settings.name));
        let process = Process::start_logged(&self.bin, &args.map(ToOwned::to_owned), listen, &log);
        self.vms.push(GatewayVm { process, settings });
    }

    /// Text that a VM has logged so far.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read.
    #[must_use]
    pub fn log_of(&self, vm: usize) -> String {
        let name = &self.vms[vm].settings.name;
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).expect("a log")
    }

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
        let entry = ServerEntry {
            id: id.into(),
            service: service.into(),
            address,
            availability_zone: "a".into(),
            slots: SLOTS,
            state: ServerState::Ready,
            warm_up: Duration::ZERO,
            started_unix_ms: Some(1),
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
        let row = RowText {
            table: table.to_owned(),
            key: key.to_owned(),
            value: value.map(|value| STANDARD.encode(value)),
            ..RowText::default()
        };
        let mut transaction = TransactionText::default();
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
    pub async fn runs(&self, server: usize) -> Vec<Run> {
        let address = self.servers[server].process.address();
        get_json(address, scripted_server::RUNS_PATH).await
    }

    /// What all servers ran of one request.
    pub async fn runs_of(&self, request: &str) -> Vec<Run> {
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

    /// The process of a VM.
    pub fn vm_process(&mut self, vm: usize) -> &mut Process {
        &mut self.vms[vm].process
    }

    /// The process of a server.
    pub fn server_process(&mut self, server: usize) -> &mut Process {
        &mut self.servers[server].process
    }

    /// Where a VM listens to callers.
    #[must_use]
    pub fn listen(&self, vm: usize) -> SocketAddr {
        self.vms[vm].settings.listen
    }

    /// Sends one request on a connection of its own.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer at all.
    pub async fn call(&self, vm: usize, request: &GatewayRequest) -> GatewayAnswer {
        let mut connection = CallerConnection::open(self.listen(vm)).await.expect("a VM");
        connection.call(request).await.expect("an answer")
    }

    /// Text at a path of a VM's control address.
    ///
    /// # Panics
    ///
    /// Panics if the VM has no such address.
    pub async fn control_text(&self, vm: usize, path: &str) -> String {
        let control = self.vms[vm].settings.control_listen.expect("an address");
        let bytes = fetch(control, Method::GET, path, Bytes::new()).await;
        bytes.map_or_else(String::new, |(_, body)| {
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    /// Says whether a VM takes callers.
    pub async fn is_ready(&self, vm: usize) -> bool {
        let address = self.vms[vm].settings.ready_listen;
        let answer = fetch(address, Method::GET, READY_PATH, Bytes::new()).await;
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until a VM takes callers.
    ///
    /// # Panics
    ///
    /// Panics if it does not.
    pub async fn wait_ready(&self, vm: usize) {
        let began = Instant::now();
        while !self.is_ready(vm).await {
            assert!(began.elapsed() < SETTLE_TIMEOUT, "VM {vm} takes no callers");
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Repeats a request until its answer has the given status.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen.
    pub async fn wait_status(&self, vm: usize, request: &GatewayRequest, status: u16) {
        let began = Instant::now();
        loop {
            let answer = self.call(vm, request).await;
            if answer.status == status {
                return;
            }
            assert!(
                began.elapsed() < SETTLE_TIMEOUT,
                "still status {}",
                answer.status
            );
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Waits until the log of a VM holds a text.
    ///
    /// # Panics
    ///
    /// Panics if it does not.
    pub async fn wait_logged(&self, vm: usize, text: &str) {
        let began = Instant::now();
        while !self.log_of(vm).contains(text) {
            assert!(began.elapsed() < SETTLE_TIMEOUT, "VM {vm} logs no {text:?}");
            actix_rt::time::sleep(POLL).await;
        }
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the VMs: {}", self.folder.display());
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("{}: {error}", self.folder.display());
        }
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

async fn fetch(
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
