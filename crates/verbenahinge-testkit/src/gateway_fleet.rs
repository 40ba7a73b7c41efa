//! A store, backend servers and VMs of the gateway as processes on loopback.

mod options;
mod stand_ins;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use verbenahinge_core::gateway::Bounds;
use verbenahinge_platform::READY_PATH;
use verbenahinge_platform::node_file::VmSettings;

pub use self::options::GatewayOptions;
use self::stand_ins::{RegisteredServer, fetch};
use crate::process::{Process, free_address};
use crate::{CallerConnection, GatewayAnswer, GatewayRequest};

/// Time within which something that was asked for must have happened.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

struct GatewayVm {
    process: Process,
    settings: VmSettings,
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
            bounds: Bounds::default(),
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

    /// The process of a VM.
    pub fn vm_process(&mut self, vm: usize) -> &mut Process {
        &mut self.vms[vm].process
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
