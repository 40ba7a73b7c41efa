//! Division of the servers' own rate limits among the VMs.
//!
//! A limit holds for all VMs together. A group of VMs, which all VMs pick alike by hash, sends to a
//! limited server; each member gets a share by its demand. The group is so small that the bursts of
//! its members fit into the room that a limit leaves for late news. See `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayState;
use crate::gateway::backend::LimitShare;
use crate::gateway::number::to_u32;
use crate::gateway::{Call, PlacementError, Priority};
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp, VmId};

/// Members of a server's group: this many, and `GROUP_PER_LIMIT` for each request per second of the
/// limit. A member may be one request ahead of its share.
const GROUP_BASE: f64 = 5.0;

/// See [`GROUP_BASE`].
const GROUP_PER_LIMIT: f64 = 1.5;

/// Part of a limit that VMs outside the group use together.
const OUTSIDER_SHARE: f64 = 0.2;

/// Time over which demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// Age up to which a VM tells others what it has seen of a limit.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// Most servers in one digest, so that it fits into a datagram.
const MAX_REPORTS: usize = 200;

/// Age after which the demand of another VM is not used any more.
const DEMAND_TTL: Duration = Duration::from_secs(10);

/// Time for which less urgent requests yield after a more urgent one was refused because of limits.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// Time without an admitted request of a priority after which it does not yield, so that none starves.
const MAX_YIELD_TIME: Duration = Duration::from_secs(2);

/// What one VM tells others about a limited server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Hash of the server's name.
    pub server: u64,
    /// Whether the sender has seen answers of the server lately; otherwise only `demand` counts.
    pub is_observed: bool,
    /// Requests per second that the server takes from all VMs together; `None` if any number.
    pub limit_per_s: Option<f64>,
    /// Time since the sender saw that.
    pub age: Duration,
    /// Requests for the server's service from the sender's callers, over the last seconds.
    pub demand: u32,
}

/// Demand of another VM for a limited server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerDemand {
    at: Timestamp,
    demand: u32,
}

/// Decisions about one priority of a service whose servers are all limited.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitedPriority {
    refused_at: Option<Timestamp>,
    admitted_at: Option<Timestamp>,
}

/// Demand of other VMs, by the hash of the server's name.
pub(super) type PeerDemands = BTreeMap<u64, BTreeMap<VmId, PeerDemand>>;

impl GatewayState {
    /// Records the limit that an answer of a server names, or that it names none; returns whether
    /// the limit has begun, ended or changed by more than a quarter.
    pub fn note_limit(
        &mut self,
        now: Timestamp,
        server: &str,
        sent_at: Timestamp,
        limit_per_s: Option<f64>,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(server) else {
            return false;
        };
        let old = backend.limiter.limit_per_s();
        backend.limiter.note_answer(now, sent_at, limit_per_s);
        let new = backend.limiter.limit_per_s();
        self.update_limited(server);
        has_changed(old, new)
    }

    /// Requests per second that a server takes from all VMs together; `None` if any number.
    #[must_use]
    pub fn limit_per_s(&self, server: &str) -> Option<f64> {
        self.backends.get(server)?.limiter.limit_per_s()
    }

    /// Servers that have named a limit.
    pub fn limited_servers(&self) -> impl Iterator<Item = &ServerName> {
        self.limited_servers.iter()
    }

    fn update_limited(&mut self, server: &str) {
        let Some(backend) = self.backends.get_mut(server) else {
            return;
        };
        let is_limited = backend.limiter.limit_per_s().is_some();
        if !is_limited {
            backend.limiter.open();
            self.limited_servers.remove(server);
        } else if !self.limited_servers.contains(server) {
            self.limited_servers.insert(server.into());
        }
    }

    /// What this VM tells others about limited servers: what it saw last comes first.
    #[must_use]
    pub fn limit_reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let servers = self.names_by_hash.keys();
        let mut reports: Vec<LimitReport> = servers
            .filter_map(|&server| self.limit_report(now, server))
            .collect();
        reports.sort_by_key(|report| (!report.is_observed, report.age));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// What this VM tells others about the limit of one server; `None` if it knows of none.
    #[must_use]
    pub fn limit_report(&self, now: Timestamp, server: u64) -> Option<LimitReport> {
        let id = self.names_by_hash.get(&server)?;
        let limiter = &self.backends.get(id)?.limiter;
        let own = limiter.own_observation(now);
        let own = own.filter(|(_, age)| *age <= REPORT_MAX_AGE);
        if own.is_none() && limiter.limit_per_s().is_none() {
            return None;
        }
        let (limit_per_s, age) = own.unwrap_or_default();
        Some(LimitReport {
            server,
            is_observed: own.is_some(),
            limit_per_s: limit_per_s.and(limiter.limit_per_s()),
            age,
            demand: self.demand_for(now, id),
        })
    }

    /// Records that no server had a permit for a call; returns the reason to refuse it.
    pub fn refuse_limited(&mut self, now: Timestamp, call: &Call) -> PlacementError {
        self.note_limited(now, call, true);
        let mut least_wait = Duration::MAX;
        for server in &self.limited_servers {
            let limit_per_s = self.limit_per_s(server).unwrap_or(f64::INFINITY);
            let wait = Duration::try_from_secs_f64(limit_per_s.recip()).unwrap_or(Duration::MAX);
            least_wait = least_wait.min(wait);
        }
        PlacementError::Limited(least_wait)
    }

    /// Applies what another VM tells about limited servers.
    pub fn apply_limit_reports(&mut self, now: Timestamp, vm: VmId, reports: &[LimitReport]) {
        for report in reports {
            let Some(name) = self.names_by_hash.get(&report.server).cloned() else {
                continue;
            };
            let demands = self.peer_demands.entry(report.server).or_default();
            let demand = PeerDemand {
                at: now,
                demand: report.demand,
            };
            demands.insert(vm, demand);
            if let (true, Some(backend)) = (report.is_observed, self.backends.get_mut(&name)) {
                let limiter = &mut backend.limiter;
                limiter.note_heard(now, report.limit_per_s, report.age);
            }
            self.update_limited(&name);
        }
    }

    /// Drops demand that was not reported again, and that for servers which are gone.
    pub(super) fn expire_limits(&mut self, now: Timestamp) {
        let names = &self.names_by_hash;
        self.peer_demands.retain(|server, demands| {
            demands.retain(|_, demand| demand.at + DEMAND_TTL > now);
            !demands.is_empty() && names.contains_key(server)
        });
        self.permit_buckets
            .retain(|server, _| names.contains_key(server));
        let backends = &self.backends;
        self.limited_servers
            .retain(|server| backends.contains_key(server));
    }

    fn demand_for(&self, now: Timestamp, server: &str) -> u32 {
        let entry = self.registry.get(server);
        let window = entry.and_then(|entry| self.retry_windows.get(&entry.service));
        window.map_or(0, |window| {
            window.requests_since(now.saturating_sub(DEMAND_WINDOW))
        })
    }

    /// Updates what the limited servers of a call's service may get from this VM.
    pub(super) fn refresh_limits(&mut self, now: Timestamp, call: &Call) {
        if self.limited_servers.is_empty() || self.uses_permits {
            return;
        }
        let mut shares = Vec::new();
        for server in &self.limited_servers {
            let entry = self.registry.get(server);
            if entry.is_some_and(|entry| entry.service == call.service)
                && let Some(share) = self.limit_share(now, server, call.id)
            {
                shares.push((server.clone(), share));
            }
        }
        for (server, share) in shares {
            if let Some(backend) = self.backends.get_mut(&server) {
                backend.limiter.refill(now, share);
            }
        }
    }

    /// Share of a server's limit that this VM may use; `seed` decides for VMs outside its group.
    fn limit_share(&self, now: Timestamp, server: &str, seed: u64) -> Option<LimitShare> {
        let limit_per_s = self.limit_per_s(server)?;
        let hash = hash64(server.as_bytes());
        let vms = self.peers.len() + 1;
        let group_size = (GROUP_BASE + GROUP_PER_LIMIT * limit_per_s).floor();
        let group_size = usize::try_from(to_u32(group_size)).unwrap_or(usize::MAX);
        let outsiders = vms.saturating_sub(group_size);
        let order = |vm: VmId| mix64(hash, vm);
        let own_order = order(self.vm);
        let ahead = self.peers.keys().filter(|&&vm| order(vm) < own_order);
        if ahead.count() >= group_size {
            let outsiders = u32::try_from(outsiders).unwrap_or(u32::MAX);
            let per_s = limit_per_s * OUTSIDER_SHARE / f64::from(outsiders);
            let upper_bits = u32::try_from(mix64(seed, hash) >> 32).unwrap_or(u32::MAX);
            let draw = f64::from(upper_bits) / f64::from(u32::MAX);
            return Some(LimitShare::Outsider { per_s, draw });
        }
        let mut members: Vec<(u64, VmId)> = Vec::new();
        for &vm in self.peers.keys() {
            members.push((order(vm), vm));
        }
        members.sort_unstable();
        members.truncate(group_size.saturating_sub(1));
        let own = f64::from(self.demand_for(now, server)) + 1.0;
        let demands = self.peer_demands.get(&hash);
        let mut known = own;
        let mut known_members = 1_u32;
        let mut unknown_members = 0_u32;
        for (_, vm) in members {
            let demand = demands.and_then(|demands| demands.get(&vm));
            match demand.filter(|demand| demand.at + DEMAND_TTL > now) {
                Some(demand) => {
                    known += f64::from(demand.demand) + 1.0;
                    known_members += 1;
                }
                None => unknown_members += 1,
            }
        }
        // Members that have not told their demand count like the average of the others.
        let all = known * (1.0 + f64::from(unknown_members) / f64::from(known_members));
        let group_share = if outsiders == 0 {
            1.0
        } else {
            1.0 - OUTSIDER_SHARE
        };
        let per_s = limit_per_s * group_share * own / all;
        Some(LimitShare::Member { per_s })
    }

    /// Whether a call yields the little that the limits leave to more urgent ones, of which one was
    /// refused shortly before.
    pub(super) fn yields_limited(&self, now: Timestamp, call: &Call) -> bool {
        if !self.is_service_limited(now, call) {
            return false;
        }
        let Some(priorities) = self.limited_priorities.get(&call.service) else {
            return false;
        };
        let admitted_at = priorities
            .get(&call.priority())
            .and_then(|state| state.admitted_at);
        if admitted_at.is_none_or(|at| at + MAX_YIELD_TIME <= now) {
            return false;
        }
        self.is_preceded(now, call)
    }

    /// Whether a more urgent request for a call's service was refused shortly before.
    pub(super) fn is_preceded(&self, now: Timestamp, call: &Call) -> bool {
        let Some(priorities) = self.limited_priorities.get(&call.service) else {
            return false;
        };
        priorities
            .range(..call.priority())
            .any(|(_, state)| state.refused_at.is_some_and(|at| at + YIELD_TIME > now))
    }

    /// Records whether a call was refused because of limits.
    pub(super) fn note_limited(&mut self, now: Timestamp, call: &Call, is_refused: bool) {
        if !self.is_service_limited(now, call) {
            self.limited_priorities.remove(&call.service);
            return;
        }
        let priorities: &mut BTreeMap<Priority, LimitedPriority> = self
            .limited_priorities
            .entry(call.service.clone())
            .or_default();
        let state = priorities.entry(call.priority()).or_default();
        if is_refused {
            state.refused_at = Some(now);
        } else {
            state.admitted_at = Some(now);
        }
    }

    /// Whether all ready servers of a call's service are limited or pause.
    fn is_service_limited(&self, now: Timestamp, call: &Call) -> bool {
        if self.limited_servers.is_empty() && self.pauses.is_empty() {
            return false;
        }
        let mut servers = self.registry.ready(&call.service).peekable();
        servers.peek().is_some()
            && servers.all(|entry| {
                self.limited_servers.contains(&entry.id) || self.pause_left(now, entry).is_some()
            })
    }
}

fn has_changed(old: Option<f64>, new: Option<f64>) -> bool {
    /// Factor by which a limit has to change.
    const FACTOR: f64 = 1.25;
    match (old, new) {
        (Some(old), Some(new)) => new > old * FACTOR || old > new * FACTOR,
        (None, None) => false,
        _ => true,
    }
}
