//! Exchange of digests with peers, and updates from the platform: VM list, leaving servers,
//! load reports and pools.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::pool::{PoolState, UnsentChange};
use super::server::VmRank;
use super::timer::Timer;
use crate::declaration::TIER_COUNT;
use crate::digest::{CrashRecord, Digest, PoolDemand, pool_tag};
use crate::membership::VmEntry;
use crate::shares::Demand;
use crate::{Action, LoadReport, PoolName, ServerName};

/// Time between digests without a state change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between digests after a change of demand.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between digests after requests moved to other backend servers.
const SERVER_COUNTS_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between digests after a queue became non-empty, on which peers act at once, or
/// after a new configuration came into force.
pub(super) const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Rate at which the byte budget for digests is refilled, in bytes per second.
const DIGEST_BYTES_PER_SECOND: u64 = 2600;

/// Maximum byte budget that accumulates for early digests.
const DIGEST_BURST_BYTES: u64 = 2600;

/// Estimated size of a digest without its lists, in bytes.
const DIGEST_BASE_BYTES: u64 = 24;

/// Estimated size of the demand for one pool without server counts, in bytes.
const DEMAND_BYTES: u64 = 20;

/// Estimated size of one crash record, in bytes.
const CRASH_BYTES: u64 = 24;

/// Maximum number of crash records in one digest.
const MAX_CRASH_RECORDS: usize = 16;

/// Time for which a crash record is included in digests after its last update.
const CRASH_RECORD_MAX_AGE: Duration = Duration::from_secs(30);

impl Node {
    /// Schedules the next digest as early as the interval since the last one and the byte budget
    /// allow.
    ///
    /// An early digest omits the server counts if they were sent less than [`DEMAND_INTERVAL`]
    /// ago.
    pub(super) fn schedule_digest(&mut self, interval: Duration, early: bool) {
        let due = self.digest_sent + interval.max(self.digest_budget_delay());
        if self.digest_due.is_none_or(|planned| due < planned) {
            self.digest_early = early;
        }
        self.set_digest_timer(due.max(self.now));
    }

    fn set_digest_timer(&mut self, due: crate::Timestamp) {
        if self.digest_due.is_some_and(|planned| planned <= due) {
            return;
        }
        if let Some(planned) = self.digest_due.replace(due) {
            self.timers.remove(&(planned, Timer::Digest));
        }
        self.set_timer(due, Timer::Digest);
    }

    /// Returns the time until the byte budget allows a digest as large as the last one.
    fn digest_budget_delay(&self) -> Duration {
        let missing = self.digest_cost().saturating_sub(self.digest_budget);
        Duration::from_micros(missing * 1_000_000 / DIGEST_BYTES_PER_SECOND)
    }

    /// Returns the estimated bytes of the last digest over all links.
    fn digest_cost(&self) -> u64 {
        let mut bytes = DIGEST_BASE_BYTES + CRASH_BYTES * self.last_digest.crashes.len() as u64;
        for demand in &self.last_digest.demands {
            bytes += DEMAND_BYTES + demand.by_server.len() as u64;
        }
        bytes * self.membership.links().len() as u64
    }

    fn refill_digest_budget(&mut self) {
        let elapsed = self.now.saturating_sub(self.digest_sent);
        let earned = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let earned = earned.saturating_mul(DIGEST_BYTES_PER_SECOND) / 1_000_000;
        self.digest_budget = (self.digest_budget + earned).min(DIGEST_BURST_BYTES);
    }

    pub(super) fn send_due_digest(&mut self) {
        self.digest_due = None;
        let early = std::mem::take(&mut self.digest_early);
        let server_counts_due = self.server_counts_sent + DEMAND_INTERVAL <= self.now;
        self.send_digest(!early || server_counts_due);
        self.set_digest_timer(self.now + HEARTBEAT_INTERVAL);
    }

    /// Sends a digest, optionally with the requests on each backend server.
    pub(super) fn send_digest(&mut self, with_server_counts: bool) {
        self.refill_digest_budget();
        self.digest_seq += 1;
        let digest = Digest {
            vm: self.options.vm,
            seq: self.digest_seq,
            config_version: self.config.in_force().version,
            leaving: self.draining,
            demands: self.collect_demands(with_server_counts),
            crashes: self.crash_records(),
        };
        self.digest_sent = self.now;
        if with_server_counts {
            self.server_counts_sent = self.now;
        }
        self.last_digest = digest.clone();
        self.digest_budget = self.digest_budget.saturating_sub(self.digest_cost());
        let links = self.membership.links().to_vec();
        if !links.is_empty() {
            self.actions.push(Action::SendDigest { links, digest });
        }
    }

    fn collect_demands(&mut self, with_server_counts: bool) -> Vec<PoolDemand> {
        let mut demands = Vec::new();
        for (name, pool) in &mut self.pools {
            let demand = pool.advertise_demand();
            if demand.is_idle() {
                continue;
            }
            demands.push(PoolDemand {
                pool: pool_tag(name),
                demand,
                by_server: if with_server_counts {
                    pool.advertise_server_counts()
                } else {
                    Vec::new()
                },
            });
        }
        demands
    }

    fn crash_records(&self) -> Vec<CrashRecord> {
        let since = self.now.saturating_sub(CRASH_RECORD_MAX_AGE);
        self.quarantine
            .latest(since, MAX_CRASH_RECORDS)
            .into_iter()
            .map(|(fingerprint, crashes, _)| CrashRecord {
                fingerprint,
                crashes,
            })
            .collect()
    }

    /// Schedules a digest if the pool has changed significantly since the last one.
    pub(super) fn schedule_change_digest(&mut self, pool: &PoolName) {
        let Some(state) = self.pools.get(pool) else {
            return;
        };
        match state.unsent_change() {
            UnsentChange::None => {}
            UnsentChange::Demand => self.schedule_digest(DEMAND_INTERVAL, false),
            UnsentChange::ServerCounts => self.schedule_digest(SERVER_COUNTS_INTERVAL, false),
            UnsentChange::Waiting => self.schedule_digest(URGENT_INTERVAL, true),
        }
    }

    pub(super) fn handle_digest(&mut self, digest: &Digest) {
        let now = self.now;
        let version = digest.config_version;
        if !self
            .membership
            .record_digest(now, digest.vm, digest.seq, version)
        {
            return;
        }
        for record in &digest.crashes {
            for &crash in &record.crashes {
                self.quarantine.record_crash(now, record.fingerprint, crash);
            }
        }
        if version > self.config.in_force().version || !self.config.is_loaded() {
            self.actions.push(Action::FetchConfig(digest.vm));
        }
        if digest.leaving {
            self.membership.remove_peer(digest.vm);
        }
        self.apply_peer_demands(digest);
    }

    /// Returns the rank of this VM among its live peers.
    fn vm_rank(&self) -> VmRank {
        let peers = self.membership.peers();
        let rank = peers.range(..self.options.vm).count();
        VmRank {
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            count: u32::try_from(peers.len() + 1).unwrap_or(u32::MAX),
        }
    }

    fn apply_peer_demands(&mut self, digest: &Digest) {
        let vm_rank = self.vm_rank();
        let same_version = digest.config_version == self.config.in_force().version;
        for pool in self.pools.values_mut() {
            pool.vm_rank = vm_rank;
            pool.shares
                .update(self.now, digest.vm, Demand::default(), &[]);
        }
        for entry in &digest.demands {
            let Some(name) = self.pool_tags.get(&entry.pool) else {
                continue;
            };
            if let Some(pool) = self.pools.get_mut(name) {
                let counts: &[u32] = if same_version { &entry.by_server } else { &[] };
                pool.shares
                    .update(self.now, digest.vm, entry.demand, counts);
                if !counts.is_empty() {
                    pool.reindex_servers(self.now);
                }
            }
        }
        if digest.leaving {
            for pool in self.pools.values_mut() {
                pool.shares.remove_peer(digest.vm);
            }
        }
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch_queued(&pool);
        }
    }

    pub(super) fn set_vm_list(&mut self, entries: &[VmEntry]) {
        if self.membership.set_vm_list(entries) {
            self.rebuild_pools();
        }
    }

    /// Sets the backend servers that the platform is about to remove.
    pub(super) fn set_leaving_servers(&mut self, servers: Vec<ServerName>) {
        let leaving: BTreeSet<ServerName> = servers.into_iter().collect();
        if leaving == self.leaving_servers {
            return;
        }
        self.leaving_servers = leaving;
        self.mark_leaving_servers();
    }

    fn mark_leaving_servers(&mut self) {
        for pool in self.pools.values_mut() {
            let names: Vec<ServerName> = pool.servers.keys().cloned().collect();
            for name in names {
                if let Some(server) = pool.servers.get_mut(&name) {
                    server.leaving = self.leaving_servers.contains(&name);
                }
                pool.reindex_server(self.now, &name);
            }
        }
    }

    pub(super) fn handle_load_report(&mut self, report: &LoadReport) {
        let Some(pool_name) = self.server_pools.get(&report.server).cloned() else {
            return;
        };
        let now = self.now;
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        pool.record_report(now);
        if let Some(server) = pool.servers.get_mut(&report.server) {
            server.health.record_incarnation(report.incarnation);
            server.record_report(now, report);
        }
        pool.reindex_server(now, &report.server);
    }

    /// Rebuilds the pools from the configuration in force and the servers of this VM's cell.
    pub(super) fn rebuild_pools(&mut self) {
        let declaration = Arc::clone(&self.config.in_force().declaration);
        let used: BTreeSet<PoolName> = self
            .requests
            .values()
            .map(|state| state.request.pool.clone())
            .collect();
        self.pools
            .retain(|name, _| declaration.pools.contains_key(name) || used.contains(name));
        let salt = self.options.vm;
        self.pool_tags.clear();
        self.server_pools.clear();
        for (name, declared) in &declaration.pools {
            self.pool_tags.insert(pool_tag(name), name.clone());
            let mut servers = declared.servers.clone();
            servers.retain(|server, _| self.membership.is_server_in_cell(server));
            for server in servers.keys() {
                self.server_pools.insert(server.clone(), name.clone());
            }
            let pool = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(declared.kind, salt));
            pool.set_servers(self.now, &servers);
        }
        // Servers that a pool did not have before may be leaving already.
        self.mark_leaving_servers();
        self.set_starvation_limits();
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch_queued(&pool);
        }
    }

    fn set_starvation_limits(&mut self) {
        let declaration = Arc::clone(&self.config.in_force().declaration);
        let mut limits = [None; TIER_COUNT];
        for class in declaration.classes.values() {
            let limit = &mut limits[crate::declaration::tier_index(class.tier)];
            let class_limit = class.max_starvation();
            *limit = Some(limit.map_or(class_limit, |other: Duration| other.min(class_limit)));
        }
        for pool in self.pools.values_mut() {
            for (tier_state, limit) in pool.tier_states.iter_mut().zip(limits) {
                tier_state.max_starvation = limit;
            }
        }
    }
}
