//! A deployment of the gateway on loopback.

mod emulators;
mod options;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use verbenahinge_core::gateway::Bounds;
use verbenahinge_platform::READY_PATH;
use verbenahinge_platform::node_file::{DutySettings, VmSettings};

use self::emulators::{RegisteredServer, fetch};
pub(crate) use self::emulators::{get_json, send_json};
pub use self::options::GatewayFleetOptions;
use crate::process::{Process, free_address};
use crate::{CallerConnection, GatewayRequest, GatewayResponse};

/// Timeout for a condition to hold.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct GatewayVm {
    process: Process,
    settings: VmSettings,
}

/// A store, backend servers and VMs of the gateway as processes on loopback.
pub struct GatewayFleet {
    bin: PathBuf,
    /// Binary that VMs start with.
    vm_bin: PathBuf,
    dir: PathBuf,
    store: Process,
    servers: Vec<RegisteredServer>,
    vms: Vec<GatewayVm>,
    control_port: u16,
    peer_port: u16,
    server_args: Vec<String>,
    memory_mb: u64,
    max_fds: Option<u64>,
    /// Whether the whole fleet is starting for the first time.
    is_first_start: bool,
    duties: DutySettings,
}

impl GatewayFleet {
    /// Starts a fleet and waits until every VM is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub async fn start(bin: impl AsRef<Path>, options: GatewayFleetOptions) -> Self {
        let bin = bin.as_ref().to_path_buf();
        let store_address = free_address();
        let store_args = ["emulate", "store", "--listen", &store_address.to_string()];
        let dir = std::env::temp_dir().join(format!("gateway-{}", store_address.port()));
        std::fs::create_dir_all(&dir).expect("failed to create a directory for settings");
        let mut fleet = Self {
            store: Process::start(&bin, &store_args.map(ToOwned::to_owned), store_address),
            vm_bin: options.vm_bin.unwrap_or_else(|| bin.clone()),
            bin,
            dir,
            servers: Vec::new(),
            vms: Vec::new(),
            control_port: free_address().port(),
            peer_port: free_address().port(),
            server_args: options.server_args,
            memory_mb: options.memory_mb,
            max_fds: options.max_fds,
            is_first_start: true,
            duties: options.duties,
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
            fleet.wait_until_ready(vm).await;
        }
        fleet.end_first_start();
        fleet
    }

    /// Has processes that start from now on know that the fleet has served before.
    fn end_first_start(&mut self) {
        self.is_first_start = false;
        for index in 0..self.vms.len() {
            let mut settings = self.vms[index].settings.clone();
            settings.is_first_start = false;
            self.write_settings(&settings);
            self.vms[index].settings = settings;
        }
    }

    /// Starts another VM without waiting until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if its settings cannot be written.
    pub fn add_vm(&mut self) {
        self.add_vm_with_store(self.store.address());
    }

    /// Starts another VM that connects to the store at the given address, without waiting until it
    /// is ready.
    ///
    /// # Panics
    ///
    /// Panics if its settings cannot be written.
    pub fn add_vm_with_store(&mut self, store: SocketAddr) {
        let index = u8::try_from(self.vms.len()).expect("fewer than 256 VMs");
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
            bounds: Bounds::default(),
            memory_mb: self.memory_mb,
            max_fds: self.max_fds,
            is_first_start: self.is_first_start,
            duties: self.duties.clone(),
        };
        let settings_file = self.write_settings(&settings);
        let settings_file = settings_file.to_string_lossy().into_owned();
        let args = [
            "gateway",
            "--node-file",
            &settings_file,
            "--log-level",
            "debug",
        ];
        let log_file = self.dir.join(format!("{}.log", settings.name));
        let process = Process::start_logged(
            &self.vm_bin,
            &args.map(ToOwned::to_owned),
            listen,
            &log_file,
        );
        self.vms.push(GatewayVm { process, settings });
    }

    /// Changes the settings of a VM and has it reload them.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be written.
    pub fn change_settings(&mut self, vm: usize, change: impl FnOnce(&mut VmSettings)) {
        let mut settings = self.vms[vm].settings.clone();
        change(&mut settings);
        self.write_settings(&settings);
        self.vms[vm].settings = settings;
        self.vms[vm].process.request_reload();
    }

    fn write_settings(&self, settings: &VmSettings) -> PathBuf {
        let file = self.dir.join(format!("{}.conf", settings.name));
        std::fs::write(&file, settings.to_string()).expect("failed to write the settings");
        file
    }

    /// Returns the log of a VM so far.
    ///
    /// # Panics
    ///
    /// Panics if the log cannot be read.
    #[must_use]
    pub fn read_log(&self, vm: usize) -> String {
        let name = &self.vms[vm].settings.name;
        std::fs::read_to_string(self.dir.join(format!("{name}.log")))
            .expect("failed to read the log")
    }

    /// Number of VMs that were started.
    #[must_use]
    pub const fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Has a VM that has exited start again with the binary of the other processes.
    pub fn upgrade_vm(&mut self, vm: usize) {
        let bin = self.bin.clone();
        self.vms[vm].process.restart_with(bin);
    }

    /// Process of a VM.
    pub fn vm_process(&mut self, vm: usize) -> &mut Process {
        &mut self.vms[vm].process
    }

    /// Address at which a VM answers readiness probes.
    #[must_use]
    pub fn ready_address(&self, vm: usize) -> SocketAddr {
        self.vms[vm].settings.ready_listen
    }

    /// Address at which a VM accepts callers.
    #[must_use]
    pub fn listen_address(&self, vm: usize) -> SocketAddr {
        self.vms[vm].settings.listen
    }

    /// Address at which a VM receives messages of other VMs.
    #[must_use]
    pub fn peer_address(&self, vm: usize) -> SocketAddr {
        SocketAddr::new(self.vms[vm].settings.ip, self.peer_port)
    }

    /// Sends a request on a new connection.
    ///
    /// # Panics
    ///
    /// Panics if no response arrives.
    pub async fn call(&self, vm: usize, request: &GatewayRequest) -> GatewayResponse {
        let mut connection = CallerConnection::open(self.listen_address(vm))
            .await
            .expect("failed to connect to the VM");
        connection
            .call(request)
            .await
            .expect("no response from the VM")
    }

    /// Control address of a VM.
    ///
    /// # Panics
    ///
    /// Panics if the VM has no control address.
    #[must_use]
    pub fn control_address(&self, vm: usize) -> SocketAddr {
        let settings = &self.vms[vm].settings;
        settings
            .control_listen
            .expect("the VM has no control address")
    }

    /// Fetches a path from the control address of a VM; empty if the request fails.
    ///
    /// # Panics
    ///
    /// Panics if the VM has no control address.
    pub async fn fetch_control(&self, vm: usize, path: &str) -> String {
        let bytes = fetch(self.control_address(vm), Method::GET, path, Bytes::new()).await;
        bytes.map_or_else(String::new, |(_, body)| {
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    /// Returns whether a VM reports that it is ready for callers.
    pub async fn is_ready(&self, vm: usize) -> bool {
        let address = self.vms[vm].settings.ready_listen;
        let response = fetch(address, Method::GET, READY_PATH, Bytes::new()).await;
        response.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until a VM is ready for callers.
    ///
    /// # Panics
    ///
    /// Panics if it does not become ready in time.
    pub async fn wait_until_ready(&self, vm: usize) {
        let started = Instant::now();
        while !self.is_ready(vm).await {
            assert!(started.elapsed() < SETTLE_TIMEOUT, "VM {vm} is not ready");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Repeats a request until its response has the given status.
    ///
    /// # Panics
    ///
    /// Panics if no response has that status in time.
    pub async fn wait_for_status(&self, vm: usize, request: &GatewayRequest, status: u16) {
        let started = Instant::now();
        loop {
            let response = self.call(vm, request).await;
            if response.status == status {
                return;
            }
            assert!(
                started.elapsed() < SETTLE_TIMEOUT,
                "last status {}",
                response.status
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the log of a VM contains a text.
    ///
    /// # Panics
    ///
    /// Panics if it does not contain the text in time.
    pub async fn wait_for_log(&self, vm: usize, text: &str) {
        self.wait_for_log_after(vm, 0, text).await;
    }

    /// Waits until the log of a VM contains a text after its first `length` bytes; returns the
    /// line.
    ///
    /// # Panics
    ///
    /// Panics if it does not contain the text in time.
    pub async fn wait_for_log_after(&self, vm: usize, length: usize, text: &str) -> String {
        let started = Instant::now();
        loop {
            let log = self.read_log(vm);
            let new_text = log.get(length..).unwrap_or("");
            for line in new_text.split_inclusive('\n') {
                // The last line may still be incomplete.
                if line.ends_with('\n') && line.contains(text) {
                    return line.trim_end().to_owned();
                }
            }
            assert!(
                started.elapsed() < SETTLE_TIMEOUT,
                "log of VM {vm} does not contain {text:?}"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the VMs: {}", self.dir.display());
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.dir) {
            eprintln!("{}: {error}", self.dir.display());
        }
    }
}
