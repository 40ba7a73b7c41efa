//! Cost of the decision core against the sizes that grow: accounts, servers, VMs, queues.
//!
//! These are times of this machine, for `docs/CAPACITY.md`; no test has bounds on them.

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

/// Sizes of one measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sizes {
    /// Client accounts that are declared and used.
    pub accounts: usize,
    /// Backend servers of the pool.
    pub servers: usize,
    /// Peers that send digests.
    pub peers: usize,
}

/// Times of one measurement, in nanoseconds an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Costs {
    /// A whole request without its frames: arrival, dispatch, end.
    pub request_ns: u64,
    /// One frame of an answer.
    pub frame_ns: u64,
    /// One digest of a peer.
    pub digest_ns: u64,
}

const REQUESTS: u64 = 20_000;
const FRAMES_PER_REQUEST: u64 = 8;
const DIGESTS: u64 = 2_000;
const POOL: &str = "pool";

fn declaration(sizes: Sizes) -> Declaration {
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

struct Run {
    node: Node,
    now: Timestamp,
    actions: Vec<Action>,
}

impl Run {
    fn new(sizes: Sizes) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        let mut run = Self {
            node: Node::new(NodeOptions::new(1, address)),
            now: Duration::from_secs(10),
            actions: Vec::new(),
        };
        run.send(Event::ConfigReceived(Arc::new(VersionRow {
            version: 1,
            patch_id: Arc::from("slopes"),
            operator: Arc::from("slopes"),
            accepted_ms: 0,
            declaration: Arc::new(declaration(sizes)),
        })));
        run
    }

    fn send(&mut self, event: Event) {
        self.actions.clear();
        self.node.handle(self.now, event, &mut self.actions);
    }

    fn request(&mut self, id: RequestId, sizes: Sizes) {
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

fn per_event(elapsed: Duration, events: u64) -> u64 {
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX) / events.max(1)
}

/// Measures the costs at some sizes.
#[must_use]
pub fn measure(sizes: Sizes) -> Costs {
    let mut run = Run::new(sizes);
    let mut request_time = Duration::ZERO;
    let mut frame_time = Duration::ZERO;
    for id in 1..=u128::from(REQUESTS) {
        run.now += Duration::from_millis(1);
        let begun = Instant::now();
        run.request(id, sizes);
        request_time += begun.elapsed();
        let begun = Instant::now();
        for seq in 0..FRAMES_PER_REQUEST {
            run.send(Event::Frame(Frame {
                request: id,
                attempt: 1,
                seq,
                tokens: 1,
            }));
        }
        frame_time += begun.elapsed();
        let begun = Instant::now();
        run.finish(id);
        request_time += begun.elapsed();
    }
    Costs {
        request_ns: per_event(request_time, REQUESTS),
        frame_ns: per_event(frame_time, REQUESTS * FRAMES_PER_REQUEST),
        digest_ns: digest_cost(&mut run, sizes),
    }
}

fn digest_cost(run: &mut Run, sizes: Sizes) -> u64 {
    let tag = pool_tag(&Arc::from(POOL));
    let mut demand = Demand::default();
    demand.running[0] = u32::try_from(sizes.servers).unwrap_or(u32::MAX);
    let mut digests = Vec::new();
    for index in 0..DIGESTS {
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
    let begun = Instant::now();
    for digest in digests {
        run.now += Duration::from_millis(1);
        run.send(Event::Digest(digest));
    }
    per_event(begun.elapsed(), DIGESTS)
}

/// Memory of this process in bytes; `None` where the system does not count it.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Memory that a node takes at some sizes with this many requests in flight; `None` where the
/// system does not count it.
#[must_use]
pub fn memory(sizes: Sizes, in_flight: u64) -> Option<u64> {
    let before = resident_bytes()?;
    let mut run = Run::new(sizes);
    for id in 1..=u128::from(in_flight) {
        run.request(id, sizes);
    }
    let after = resident_bytes()?;
    drop(run);
    Some(after.saturating_sub(before))
}
