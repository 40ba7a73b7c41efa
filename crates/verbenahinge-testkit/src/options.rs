//! Options of a fleet.

/// Numbers of VMs and engines of a fleet, and arguments of its emulators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetOptions {
    pub(crate) vms: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) engine_args: Vec<String>,
    pub(crate) service_args: Vec<String>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl FleetOptions {
    /// Creates options for two VMs and two engines of 8 slots each.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            vms: 2,
            engines: 2,
            slots: 8,
            engine_args: Vec::new(),
            service_args: Vec::new(),
        }
    }

    /// Sets the number of VMs.
    #[must_use]
    pub const fn vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub const fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of slots of each engine.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Adds a command-line argument of the engines.
    #[must_use]
    pub fn engine_arg(mut self, flag: &str, value: &str) -> Self {
        self.engine_args.push(flag.to_owned());
        self.engine_args.push(value.to_owned());
        self
    }

    /// Adds a command-line argument of the plain service.
    #[must_use]
    pub fn service_arg(mut self, flag: &str, value: &str) -> Self {
        self.service_args.push(flag.to_owned());
        self.service_args.push(value.to_owned());
        self
    }
}
