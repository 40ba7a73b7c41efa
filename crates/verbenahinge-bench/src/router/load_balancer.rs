//! Baseline load balancers that dispatch every request immediately and refuse none.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahinge_core::{
    Action, Attempt, Dispatch, DispatchMode, Event, PoolName, Request, RequestId, ServerName,
};

use crate::deployment::Deployment;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: Attempt = 3;

/// How a load balancer selects the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Selection {
    /// The next server in turn, with one counter per VM for all pools.
    RoundRobin,
    /// The less loaded of two random servers, counting only the VM's own requests.
    TwoChoices,
}

struct ActiveRequest {
    request: Request,
    attempt: Attempt,
    server: ServerName,
    next_seq: u64,
}

/// State of the load balancer on one VM.
#[derive(Default)]
struct BalancerState {
    round_robin_index: usize,
    active_by_server: BTreeMap<ServerName, u32>,
    active_requests: BTreeMap<RequestId, ActiveRequest>,
}

pub(crate) struct LoadBalancer {
    selection: Selection,
    pools: BTreeMap<PoolName, Vec<ServerName>>,
    vms: Vec<BalancerState>,
    rng: ChaCha8Rng,
}

impl LoadBalancer {
    pub(crate) fn new(deployment: &Deployment, selection: Selection, seed: u64) -> Self {
        let mut pools = BTreeMap::new();
        for (name, pool) in &deployment.declaration.pools {
            pools.insert(name.clone(), pool.servers.keys().cloned().collect());
        }
        Self {
            selection,
            pools,
            vms: deployment
                .vms
                .iter()
                .map(|_| BalancerState::default())
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn handle(&mut self, vm: usize, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(request) => self.dispatch(vm, request, 1, 0),
            Event::Frame(frame) => {
                let Some(active) = self.vms[vm].active_requests.get_mut(&frame.request) else {
                    return Vec::new();
                };
                if active.attempt != frame.attempt || active.next_seq != frame.seq {
                    return Vec::new();
                }
                active.next_seq += 1;
                vec![Action::Relay(frame.request)]
            }
            Event::Finished {
                request, attempt, ..
            } => match self.take_active(vm, request, attempt) {
                Some(_) => vec![Action::Finish(request)],
                None => Vec::new(),
            },
            Event::Failed {
                request, attempt, ..
            } => match self.take_active(vm, request, attempt) {
                Some(active) if attempt < MAX_ATTEMPTS => {
                    self.dispatch(vm, active.request, attempt + 1, active.next_seq)
                }
                _ => Vec::new(),
            },
            Event::CallerGone(request) => self.cancel(vm, request),
            _ => Vec::new(),
        }
    }

    /// Removes a request if `attempt` is its current attempt.
    fn take_active(
        &mut self,
        vm: usize,
        request: RequestId,
        attempt: Attempt,
    ) -> Option<ActiveRequest> {
        let state = &mut self.vms[vm];
        if state.active_requests.get(&request)?.attempt != attempt {
            return None;
        }
        let active = state.active_requests.remove(&request)?;
        if let Some(count) = state.active_by_server.get_mut(&active.server) {
            *count -= 1;
        }
        Some(active)
    }

    fn cancel(&mut self, vm: usize, request: RequestId) -> Vec<Action> {
        let Some(attempt) = self.vms[vm]
            .active_requests
            .get(&request)
            .map(|active| active.attempt)
        else {
            return Vec::new();
        };
        match self.take_active(vm, request, attempt) {
            Some(active) => vec![Action::Cancel {
                request,
                attempt,
                server: active.server,
            }],
            None => Vec::new(),
        }
    }

    fn dispatch(&mut self, vm: usize, request: Request, attempt: Attempt, seq: u64) -> Vec<Action> {
        let server = self.select_server(vm, &request.pool);
        let state = &mut self.vms[vm];
        *state.active_by_server.entry(server.clone()).or_default() += 1;
        let mode = match seq {
            0 => DispatchMode::Fresh,
            delivered => DispatchMode::Continue { delivered },
        };
        let new_dispatch = Dispatch {
            request: request.id,
            attempt,
            server: server.clone(),
            mode,
            tier: 0,
            guaranteed: false,
        };
        let active = ActiveRequest {
            request,
            attempt,
            server,
            next_seq: seq,
        };
        state.active_requests.insert(active.request.id, active);
        vec![Action::Dispatch(new_dispatch)]
    }

    fn select_server(&mut self, vm: usize, pool: &PoolName) -> ServerName {
        let servers = &self.pools[pool];
        let state = &mut self.vms[vm];
        match self.selection {
            Selection::RoundRobin => {
                state.round_robin_index += 1;
                Arc::clone(&servers[state.round_robin_index % servers.len()])
            }
            Selection::TwoChoices => {
                let first = &servers[self.rng.random_range(0..servers.len())];
                let second = &servers[self.rng.random_range(0..servers.len())];
                let load = |name| state.active_by_server.get(name).copied().unwrap_or(0);
                if load(second) < load(first) {
                    Arc::clone(second)
                } else {
                    Arc::clone(first)
                }
            }
        }
    }
}
