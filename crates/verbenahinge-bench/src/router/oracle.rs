//! Oracle router, an upper bound for comparison: one queue for all VMs.
//!
//! It sees the slots of every server without delay, tracks which conversations each engine has
//! cached and knows the shared prefix of each prompt from the trace. It refuses a request only
//! once it can no longer meet its first-token target; after a failed attempt, a request can wait
//! one second for the next one.

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

/// Number of conversations that are assumed to be cached on a server.
const MAX_CACHED_CONVERSATIONS: usize = 64;

/// Queue order: by tier, then the request with the most time left first, so that requests that
/// are started can finish in time.
type QueueKey = (Tier, Reverse<Timestamp>, RequestId);

struct WaitingRequest {
    request: Request,
    /// Time after which the request is refused instead of dispatched.
    latest_start: Timestamp,
    attempt: Attempt,
    next_seq: u64,
}

struct RunningRequest {
    request: Request,
    server: ServerName,
    attempt: Attempt,
    next_seq: u64,
}

#[derive(Default)]
struct ServerState {
    slots: u32,
    used: u32,
    down: bool,
    /// Conversations that are assumed to be cached, the most recently used last.
    conversations: Vec<u64>,
}

pub(crate) struct OracleRouter {
    deployment: Deployment,
    arrivals: BTreeMap<(Timestamp, u64), Arrival>,
    servers: BTreeMap<PoolName, BTreeMap<ServerName, ServerState>>,
    waiting: BTreeMap<PoolName, BTreeMap<QueueKey, WaitingRequest>>,
    running: BTreeMap<RequestId, RunningRequest>,
}

impl OracleRouter {
    pub(crate) fn new(deployment: &Deployment, trace: &Trace) -> Self {
        let mut servers = BTreeMap::new();
        for (name, pool) in &deployment.declaration.pools {
            let mut states = BTreeMap::new();
            for (server, declared) in &pool.servers {
                let state = ServerState {
                    slots: declared.slots,
                    ..ServerState::default()
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
            Event::Arrived(request) => self.handle_arrival(now, request, &mut actions),
            Event::Frame(frame) => {
                let running = self.running.get_mut(&frame.request);
                if let Some(running) = running.filter(|running| running.attempt == frame.attempt) {
                    running.next_seq += 1;
                    actions.push(Action::Relay(frame.request));
                }
            }
            Event::Finished { request, .. } => {
                if let Some(running) = self.release(request) {
                    actions.push(Action::Finish(request));
                    self.dispatch_waiting(now, &running.request.pool, &mut actions);
                }
            }
            Event::Failed { request, kind, .. } => self.requeue(now, request, kind, &mut actions),
            Event::CallerGone(request) => {
                if let Some(running) = self.release(request) {
                    actions.push(Action::Cancel {
                        request,
                        attempt: running.attempt,
                        server: running.server,
                    });
                }
            }
            _ => {}
        }
        actions
    }

    fn handle_arrival(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        let class = &self.deployment.declaration.classes[&request.class];
        let prefill_s = f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_S;
        let traced = self.arrivals.get(&(now, request.prefix_hash));
        let shared_tokens = traced.map_or(0.0, |arrival| f64::from(arrival.prefix_tokens));
        let min_prefill_s = prefill_s - shared_tokens / PREFILL_TOKENS_PER_S;
        let round_trip = self.deployment.network_delay * 2;
        let min_latency = Duration::from_secs_f64(min_prefill_s.max(0.0)) + round_trip;
        let latest_start = now + class.first_token().saturating_sub(min_latency);
        let pool = request.pool.clone();
        let waiting = WaitingRequest {
            request,
            latest_start,
            attempt: 1,
            next_seq: 0,
        };
        self.enqueue(waiting);
        self.dispatch_waiting(now, &pool, actions);
    }

    fn enqueue(&mut self, waiting: WaitingRequest) {
        let tier = self.deployment.tier(&waiting.request.class);
        let key = (tier, Reverse(waiting.latest_start), waiting.request.id);
        let queue = self
            .waiting
            .entry(waiting.request.pool.clone())
            .or_default();
        queue.insert(key, waiting);
    }

    /// Queues a failed request again and takes its server out of use unless the server rejected it.
    fn requeue(
        &mut self,
        now: Timestamp,
        request: RequestId,
        kind: FailureKind,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.release(request) else {
            return;
        };
        let pool = running.request.pool.clone();
        if kind != FailureKind::Rejected
            && let Some(server) = self
                .servers
                .get_mut(&pool)
                .and_then(|servers| servers.get_mut(&running.server))
        {
            server.down = true;
        }
        self.enqueue(WaitingRequest {
            request: running.request,
            latest_start: now + Duration::from_secs(1),
            attempt: running.attempt + 1,
            next_seq: running.next_seq,
        });
        self.dispatch_waiting(now, &pool, actions);
    }

    /// Removes a running request and frees its slot.
    fn release(&mut self, request: RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(&request)?;
        let servers = self.servers.get_mut(&running.request.pool)?;
        servers.get_mut(&running.server)?.used -= 1;
        Some(running)
    }

    /// Dispatches waiting requests while servers have free slots; refuses those that are too late.
    fn dispatch_waiting(&mut self, now: Timestamp, pool: &PoolName, actions: &mut Vec<Action>) {
        loop {
            let Some(queue) = self.waiting.get_mut(pool) else {
                return;
            };
            let Some((key, waiting)) = queue.pop_first() else {
                return;
            };
            if waiting.latest_start < now {
                actions.push(Action::Refuse {
                    request: waiting.request.id,
                    refusal: Refusal::new(RefusalReason::Overloaded),
                });
                continue;
            }
            let Some(server) = self.select_server(pool, waiting.request.prefix_hash) else {
                if let Some(queue) = self.waiting.get_mut(pool) {
                    queue.insert(key, waiting);
                }
                return;
            };
            self.dispatch(key.0, waiting, server, actions);
        }
    }

    /// Prefers servers that have the conversation cached, then those with the fewest used slots.
    fn select_server(&self, pool: &PoolName, conversation: u64) -> Option<ServerName> {
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
        waiting: WaitingRequest,
        name: ServerName,
        actions: &mut Vec<Action>,
    ) {
        let request = waiting.request;
        let servers = self.servers.get_mut(&request.pool);
        if let Some(server) = servers.and_then(|servers| servers.get_mut(&name)) {
            server.used += 1;
            let conversations = &mut server.conversations;
            conversations.retain(|&conversation| conversation != request.prefix_hash);
            conversations.push(request.prefix_hash);
            if conversations.len() > MAX_CACHED_CONVERSATIONS {
                conversations.remove(0);
            }
        }
        let mode = match waiting.next_seq {
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
            guaranteed: false,
        }));
        let running = RunningRequest {
            server: name,
            attempt: waiting.attempt,
            next_seq: waiting.next_seq,
            request,
        };
        self.running.insert(running.request.id, running);
    }
}
