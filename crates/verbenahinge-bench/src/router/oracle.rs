//! Upper bound: one queue for all VMs that knows everything at once.
//!
//! It sees every slot without delay, knows which prompt prefixes each engine holds and how long
//! each answer will be, and gives up a request only at the last moment at which it could still
//! meet its target.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::{
    Action, Attempt, Dispatch, DispatchMode, Event, FailureKind, PoolName, Refusal, RefusalReason,
    Request, RequestId, ServerName, Tier, Timestamp,
};

use crate::deployment::{Deployment, ENGINE_POOL};
use crate::fake_engine::PREFILL_TOKENS_PER_S;
use crate::trace::{Arrival, Trace};

/// Conversations that the oracle remembers for each engine.
const REMEMBERED: usize = 64;

/// Order of the queue: by tier, and the request with the most time left first, so that those
/// that are begun can be ended in time.
type QueueKey = (Tier, Reverse<Timestamp>, RequestId);

struct Waiting {
    request: Request,
    latest: Timestamp,
    attempt: Attempt,
    seq: u64,
}

struct Running {
    request: Request,
    server: ServerName,
    attempt: Attempt,
    next_seq: u64,
}

#[derive(Default)]
struct Server {
    slots: u32,
    used: u32,
    down: bool,
    conversations: Vec<u64>,
}

pub(crate) struct OracleRouter {
    deployment: Deployment,
    arrivals: BTreeMap<(Timestamp, u64), Arrival>,
    servers: BTreeMap<PoolName, BTreeMap<ServerName, Server>>,
    waiting: BTreeMap<PoolName, BTreeMap<QueueKey, Waiting>>,
    running: BTreeMap<RequestId, Running>,
}

impl OracleRouter {
    pub(crate) fn new(deployment: &Deployment, trace: &Trace) -> Self {
        let mut servers = BTreeMap::new();
        for (name, pool) in &deployment.declaration.pools {
            let mut states = BTreeMap::new();
            for (server, declared) in &pool.servers {
                let state = Server {
                    slots: declared.slots,
                    ..Server::default()
                };
                states.insert(server.clone(), state);
            }
            servers.insert(name.clone(), states);
        }
        let mut arrivals = BTreeMap::new();
        for arrival in &trace.arrivals {
            arrivals.insert((arrival.at, arrival.conversation), arrival.clone());
        }
        Self {
            deployment: deployment.clone(),
            arrivals,
            servers,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.arrived(now, request, &mut actions),
            Event::Frame(frame) => {
                let running = self.running.get_mut(&frame.request);
                if let Some(running) = running.filter(|run| run.attempt == frame.attempt) {
                    running.next_seq += 1;
                    actions.push(Action::Relay(frame.request));
                }
            }
            Event::Finished { request, .. } => {
                if let Some(run) = self.free(request) {
                    actions.push(Action::Finish(request));
                    self.pump(now, &run.request.pool, &mut actions);
                }
            }
            Event::Failed { request, kind, .. } => self.failed(now, request, kind, &mut actions),
            Event::CallerGone(request) => {
                if let Some(run) = self.free(request) {
                    actions.push(Action::Cancel {
                        request,
                        attempt: run.attempt,
                        server: run.server,
                    });
                }
            }
            _ => {}
        }
        actions
    }

    fn arrived(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        let class = &self.deployment.declaration.classes[&request.class];
        let prefill = f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_S;
        let known = self.arrivals.get(&(now, request.prefix_hash));
        let shared = known.map_or(0.0, |arrival| f64::from(arrival.prefix_tokens));
        let least = prefill - shared / PREFILL_TOKENS_PER_S;
        let hops = self.deployment.network_delay * 2;
        let spent = Duration::from_secs_f64(least.max(0.0)) + hops;
        let latest = now + class.first_token().saturating_sub(spent);
        let pool = request.pool.clone();
        let waiting = Waiting {
            request,
            latest,
            attempt: 1,
            seq: 0,
        };
        self.enqueue(waiting);
        self.pump(now, &pool, actions);
    }

    fn enqueue(&mut self, waiting: Waiting) {
        let tier = self.deployment.tier(&waiting.request.class);
        let key = (tier, Reverse(waiting.latest), waiting.request.id);
        let queue = self
            .waiting
            .entry(waiting.request.pool.clone())
            .or_default();
        queue.insert(key, waiting);
    }

    fn failed(
        &mut self,
        now: Timestamp,
        request: RequestId,
        kind: FailureKind,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.free(request) else {
            return;
        };
        let pool = run.request.pool.clone();
        if kind != FailureKind::Rejected
            && let Some(server) = self
                .servers
                .get_mut(&pool)
                .and_then(|servers| servers.get_mut(&run.server))
        {
            server.down = true;
        }
        self.enqueue(Waiting {
            request: run.request,
            latest: now + Duration::from_secs(1),
            attempt: run.attempt + 1,
            seq: run.next_seq,
        });
        self.pump(now, &pool, actions);
    }

    fn free(&mut self, request: RequestId) -> Option<Running> {
        let run = self.running.remove(&request)?;
        let servers = self.servers.get_mut(&run.request.pool)?;
        servers.get_mut(&run.server)?.used -= 1;
        Some(run)
    }

    fn pump(&mut self, now: Timestamp, pool: &PoolName, actions: &mut Vec<Action>) {
        loop {
            let Some(queue) = self.waiting.get_mut(pool) else {
                return;
            };
            let Some((key, waiting)) = queue.pop_first() else {
                return;
            };
            if waiting.latest < now {
                actions.push(Action::Refuse {
                    request: waiting.request.id,
                    refusal: Refusal::new(RefusalReason::Overloaded),
                });
                continue;
            }
            let Some(server) = self.best_server(pool, waiting.request.prefix_hash) else {
                if let Some(queue) = self.waiting.get_mut(pool) {
                    queue.insert(key, waiting);
                }
                return;
            };
            self.dispatch(key.0, waiting, server, actions);
        }
    }

    /// The server with a free slot that holds the prefix, or the emptiest one.
    fn best_server(&self, pool: &PoolName, conversation: u64) -> Option<ServerName> {
        let mut best: Option<(bool, u32, &ServerName)> = None;
        for (name, server) in &self.servers[pool] {
            if server.down || server.used >= server.slots {
                continue;
            }
            let key = (
                !server.conversations.contains(&conversation),
                server.used,
                name,
            );
            if best.is_none_or(|other| key < other) {
                best = Some(key);
            }
        }
        best.map(|(_, _, name)| name.clone())
    }

    fn dispatch(
        &mut self,
        tier: Tier,
        waiting: Waiting,
        name: ServerName,
        actions: &mut Vec<Action>,
    ) {
        let request = waiting.request;
        let servers = self.servers.get_mut(&request.pool);
        if let Some(server) = servers.and_then(|servers| servers.get_mut(&name)) {
            server.used += 1;
            let known = &mut server.conversations;
            known.retain(|&conversation| conversation != request.prefix_hash);
            known.push(request.prefix_hash);
            if known.len() > REMEMBERED {
                known.remove(0);
            }
        }
        let mode = match waiting.seq {
            0 => DispatchMode::Fresh,
            delivered => DispatchMode::Continue { delivered },
        };
        actions.push(Action::Dispatch(Dispatch {
            request: request.id,
            attempt: waiting.attempt,
            server: name.clone(),
            mode,
            tier: if &*request.pool == ENGINE_POOL {
                tier
            } else {
                0
            },
            floor: false,
        }));
        let run = Running {
            server: name,
            attempt: waiting.attempt,
            next_seq: waiting.seq,
            request,
        };
        self.running.insert(run.request.id, run);
    }
}
