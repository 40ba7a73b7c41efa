//! The processes of a seed and the faults injected into them.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_emulator::scripted_server::{ExecutedRequest, ServerFault};
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, LinkFault, Proxy};

use crate::disturbances::{Disturbance, Disturbances, Trace};
use crate::rng::SeededRng;
use crate::versions::software_of;

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("../data/gateway.json");

/// Timeouts of the routes in [`CONFIG`] and those that the soak sets instead, the normal ones and the
/// short ones, in milliseconds. All but the first leave time for a pause of a server.
const ROUTE_TIMEOUTS_MS: [(u64, u64, u64); 4] = [
    (1000, 1000, 800),
    (2000, 3000, 2600),
    (4000, 4000, 2600),
    (8000, 8000, 2600),
];

/// Number of VMs unless `SOAK_VMS` sets another.
const DEFAULT_VMS: u8 = 3;

/// Idle timeout of the first configuration.
const FIRST_LIMITS_MS: u64 = 15_000;

pub(crate) const SERVER_COUNT: usize = 4;

/// Servers that crash when they run a request; they follow the others in the fleet.
const FRAGILE_COUNT: usize = 3;

/// Engines that crash on a prompt part; they follow the fragile servers in the fleet.
const BRITTLE_COUNT: usize = 3;

/// Prompt part on which the brittle engines crash.
pub(crate) const DEADLY_PART: u64 = 0xdead;

/// A gateway fleet with proxies that inject network faults.
pub(crate) struct SoakFleet {
    pub(crate) vm_count: usize,
    pub(crate) fleet: GatewayFleet,
    pub(crate) server_proxies: Vec<Proxy>,
    store_proxy: Proxy,
    pub(crate) config_version: u64,
    /// Idle and head timeout of the configuration that was last written.
    pub(crate) limits_ms: u64,
    /// Whether the configuration that was last written has shorter timeouts of routes.
    pub(crate) has_short_routes: bool,
    /// Idle timeout that callers go by.
    pub(crate) idle_limit_ms: Rc<Cell<u64>>,
    pub(crate) disturbances: Disturbances,
    /// Entry of each server as it was last written.
    entries: Vec<ServerEntry>,
    /// Entries of the servers that crash, as they were last written.
    crash_entries: Vec<ServerEntry>,
    /// Starts of these servers so far, by which their entries differ.
    crash_starts: u64,
    pub(crate) is_store_faulty: bool,
    /// Whether VMs are cut off from the servers.
    pub(crate) has_cut: bool,
    /// Servers that have said that they leave, and have not started again.
    pub(crate) leaving: BTreeSet<usize>,
}

/// A configuration with timeouts of connections, and with normal or short ones of routes.
fn soak_config(version: u64, limits_ms: u64, has_short_routes: bool) -> String {
    let mut config = CONFIG.replace("\"version\": 7", &format!("\"version\": {version}"));
    if limits_ms != FIRST_LIMITS_MS {
        for (name, first_ms) in [("header", 3000), ("idle", FIRST_LIMITS_MS)] {
            let first = format!("{name}_timeout_ms\": {first_ms}");
            config = config.replace(&first, &format!("{name}_timeout_ms\": {limits_ms}"));
        }
    }
    for (first_ms, normal_ms, short_ms) in ROUTE_TIMEOUTS_MS {
        let timeout_ms = if has_short_routes {
            short_ms
        } else {
            normal_ms
        };
        let first = format!("\"timeout_ms\": {first_ms},");
        config = config.replace(&first, &format!("\"timeout_ms\": {timeout_ms},"));
    }
    config
}

impl SoakFleet {
    pub(crate) async fn start() -> Self {
        let vm_count = std::env::var("SOAK_VMS").map_or(DEFAULT_VMS, |vms| {
            vms.parse().expect("SOAK_VMS is a number")
        });
        let config = soak_config(7, FIRST_LIMITS_MS, false);
        let options = GatewayFleetOptions::new(config)
            .vms(vm_count - 1)
            .servers(SERVER_COUNT);
        let mut fleet = GatewayFleet::start(BIN, options).await;
        let mut server_proxies = Vec::new();
        let mut entries = Vec::new();
        for server in 0..SERVER_COUNT {
            let mut entry = fleet.server_entry(server);
            let proxy = Proxy::start(entry.address).await;
            entry.address = proxy.address();
            entry.software = Some(software_of(server).into());
            fleet.register(&entry).await;
            server_proxies.push(proxy);
            entries.push(entry);
        }
        for index in 0..FRAGILE_COUNT {
            let id = format!("fragile-{index}");
            fleet
                .add_server_with(&id, "fragile", &["--fault", "crash"])
                .await;
        }
        let deadly_part = format!("{DEADLY_PART:x}");
        for index in 0..BRITTLE_COUNT {
            let id = format!("brittle-{index}");
            fleet
                .add_server_with(&id, "brittle", &["--deadly-part", &deadly_part])
                .await;
        }
        let crash_entries = (SERVER_COUNT..SERVER_COUNT + FRAGILE_COUNT + BRITTLE_COUNT)
            .map(|server| fleet.server_entry(server))
            .collect();
        let store_proxy = Proxy::start(fleet.store_address()).await;
        fleet.add_vm_with_store(store_proxy.address());
        let vm_count = usize::from(vm_count);
        fleet.wait_until_ready(vm_count - 1).await;
        Self {
            vm_count,
            fleet,
            server_proxies,
            store_proxy,
            config_version: 7,
            limits_ms: FIRST_LIMITS_MS,
            has_short_routes: false,
            idle_limit_ms: Rc::new(Cell::new(FIRST_LIMITS_MS)),
            disturbances: Disturbances::default(),
            entries,
            crash_entries,
            crash_starts: 1,
            is_store_faulty: false,
            has_cut: false,
            leaving: BTreeSet::new(),
        }
    }

    /// Injects a random fault and returns its description.
    pub(crate) async fn inject_fault(&mut self, rng: &SeededRng) -> String {
        let server = rng.index(SERVER_COUNT);
        let vm = rng.index(self.vm_count);
        let link_faults = [
            LinkFault::Delay(Duration::from_millis(150)),
            LinkFault::Reset,
            LinkFault::Stall,
            LinkFault::StallResponses,
        ];
        match rng.below(11) {
            0 => {
                let link_fault = link_faults[rng.index(link_faults.len())];
                self.server_proxies[server].set_fault(link_fault);
                self.disturbances.begin(Disturbance::Link(server));
                format!("link of server {server}: {link_fault:?}")
            }
            1 => {
                self.server_proxies[server].reset_open_connections();
                self.disturbances.note_reset(server);
                let stalled = rng.index(SERVER_COUNT);
                self.server_proxies[stalled].stall_open_connections();
                self.disturbances.note_stall(stalled);
                format!(
                    "reset of open connections of server {server}, stall of those of a random server"
                )
            }
            2 | 3 => {
                let faults = [
                    ServerFault::LoseAnswer,
                    ServerFault::Silence,
                    ServerFault::Reject,
                    ServerFault::Fail,
                    ServerFault::ExtraAnswer,
                    ServerFault::ForeignAnswer,
                    ServerFault::BreakOff,
                    ServerFault::Garbage,
                    ServerFault::Unframed,
                    ServerFault::Stall,
                ];
                let fault = faults[rng.index(faults.len())];
                let times = u32::try_from(rng.below(6) + 1).expect("at most 6");
                self.disturbances.note_unsound_server();
                self.fleet.set_server_fault(server, fault, times).await;
                format!("server {server}: {fault}")
            }
            4 => {
                let link_fault = link_faults[rng.index(link_faults.len())];
                self.store_proxy.set_fault(link_fault);
                format!("link of one VM to the store: {link_fault:?}")
            }
            5 => {
                let faults = StoreFaults {
                    is_down: rng.below(2) == 0,
                    is_silent: rng.below(3) == 0,
                    delay_ms: rng.below(300),
                    ..StoreFaults::default()
                };
                self.fleet.set_store_faults(&faults).await;
                self.is_store_faulty = true;
                format!("{faults:?}")
            }
            6 => {
                self.disturbances.begin(Disturbance::Suspension(vm));
                self.fleet.vm_process(vm).suspend();
                format!("suspension of VM {vm}")
            }
            7 => {
                let process = self.fleet.vm_process(vm);
                process.kill();
                process.restart();
                self.disturbances.note_kill(vm);
                self.disturbances.end(Disturbance::Suspension(vm));
                format!("kill and restart of VM {vm}")
            }
            8 => {
                self.disturbances.begin(Disturbance::Shutdown(vm));
                self.fleet.vm_process(vm).terminate();
                format!("shutdown of VM {vm}")
            }
            9 => {
                self.entries[server].state = ServerState::Draining;
                self.clear_store_faults().await;
                self.fleet.register(&self.entries[server]).await;
                format!("drain of server {server}")
            }
            _ => {
                self.config_version += 1;
                self.clear_store_faults().await;
                self.write_config().await;
                format!("configuration {}", self.config_version)
            }
        }
    }

    pub(crate) async fn clear_store_faults(&mut self) {
        self.fleet.set_store_faults(&StoreFaults::default()).await;
        self.is_store_faulty = false;
    }

    /// Registers the next start of a server.
    pub(crate) async fn register_next_start(&mut self, server: usize) {
        let entry = &mut self.entries[server];
        entry.started_unix_ms = entry.started_unix_ms.map(|started| started + 1);
        self.fleet.register(entry).await;
    }

    pub(crate) async fn write_config(&self) {
        let config = soak_config(self.config_version, self.limits_ms, self.has_short_routes);
        self.fleet.write_config(&config).await;
    }

    /// Restores the store from a copy of a few versions before; the operator and the servers write
    /// again what they had written.
    pub(crate) async fn roll_back_store(&mut self, rng: &SeededRng) -> String {
        let newest = self.fleet.store_version().await;
        let copy = newest.saturating_sub(1 + rng.below(8)).max(1);
        self.fleet.roll_back_store(copy).await;
        self.clear_store_faults().await;
        actix_rt::time::sleep(Duration::from_millis(rng.below(200))).await;
        self.write_config().await;
        for entry in self.entries.iter().chain(&self.crash_entries) {
            self.fleet.register(entry).await;
        }
        format!("return of the store from version {newest} to its copy of {copy}")
    }

    /// Version of the configuration that was last written.
    pub(crate) const fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Clears a random part of the faults, or all, and restarts VMs that have exited.
    pub(crate) async fn clear_faults(&mut self, rng: &SeededRng, all: bool) {
        for vm in 0..self.vm_count {
            let process = self.fleet.vm_process(vm);
            if all || rng.below(2) == 0 {
                process.resume();
                self.disturbances.end(Disturbance::Suspension(vm));
            }
            let process = self.fleet.vm_process(vm);
            if process.has_exited() {
                process.restart();
                self.disturbances.end(Disturbance::Shutdown(vm));
            }
        }
        for server in 0..SERVER_COUNT {
            if all || rng.below(3) == 0 {
                self.server_proxies[server].set_fault(LinkFault::None);
                self.disturbances.end(Disturbance::Link(server));
            }
        }
        if all || rng.below(3) == 0 {
            self.store_proxy.set_fault(LinkFault::None);
            self.clear_store_faults().await;
            for entry in &mut self.entries {
                if entry.state == ServerState::Draining {
                    // A server that drained has ended, and this is its next start.
                    entry.state = ServerState::Ready;
                    entry.started_unix_ms = entry.started_unix_ms.map(|started| started + 1);
                }
                self.fleet.register(entry).await;
            }
        }
        if all {
            for server in 0..SERVER_COUNT {
                self.fleet
                    .set_server_fault(server, ServerFault::None, 0)
                    .await;
            }
        }
    }

    /// Starts fragile servers again that have crashed; returns how many.
    pub(crate) async fn restart_fragile_servers(&mut self) -> usize {
        let first = SERVER_COUNT;
        self.restart_crashed(first..first + FRAGILE_COUNT).await
    }

    /// Starts brittle engines again that have crashed; returns how many.
    pub(crate) async fn restart_brittle_engines(&mut self) -> usize {
        let first = SERVER_COUNT + FRAGILE_COUNT;
        self.restart_crashed(first..first + BRITTLE_COUNT).await
    }

    /// Starts servers again that have crashed, unless the store is faulty, since they have to register.
    async fn restart_crashed(&mut self, servers: Range<usize>) -> usize {
        let mut crashed = 0;
        if self.is_store_faulty {
            return crashed;
        }
        for server in servers {
            if !self.fleet.server_process(server).has_exited() {
                continue;
            }
            crashed += 1;
            self.fleet.server_process(server).restart();
            self.crash_starts += 1;
            let entry = &mut self.crash_entries[server - SERVER_COUNT];
            entry.started_unix_ms = Some(self.crash_starts);
            self.fleet.register(entry).await;
        }
        crashed
    }

    /// Waits until VMs that are shutting down have exited, and restarts them.
    pub(crate) async fn finish_shutdowns(&mut self) {
        for vm in 0..self.vm_count {
            while !self.fleet.is_ready(vm).await {
                if self.fleet.vm_process(vm).has_exited() {
                    self.fleet.vm_process(vm).restart();
                    self.fleet.wait_until_ready(vm).await;
                }
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// What the VMs have logged of each request.
    pub(crate) fn traces(&self) -> BTreeMap<String, Trace> {
        let mut traces: BTreeMap<String, Trace> = BTreeMap::new();
        for vm in 0..self.vm_count {
            for line in self.fleet.read_log(vm).lines() {
                let field = |name: &str| {
                    line.split_whitespace()
                        .find_map(|word| word.strip_prefix(name))
                };
                let Some(id) = field("request_id=") else {
                    continue;
                };
                let trace = traces.entry(id.to_owned()).or_default();
                let server = field("server=").filter(|&server| server != "-");
                trace.servers.extend(server.map(ToOwned::to_owned));
                trace.is_relayed |= line.contains("name=request_relayed ");
                trace.has_ended |= !line.contains("name=attempt_failed ");
            }
        }
        traces
    }

    /// Runs on all servers with the indices of the servers, by request ID.
    pub(crate) async fn runs_by_request(&self) -> BTreeMap<String, Vec<(usize, ExecutedRequest)>> {
        let mut runs: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for server in 0..SERVER_COUNT {
            for run in self.fleet.runs(server).await {
                let runs = runs.entry(run.request_id.clone()).or_default();
                runs.push((server, run));
            }
        }
        runs
    }
}
