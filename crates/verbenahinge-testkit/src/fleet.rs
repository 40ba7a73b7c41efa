//! A deployment of VMs, a platform and emulated backend servers on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};

use crate::{Client, FleetOptions, Process, Response, free_address};

/// API key of the test account.
const CALLER_KEY: &str = "caller-key";

/// Token of the test operator.
const OPERATOR_TOKEN: &str = "operator-token";

/// Operator token that may submit patches until an operator is declared, and only read afterwards.
const BOOTSTRAP_TOKEN: &str = "bootstrap-token";

/// Number of checks for a condition before a test fails.
const POLL_ATTEMPTS: u32 = 600;

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One VM of the system.
#[derive(Debug)]
pub struct Vm {
    /// Process of the VM.
    pub process: Process,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
}

impl Vm {
    /// Client with the API key of the test account.
    #[must_use]
    pub fn caller(&self) -> Client {
        Client::new(self.process.address(), CALLER_KEY)
    }

    /// Client of the operator interface.
    #[must_use]
    pub fn operator(&self) -> Client {
        Client::new(self.operator_address, OPERATOR_TOKEN)
    }

    /// Address of the operator interface.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Address at which peers connect.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Requests a streamed chat completion.
    pub async fn chat(&self, prompt: &str, class: &str) -> Response {
        self.caller().chat(prompt, class).await
    }

    /// Fetches the status document.
    pub async fn status(&self) -> Value {
        self.operator().get("/v1/status").await.json()
    }
}

/// A platform, engines, a plain service and VMs.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The engines.
    pub engines: Vec<Process>,
    /// The plain service.
    pub service: Process,
    vms: Vec<Vm>,
}

impl Fleet {
    /// Starts a fleet and waits until its declaration is in force on all VMs.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or the declaration does not come into force.
    pub async fn start(bin: impl AsRef<Path>, options: FleetOptions) -> Self {
        let bin = bin.as_ref();
        let peers: Vec<SocketAddr> = (0..options.vms).map(|_| free_address()).collect();
        let peer_list: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let vms = ["--vms".to_owned(), peer_list.join(",")];
        let platform = start_emulator(bin, "platform", &vms);
        let slots = ["--slots".to_owned(), options.slots.to_string()];
        let engine_args: Vec<String> = slots.iter().chain(&options.engine_args).cloned().collect();
        let engines: Vec<Process> = (0..options.engines)
            .map(|_| start_emulator(bin, "engine", &engine_args))
            .collect();
        let service = start_emulator(bin, "service", &options.service_args);
        let vms = peers
            .iter()
            .map(|peer| start_vm(bin, *peer, platform.address()))
            .collect();
        let fleet = Self {
            platform,
            engines,
            service,
            vms,
        };
        fleet.apply_declaration(options.slots).await;
        fleet
    }

    async fn apply_declaration(&self, slots: u32) {
        self.wait_until("all VMs are ready", async |fleet: &Self| {
            let mut ready = true;
            for vm in &fleet.vms {
                let operator = Client::new(vm.operator_address, BOOTSTRAP_TOKEN);
                ready &= operator.get("/readyz").await.status == 200;
            }
            ready
        })
        .await;
        let patch = json!([{"op": "replace", "path": "", "value": self.declaration(slots)}]);
        let operator = Client::new(self.vms[0].operator_address, BOOTSTRAP_TOKEN)
            .header("if-match", "\"0\"")
            .header("idempotency-key", "first");
        let response = operator
            .send(hyper::Method::PATCH, "/v1/config", Some(&patch))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
        self.wait_for_version(1).await;
    }

    /// Declaration that the fleet starts with.
    #[must_use]
    pub fn declaration(&self, slots: u32) -> Value {
        let mut engines = json!({});
        for (index, engine) in self.engines.iter().enumerate() {
            engines[format!("engine-{index}")] = server_json(engine.address(), slots);
        }
        let service = json!({"service-0": server_json(self.service.address(), 32)});
        json!({
            "accounts": {
                "tuul": {
                    "key_hashes": [blake3::hash(CALLER_KEY.as_bytes()).to_hex().as_str()],
                    "weight": 1,
                    "classes": ["urgent", "normal", "batch"],
                    "default_class": "normal",
                },
            },
            "classes": {
                "urgent": class_json(0, 5000),
                "normal": class_json(2, 5000),
                "batch": class_json(5, 10000),
            },
            "pools": {
                "chat": {"kind": "engine", "models": ["small"], "servers": engines},
                "forge": {
                    "kind": "service",
                    "routes": [{"prefix": "/pulls", "repeatable": false}],
                    "servers": service,
                },
            },
            "operators": {
                "alice": {
                    "token_hash": blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().as_str(),
                    "role": "drain",
                },
            },
        })
    }

    /// Waits until a configuration version, or a later one, is in force on all VMs.
    pub async fn wait_for_version(&self, version: u64) {
        self.wait_until(
            "the version is in force on all VMs",
            async |fleet: &Self| {
                let mut current = true;
                for vm in &fleet.vms {
                    current &= vm.status().await["config_version"].as_u64() >= Some(version);
                }
                current
            },
        )
        .await;
    }

    /// Waits until every VM counts all VMs in its status.
    pub async fn wait_for_peers(&self) {
        let expected = self.vms.len() as u64;
        self.wait_until("all VMs know each other", async |fleet: &Self| {
            let mut connected = true;
            for vm in &fleet.vms {
                connected &= vm.status().await["vms"].as_u64() == Some(expected);
            }
            connected
        })
        .await;
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold in time.
    pub async fn wait_until(&self, condition: &str, check: impl AsyncFn(&Self) -> bool) {
        for _ in 0..POLL_ATTEMPTS {
            if check(self).await {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting until {condition}");
    }

    /// One VM.
    #[must_use]
    pub fn vm(&self, index: usize) -> &Vm {
        &self.vms[index]
    }

    /// One VM, with mutable access to its process.
    pub fn vm_mut(&mut self, index: usize) -> &mut Vm {
        &mut self.vms[index]
    }

    /// Sets the faults of an emulator.
    ///
    /// # Panics
    ///
    /// Panics if the emulator rejects them.
    pub async fn set_faults(process: &Process, faults: Value) {
        let response = Client::new(process.address(), "")
            .post("/faults", &faults)
            .await;
        assert_eq!(response.status, 204, "{faults}");
    }

    /// Requests that an emulator has run.
    pub async fn runs(process: &Process) -> Vec<Value> {
        let response = Client::new(process.address(), "").get("/ran").await;
        response.json().as_array().cloned().unwrap_or_default()
    }

    /// Requests that all engines have run.
    pub async fn engine_runs(&self) -> Vec<Value> {
        let mut all = Vec::new();
        for engine in &self.engines {
            all.extend(Self::runs(engine).await);
        }
        all
    }
}

fn class_json(tier: u8, first_token_ms: u64) -> Value {
    json!({
        "tier": tier,
        "first_token_ms": first_token_ms,
        "per_token_ms": 33,
        "max_starvation_ms": 4000,
    })
}

fn server_json(address: SocketAddr, slots: u32) -> Value {
    json!({"address": address, "availability_zone": "a", "slots": slots, "checks_fencing": true})
}

fn start_emulator(bin: &Path, kind: &str, args: &[String]) -> Process {
    let address = free_address();
    let mut all = vec!["emulate".to_owned(), kind.to_owned()];
    all.extend(["--listen".to_owned(), address.to_string()]);
    all.extend(args.iter().cloned());
    Process::start(bin, &all, address)
}

fn start_vm(bin: &Path, peer_address: SocketAddr, platform: SocketAddr) -> Vm {
    let listen = free_address();
    let operator_address = free_address();
    let args = [
        "serve".to_owned(),
        format!("--listen={listen}"),
        format!("--operator-listen={operator_address}"),
        format!("--peer-listen={peer_address}"),
        format!("--platform={platform}"),
        "--peer-key=test-peer-key".to_owned(),
        format!("--bootstrap-token={BOOTSTRAP_TOKEN}"),
        "--log-level=error".to_owned(),
    ];
    Vm {
        process: Process::start(bin, &args, listen),
        operator_address,
        peer_address,
    }
}
