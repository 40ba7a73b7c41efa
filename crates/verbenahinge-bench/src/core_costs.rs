//! Time and memory costs of the decision core by number of client accounts, backend servers, peers
//! and requests in flight.
//!
//! The results depend on the machine; they are for `docs/CAPACITY.md`, and no test sets bounds on
//! them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::declaration::{Account, Class, Pool, PoolKind, Server};
use verbenahinge_core::digest::{Digest, PoolDemand, pool_tag};
use verbenahinge_core::shares::Demand;
use verbenahinge_core::{
    Action, Declaration, Event, Frame, Node, NodeOptions, Request, RequestId, Timestamp,
};

/// Dimensions of a deployment for one measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoreSizes {
    /// Number of client accounts, all of which send requests.
    pub accounts: usize,
    /// Number of backend servers in the pool.
    pub servers: usize,
    /// Number of peers that send digests.
    pub peers: usize,
}

/// Mean processing times in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CoreCosts {
    /// Time per request for its arrival, dispatch and end, without its frames.
    pub request_ns: u64,
    /// Time per frame of an answer.
    pub frame_ns: u64,
    /// Time per digest of a peer.
    pub digest_ns: u64,
}

const REQUEST_COUNT: u64 = 20_000;
const FRAMES_PER_REQUEST: u64 = 8;
const DIGEST_COUNT: u64 = 2_000;
const POOL: &str = "pool";

fn declaration(sizes: CoreSizes) -> Declaration {
    let class = Class {
        tier: 0,
        first_token_ms: 610,
        per_token_ms: 33,
        max_starvation_ms: 2000,
    };
    let account = Account {
        key_hashes: Vec::new(),
        weight: 1,
        classes: vec![Arc::from("class")],
        default_class: Arc::from("class"),
        max_in_flight: None,
    };
    let mut servers = BTreeMap::new();
    for index in 0..sizes.servers {
        let server = Server {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            availability_zone: Arc::from("a"),
            slots: 8,
            checks_fencing: true,
        };
        servers.insert(Arc::from(format!("server-{index:05}")), server);
    }
    let pool = Pool {
        kind: PoolKind::Engine,
        models: vec![Arc::from("model")],
        routes: Vec::new(),
        servers,
    };
    let mut declaration = Declaration::default();
    declaration.classes.insert(Arc::from("class"), class);
    declaration.pools.insert(Arc::from(POOL), pool);
    for index in 0..sizes.accounts {
        let name = Arc::from(format!("account-{index:05}"));
        declaration.accounts.insert(name, account.clone());
    }
    declaration
}

/// Node under measurement with its virtual time.
struct NodeDriver {
    node: Node,
    now: Timestamp,
    actions: Vec<Action>,
}

impl NodeDriver {
    fn new(sizes: CoreSizes) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        let mut driver = Self {
            node: Node::new(NodeOptions::new(1, address)),
            now: Duration::from_secs(10),
            actions: Vec::new(),
        };
        driver.send(Event::ConfigReceived(Arc::new(VersionRow {
            version: 1,
            patch_id: Arc::from("slopes"),
            operator: Arc::from("slopes"),
            accepted_ms: 0,
            declaration: Arc::new(declaration(sizes)),
        })));
        driver
    }

    fn send(&mut self, event: Event) {
        self.actions.clear();
        self.node.handle(self.now, event, &mut self.actions);
    }

    fn submit(&mut self, id: RequestId, sizes: CoreSizes) {
        let account = usize::try_from(id).unwrap_or(0) % sizes.accounts;
        let account = Arc::<str>::from(format!("account-{account:05}"));
        let request = Request::new(id, account, "class", POOL);
        self.send(Event::Arrived(request));
    }

    fn finish(&mut self, request: RequestId) {
        self.send(Event::Finished {
            request,
            attempt: 1,
            outcome: None,
        });
    }
}

fn nanos_per_event(elapsed: Duration, event_count: u64) -> u64 {
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX) / event_count.max(1)
}

/// Measures the processing times of a node at the given sizes.
#[must_use]
pub fn measure_core(sizes: CoreSizes) -> CoreCosts {
    let mut driver = NodeDriver::new(sizes);
    let mut request_time = Duration::ZERO;
    let mut frame_time = Duration::ZERO;
    for id in 1..=u128::from(REQUEST_COUNT) {
        driver.now += Duration::from_millis(1);
        let started = Instant::now();
        driver.submit(id, sizes);
        request_time += started.elapsed();
        let started = Instant::now();
        for seq in 0..FRAMES_PER_REQUEST {
            driver.send(Event::Frame(Frame {
                request: id,
                attempt: 1,
                seq,
                tokens: 1,
            }));
        }
        frame_time += started.elapsed();
        let started = Instant::now();
        driver.finish(id);
        request_time += started.elapsed();
    }
    CoreCosts {
        request_ns: nanos_per_event(request_time, REQUEST_COUNT),
        frame_ns: nanos_per_event(frame_time, REQUEST_COUNT * FRAMES_PER_REQUEST),
        digest_ns: measure_digests(&mut driver, sizes),
    }
}

fn measure_digests(driver: &mut NodeDriver, sizes: CoreSizes) -> u64 {
    let tag = pool_tag(&Arc::from(POOL));
    let mut demand = Demand::default();
    demand.running[0] = u32::try_from(sizes.servers).unwrap_or(u32::MAX);
    let mut digests = Vec::new();
    for index in 0..DIGEST_COUNT {
        digests.push(Digest {
            vm: 2 + index % sizes.peers as u64,
            seq: 1 + index,
            config_version: 1,
            leaving: false,
            demands: vec![PoolDemand {
                pool: tag,
                demand,
                by_server: vec![1; sizes.servers],
            }],
            crashes: Vec::new(),
        });
    }
    let started = Instant::now();
    for digest in digests {
        driver.now += Duration::from_millis(1);
        driver.send(Event::Digest(digest));
    }
    nanos_per_event(started.elapsed(), DIGEST_COUNT)
}

/// Returns the resident memory of this process in bytes; `None` on systems without
/// `/proc/self/statm`.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Measures by how many bytes resident memory grows for a node with the given number of requests in
/// flight; `None` on systems without `/proc/self/statm`.
#[must_use]
pub fn measure_memory(sizes: CoreSizes, in_flight: u64) -> Option<u64> {
    let before = resident_bytes()?;
    let mut driver = NodeDriver::new(sizes);
    for id in 1..=u128::from(in_flight) {
        driver.submit(id, sizes);
    }
    let after = resident_bytes()?;
    drop(driver);
    Some(after.saturating_sub(before))
}
