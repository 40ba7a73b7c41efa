//! Options of a gateway fleet.

use std::path::PathBuf;

use verbenahinge_platform::node_file::DutySettings;

/// Memory of the smallest VM of the deployments, in MB.
const SMALLEST_VM_MB: u64 = 88;

/// Numbers of VMs and backend servers, configuration and arguments of the servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayFleetOptions {
    pub(super) vms: u8,
    pub(super) servers: usize,
    pub(super) config: String,
    pub(super) server_args: Vec<String>,
    pub(super) vm_bin: Option<PathBuf>,
    pub(super) duties: DutySettings,
    pub(super) memory_mb: u64,
    pub(super) max_fds: Option<u64>,
}

impl GatewayFleetOptions {
    /// Creates options for one VM and two backend servers, with a configuration in the platform's
    /// format.
    #[must_use]
    pub fn new(config: impl Into<String>) -> Self {
        Self {
            vms: 1,
            servers: 2,
            config: config.into(),
            server_args: Vec::new(),
            vm_bin: None,
            duties: DutySettings::default(),
            memory_mb: SMALLEST_VM_MB,
            max_fds: None,
        }
    }

    /// Sets the number of VMs.
    #[must_use]
    pub const fn vms(mut self, vms: u8) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the number of backend servers.
    #[must_use]
    pub const fn servers(mut self, servers: usize) -> Self {
        self.servers = servers;
        self
    }

    /// Sets the duties of the deployment.
    #[must_use]
    pub fn duties(mut self, duties: DutySettings) -> Self {
        self.duties = duties;
        self
    }

    /// Sets the memory of each VM, in MB.
    #[must_use]
    pub const fn memory_mb(mut self, memory_mb: u64) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets the number of descriptors that each VM may use.
    #[must_use]
    pub const fn max_fds(mut self, max_fds: u64) -> Self {
        self.max_fds = Some(max_fds);
        self
    }

    /// Starts the VMs with a binary of another build.
    #[must_use]
    pub fn vm_bin(mut self, bin: impl Into<PathBuf>) -> Self {
        self.vm_bin = Some(bin.into());
        self
    }

    /// Adds a command-line argument of the backend servers.
    #[must_use]
    pub fn server_arg(mut self, flag: &str, value: &str) -> Self {
        self.server_args.push(flag.to_owned());
        self.server_args.push(value.to_owned());
        self
    }
}
