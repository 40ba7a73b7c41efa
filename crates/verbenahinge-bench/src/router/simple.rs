//! Baselines that send every request on at once and refuse nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahinge_core::{
    Action, Attempt, Dispatch, DispatchMode, Event, PoolName, Request, RequestId, ServerName,
};

use crate::deployment::Deployment;

/// Attempts of one request at most.
const ATTEMPT_LIMIT: Attempt = 3;

/// How a baseline chooses the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    NextInTurn,
    BetterOfTwo,
}

struct Flight {
    request: Request,
    attempt: Attempt,
    server: ServerName,
    next_seq: u64,
}

#[derive(Default)]
struct VmState {
    next: usize,
    in_flight: BTreeMap<ServerName, u32>,
    flights: BTreeMap<RequestId, Flight>,
}

pub(crate) struct SimpleRouter {
    choice: Choice,
    pools: BTreeMap<PoolName, Vec<ServerName>>,
    vms: Vec<VmState>,
    rng: ChaCha8Rng,
}

impl SimpleRouter {
    pub(crate) fn new(deployment: &Deployment, choice: Choice, seed: u64) -> Self {
        let mut pools = BTreeMap::new();
        for (name, pool) in &deployment.declaration.pools {
            pools.insert(name.clone(), pool.servers.keys().cloned().collect());
        }
        Self {
            choice,
            pools,
            vms: deployment.vms.iter().map(|_| VmState::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn handle(&mut self, vm: usize, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(request) => self.send(vm, request, 1, 0),
            Event::Frame(frame) => {
                let Some(flight) = self.vms[vm].flights.get_mut(&frame.request) else {
                    return Vec::new();
                };
                if flight.attempt != frame.attempt || flight.next_seq != frame.seq {
                    return Vec::new();
                }
                flight.next_seq += 1;
                vec![Action::Relay(frame.request)]
            }
            Event::Finished {
                request, attempt, ..
            } => match self.take(vm, request, attempt) {
                Some(_) => vec![Action::Finish(request)],
                None => Vec::new(),
            },
            Event::Failed {
                request, attempt, ..
            } => match self.take(vm, request, attempt) {
                Some(flight) if attempt < ATTEMPT_LIMIT => {
                    self.send(vm, flight.request, attempt + 1, flight.next_seq)
                }
                _ => Vec::new(),
            },
            Event::CallerGone(request) => self.leave(vm, request),
            _ => Vec::new(),
        }
    }

    fn take(&mut self, vm: usize, request: RequestId, attempt: Attempt) -> Option<Flight> {
        let state = &mut self.vms[vm];
        if state.flights.get(&request)?.attempt != attempt {
            return None;
        }
        let flight = state.flights.remove(&request)?;
        if let Some(count) = state.in_flight.get_mut(&flight.server) {
            *count -= 1;
        }
        Some(flight)
    }

    fn leave(&mut self, vm: usize, request: RequestId) -> Vec<Action> {
        let Some(attempt) = self.vms[vm]
            .flights
            .get(&request)
            .map(|flight| flight.attempt)
        else {
            return Vec::new();
        };
        match self.take(vm, request, attempt) {
            Some(flight) => vec![Action::Cancel {
                request,
                attempt,
                server: flight.server,
            }],
            None => Vec::new(),
        }
    }

    fn send(&mut self, vm: usize, request: Request, attempt: Attempt, seq: u64) -> Vec<Action> {
        let server = self.choose(vm, &request.pool);
        let state = &mut self.vms[vm];
        *state.in_flight.entry(server.clone()).or_default() += 1;
        let mode = match seq {
            0 => DispatchMode::Fresh,
            delivered => DispatchMode::Continue { delivered },
        };
        let dispatch = Dispatch {
            request: request.id,
            attempt,
            server: server.clone(),
            mode,
            tier: 0,
            guaranteed: false,
        };
        let flight = Flight {
            request,
            attempt,
            server,
            next_seq: seq,
        };
        state.flights.insert(flight.request.id, flight);
        vec![Action::Dispatch(dispatch)]
    }

    fn choose(&mut self, vm: usize, pool: &PoolName) -> ServerName {
        let servers = &self.pools[pool];
        let state = &mut self.vms[vm];
        match self.choice {
            Choice::NextInTurn => {
                state.next += 1;
                Arc::clone(&servers[state.next % servers.len()])
            }
            Choice::BetterOfTwo => {
                let first = &servers[self.rng.random_range(0..servers.len())];
                let second = &servers[self.rng.random_range(0..servers.len())];
                let load = |name| state.in_flight.get(name).copied().unwrap_or(0);
                if load(second) < load(first) {
                    Arc::clone(second)
                } else {
                    Arc::clone(first)
                }
            }
        }
    }
}
