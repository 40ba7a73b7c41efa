//! The two simulated deployments: their declarations, topology and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};
use verbenahinge_core::Declaration;
use verbenahinge_core::declaration::{Account, Class, Pool, PoolKind, Server};

/// Name of a simulated deployment.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DeploymentName {
    /// Tuul Commons Dependency Co-operative, Ulaanbaatar.
    Tuul,
    /// Layette Partagée Dakar.
    Layette,
}

/// Requests that one class sends and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Name of the class.
    pub class: &'static str,
    /// Pool that serves it.
    pub pool: &'static str,
    /// Load at a scenario load of 1: a fraction of the engines' capacity, or requests per second
    /// for plain services.
    pub base_load: f64,
    /// Mean number of prompt tokens.
    pub prompt_tokens: u32,
    /// Fraction of the prompt that the turns of one conversation share.
    pub prefix_ratio: f64,
    /// Number of turns in one conversation.
    pub turns: u64,
    /// Median number of output tokens; zero for plain services.
    pub median_output_tokens: f64,
    /// Sigma of the log-normal distribution of the output length.
    pub output_sigma: f64,
    /// Mean time that a plain service takes for a request; zero for engines.
    pub service_time: Duration,
}

/// Declaration, topology and load of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Accounts, classes and pools as operators declare them.
    pub declaration: Arc<Declaration>,
    /// Addresses of the VMs.
    pub vms: Vec<SocketAddr>,
    /// Number of availability zones.
    pub zone_count: usize,
    /// One-way network delay between two processes.
    pub network_delay: Duration,
    /// Load of each class.
    pub class_loads: Vec<ClassLoad>,
}

/// Name of the pool of model engines.
pub(crate) const ENGINE_POOL: &str = "engines";

/// Name of the pool of plain services.
pub(crate) const FRONT_POOL: &str = "front";

/// Slots that are declared for one engine.
pub(crate) const ENGINE_SLOTS: u32 = 8;

const FRONT_SLOTS: u32 = 16;
const FRONT_SERVER_COUNT: usize = 4;
const ZONE_COUNT: usize = 4;
const VM_COUNT: usize = 9;

/// Number of client accounts in a deployment; the first two have three times the weight of the
/// others.
pub(crate) const ACCOUNT_COUNT: usize = 10;

fn class(tier: u8, first_token_ms: u64, per_token_ms: u64, max_starvation_ms: u64) -> Class {
    Class {
        tier,
        first_token_ms,
        per_token_ms,
        max_starvation_ms,
    }
}

fn servers(prefix: &str, count: usize, slots: u32, first_port: u16) -> BTreeMap<Arc<str>, Server> {
    let mut servers = BTreeMap::new();
    for index in 0..count {
        let name = Arc::from(format!("{prefix}-{index:03}"));
        let offset = u16::try_from(index).unwrap_or(0);
        let server = Server {
            address: SocketAddr::from(([127, 0, 0, 1], first_port + offset)),
            availability_zone: Arc::from(format!("zone-{}", index % ZONE_COUNT)),
            slots,
            checks_fencing: true,
        };
        servers.insert(name, server);
    }
    servers
}

fn pool(kind: PoolKind, servers: BTreeMap<Arc<str>, Server>) -> Pool {
    let models = match kind {
        PoolKind::Engine => vec![Arc::from("model")],
        PoolKind::Service => Vec::new(),
    };
    Pool {
        kind,
        models,
        routes: Vec::new(),
        servers,
    }
}

fn declaration(classes: Vec<(&str, Class)>, engine_count: usize) -> Declaration {
    let names: Vec<Arc<str>> = classes.iter().map(|(name, _)| Arc::from(*name)).collect();
    let mut accounts = BTreeMap::new();
    for index in 0..ACCOUNT_COUNT {
        let account = Account {
            key_hashes: Vec::new(),
            weight: if index < 2 { 3 } else { 1 },
            classes: names.clone(),
            default_class: names[0].clone(),
            max_in_flight: None,
        };
        accounts.insert(Arc::from(format!("account-{index}")), account);
    }
    let engine_servers = servers("engine", engine_count, ENGINE_SLOTS, 20_000);
    let front_servers = servers("front", FRONT_SERVER_COUNT, FRONT_SLOTS, 30_000);
    Declaration {
        accounts,
        classes: classes
            .into_iter()
            .map(|(name, class)| (Arc::from(name), class))
            .collect(),
        pools: BTreeMap::from([
            (
                Arc::from(ENGINE_POOL),
                pool(PoolKind::Engine, engine_servers),
            ),
            (
                Arc::from(FRONT_POOL),
                pool(PoolKind::Service, front_servers),
            ),
        ]),
        operators: BTreeMap::new(),
    }
}

const fn engine_load(
    class: &'static str,
    base_load: f64,
    prompt_tokens: u32,
    prefix_ratio: f64,
    turns: u64,
    median_output_tokens: f64,
) -> ClassLoad {
    ClassLoad {
        class,
        pool: ENGINE_POOL,
        base_load,
        prompt_tokens,
        prefix_ratio,
        turns,
        median_output_tokens,
        output_sigma: 0.8,
        service_time: Duration::ZERO,
    }
}

const fn front_load(class: &'static str, base_load: f64, service_ms: u64) -> ClassLoad {
    ClassLoad {
        class,
        pool: FRONT_POOL,
        base_load,
        prompt_tokens: 0,
        prefix_ratio: 0.0,
        turns: 1,
        median_output_tokens: 0.0,
        output_sigma: 0.0,
        service_time: Duration::from_millis(service_ms),
    }
}

impl Deployment {
    /// Creates the deployment with the given name.
    #[must_use]
    pub fn new(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Tuul => Self::tuul(),
            DeploymentName::Layette => Self::layette(),
        }
    }

    fn tuul() -> Self {
        let classes = vec![
            ("security-bump", class(0, 610, 33, 2000)),
            ("status-ping", class(1, 200, 40, 1000)),
            ("webhook-ack", class(1, 200, 40, 1000)),
            ("review-summary", class(2, 2000, 40, 5000)),
            ("ci-call", class(5, 4000, 60, 10_000)),
        ];
        let loads = vec![
            engine_load("security-bump", 0.2, 800, 0.5, 6, 120.0),
            engine_load("review-summary", 0.5, 2000, 0.7, 6, 150.0),
            engine_load("ci-call", 0.3, 400, 0.2, 6, 60.0),
            front_load("status-ping", 250.0, 20),
            front_load("webhook-ack", 250.0, 30),
        ];
        Self::assemble(declaration(classes, 50), Duration::from_micros(1500), loads)
    }

    fn layette() -> Self {
        let classes = vec![
            ("match-reply", class(0, 610, 33, 2000)),
            ("bundle-confirmation", class(1, 300, 40, 1000)),
            ("volunteer-draft", class(3, 3000, 40, 5000)),
            ("history-reading", class(5, 8000, 60, 10_000)),
        ];
        let loads = vec![
            engine_load("match-reply", 0.2, 600, 0.5, 6, 80.0),
            engine_load("volunteer-draft", 0.4, 1200, 0.6, 6, 140.0),
            engine_load("history-reading", 0.4, 8000, 0.97, 30, 200.0),
            front_load("bundle-confirmation", 300.0, 40),
        ];
        Self::assemble(declaration(classes, 65), Duration::from_micros(500), loads)
    }

    fn assemble(
        declaration: Declaration,
        network_delay: Duration,
        class_loads: Vec<ClassLoad>,
    ) -> Self {
        let vms = (0..VM_COUNT)
            .map(|vm| SocketAddr::from(([127, 0, 0, 1], 10_000 + u16::try_from(vm).unwrap_or(0))))
            .collect();
        Self {
            declaration: Arc::new(declaration),
            vms,
            zone_count: ZONE_COUNT,
            network_delay,
            class_loads,
        }
    }

    /// Total number of slots of all engines.
    #[must_use]
    pub fn engine_slots(&self) -> u32 {
        self.declaration.pools[ENGINE_POOL].slots()
    }

    /// Returns the tier of a class.
    #[must_use]
    pub fn tier(&self, class: &str) -> u8 {
        self.declaration.classes[class].tier
    }
}
