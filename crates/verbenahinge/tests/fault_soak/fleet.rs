//! The processes of a seed and what is done to them.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_emulator::scripted_server::{ExecutedRequest, ServerFault};
use verbenahinge_testkit::{GatewayFleet, GatewayOptions, Harm, Proxy};

use crate::dice::Dice;

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("../data/gateway.json");

pub(crate) const VMS: u8 = 3;

pub(crate) const SERVERS: usize = 4;

/// One fleet with the proxies through which it is harmed.
pub(crate) struct Soak {
    pub(crate) fleet: GatewayFleet,
    server_proxies: Vec<Proxy>,
    store_proxy: Proxy,
    version: u64,
}

impl Soak {
    pub(crate) async fn start() -> Self {
        let options = GatewayOptions::new(CONFIG).vms(VMS - 1).servers(SERVERS);
        let mut fleet = GatewayFleet::start(BIN, options).await;
        let mut server_proxies = Vec::new();
        for server in 0..SERVERS {
            let mut entry = fleet.entry(server);
            let proxy = Proxy::start(entry.address).await;
            entry.address = proxy.address();
            fleet.register(&entry).await;
            server_proxies.push(proxy);
        }
        let store_proxy = Proxy::start(fleet.store_address()).await;
        fleet.add_vm_with(store_proxy.address());
        fleet.wait_ready(usize::from(VMS) - 1).await;
        Self {
            fleet,
            server_proxies,
            store_proxy,
            version: 7,
        }
    }

    /// Begins one fault.
    pub(crate) async fn harm(&mut self, dice: &Dice) -> String {
        let server = dice.index(SERVERS);
        let vm = dice.index(usize::from(VMS));
        let harms = [
            Harm::Delay(Duration::from_millis(150)),
            Harm::Reset,
            Harm::Silence,
            Harm::SilentAnswers,
        ];
        match dice.below(11) {
            0 => {
                let harm = harms[dice.index(harms.len())];
                self.server_proxies[server].set(harm);
                format!("link of server {server}: {harm:?}")
            }
            1 => {
                self.server_proxies[server].reset_open();
                self.server_proxies[dice.index(SERVERS)].silence_open();
                format!("open connections of server {server}")
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
                let fault = faults[dice.index(faults.len())];
                let times = u32::try_from(dice.below(6) + 1).expect("a small number");
                self.fleet.fault(server, fault, times).await;
                format!("server {server}: {fault}")
            }
            4 => {
                let harm = harms[dice.index(harms.len())];
                self.store_proxy.set(harm);
                format!("store for one VM: {harm:?}")
            }
            5 => {
                let faults = StoreFaults {
                    is_down: dice.below(2) == 0,
                    is_silent: dice.below(3) == 0,
                    delay_ms: dice.below(300),
                    ..StoreFaults::default()
                };
                self.fleet.store_faults(&faults).await;
                format!("{faults:?}")
            }
            6 => {
                self.fleet.vm_process(vm).freeze();
                format!("freeze of VM {vm}")
            }
            7 => {
                let process = self.fleet.vm_process(vm);
                process.kill();
                process.restart();
                format!("kill of VM {vm}")
            }
            8 => {
                self.fleet.vm_process(vm).terminate();
                format!("shutdown of VM {vm}")
            }
            9 => {
                let mut entry = self.entry(server);
                entry.state = ServerState::Draining;
                self.fleet.store_faults(&StoreFaults::default()).await;
                self.fleet.register(&entry).await;
                format!("drain of server {server}")
            }
            _ => {
                self.version += 1;
                let version = format!("\"version\": {}", self.version);
                let config = CONFIG.replace("\"version\": 7", &version);
                self.fleet.store_faults(&StoreFaults::default()).await;
                self.fleet.write_config(&config).await;
                format!("configuration {}", self.version)
            }
        }
    }

    fn entry(&self, server: usize) -> ServerEntry {
        let mut entry = self.fleet.entry(server);
        entry.address = self.server_proxies[server].address();
        entry
    }

    /// Ends some of the faults, or all.
    pub(crate) async fn mend(&mut self, dice: &Dice, all: bool) {
        for vm in 0..usize::from(VMS) {
            let process = self.fleet.vm_process(vm);
            if all || dice.below(2) == 0 {
                process.thaw();
            }
            if process.has_ended() {
                process.restart();
            }
        }
        for server in 0..SERVERS {
            if all || dice.below(3) == 0 {
                self.server_proxies[server].set(Harm::None);
            }
        }
        if all || dice.below(3) == 0 {
            self.store_proxy.set(Harm::None);
            self.fleet.store_faults(&StoreFaults::default()).await;
            for server in 0..SERVERS {
                self.fleet.register(&self.entry(server)).await;
            }
        }
        if all {
            for server in 0..SERVERS {
                self.fleet.fault(server, ServerFault::None, 0).await;
            }
        }
    }

    /// What the servers ran, by request.
    pub(crate) async fn runs(&self) -> BTreeMap<String, Vec<ExecutedRequest>> {
        let mut runs: BTreeMap<String, Vec<ExecutedRequest>> = BTreeMap::new();
        for server in 0..SERVERS {
            for run in self.fleet.runs(server).await {
                runs.entry(run.request_id.clone()).or_default().push(run);
            }
        }
        runs
    }
}
