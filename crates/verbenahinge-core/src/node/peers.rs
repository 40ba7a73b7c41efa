//! Exchange of digests with peers, and what the platform lists.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::pool::{News, PoolState};
use super::server::VmPlace;
use super::timer::Timer;
use crate::declaration::TIER_COUNT;
use crate::digest::{CrashRecord, Digest, PoolDemand, pool_tag};
use crate::membership::VmEntry;
use crate::shares::Demand;
use crate::{Action, LoadReport, PoolName, ServerName};

/// Time between digests of a VM whose state does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between digests after a change of demand.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time between digests after requests moved to other backend servers.
const SERVERS_INTERVAL: Duration = Duration::from_millis(100);

/// Time between digests after requests began to wait, which peers act on at once.
pub(super) const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes that a VM spends on digests in a second at the most.
const DIGEST_BYTES_PER_SECOND: u64 = 2600;

/// Bytes that a VM saves up for early digests at the most.
const DIGEST_BYTES_SAVED: u64 = 2600;

/// Bytes of a digest without its lists.
const DIGEST_BASE_BYTES: u64 = 24;

/// Bytes of the demand for one pool.
const DEMAND_BYTES: u64 = 20;

/// Bytes of one crash record.
const CRASH_BYTES: u64 = 24;

/// Crash records in one digest at the most.
const CRASH_LIMIT: usize = 16;

/// Time for which a crash record travels in digests.
const CRASH_TRAVEL: Duration = Duration::from_secs(30);

impl Node {
    /// Plans the next digest, as early as the interval and the byte budget allow.
    ///
    /// An early one leaves out the requests on each backend server.
    pub(super) fn schedule_digest(&mut self, interval: Duration, early: bool) {
        let due = self.digest_sent + interval.max(self.digest_spacing());
        if self.digest_due.is_none_or(|planned| due < planned) {
            self.digest_early = early;
        }
        self.plan_digest(due.max(self.now));
    }

    fn plan_digest(&mut self, due: crate::Timestamp) {
        if self.digest_due.is_some_and(|planned| planned <= due) {
            return;
        }
        if let Some(planned) = self.digest_due.replace(due) {
            self.timers.remove(&(planned, Timer::Digest));
        }
        self.set_timer(due, Timer::Digest);
    }

    /// Time until the byte budget allows a digest of the last one's size.
    fn digest_spacing(&self) -> Duration {
        let missing = self.digest_cost().saturating_sub(self.digest_budget);
        Duration::from_micros(missing * 1_000_000 / DIGEST_BYTES_PER_SECOND)
    }

    /// Bytes of the last digest, for all links.
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
        self.digest_budget = (self.digest_budget + earned).min(DIGEST_BYTES_SAVED);
    }

    pub(super) fn digest_timer(&mut self) {
        self.digest_due = None;
        let early = std::mem::take(&mut self.digest_early);
        let whole_due = self.whole_digest_sent + DEMAND_INTERVAL <= self.now;
        self.send_digest(!early || whole_due);
        self.plan_digest(self.now + HEARTBEAT_INTERVAL);
    }

    /// Sends a digest; a whole one also tells the requests on each backend server.
    pub(super) fn send_digest(&mut self, whole: bool) {
        self.refill_digest_budget();
        self.digest_seq += 1;
        let digest = Digest {
            vm: self.options.vm,
            seq: self.digest_seq,
            config_version: self.config.in_force().version,
            leaving: self.draining,
            demands: self.demands(whole),
            crashes: self.crash_records(),
        };
        self.digest_sent = self.now;
        if whole {
            self.whole_digest_sent = self.now;
        }
        self.last_digest = digest.clone();
        self.digest_budget = self.digest_budget.saturating_sub(self.digest_cost());
        let links = self.membership.links().to_vec();
        if !links.is_empty() {
            self.out.push(Action::SendDigest { links, digest });
        }
    }

    fn demands(&mut self, whole: bool) -> Vec<PoolDemand> {
        let mut demands = Vec::new();
        for (name, pool) in &mut self.pools {
            let demand = pool.tell_demand();
            if demand.is_idle() {
                continue;
            }
            demands.push(PoolDemand {
                pool: pool_tag(name),
                demand,
                by_server: if whole {
                    pool.tell_by_server()
                } else {
                    Vec::new()
                },
            });
        }
        demands
    }

    fn crash_records(&self) -> Vec<CrashRecord> {
        let since = self.now.saturating_sub(CRASH_TRAVEL);
        self.quarantine
            .latest(since, CRASH_LIMIT)
            .into_iter()
            .map(|(fingerprint, crashes)| CrashRecord {
                fingerprint,
                crashes,
            })
            .collect()
    }

    /// Plans a digest as far as peers should know what has changed since the last one.
    pub(super) fn note_demand(&mut self, pool: &PoolName) {
        let Some(state) = self.pools.get(pool) else {
            return;
        };
        match state.news() {
            News::None => {}
            News::Demand => self.schedule_digest(DEMAND_INTERVAL, false),
            News::Servers => self.schedule_digest(SERVERS_INTERVAL, false),
            News::Waiting => self.schedule_digest(URGENT_INTERVAL, true),
        }
    }

    pub(super) fn peer_digest(&mut self, digest: &Digest) {
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
                self.quarantine.record(now, record.fingerprint, crash);
            }
        }
        if version > self.config.in_force().version || !self.config.is_loaded() {
            self.out.push(Action::FetchConfig(digest.vm));
        }
        if digest.leaving {
            self.membership.remove_peer(digest.vm);
        }
        self.take_demands(digest);
    }

    /// Place of this VM among its peers.
    fn place(&self) -> VmPlace {
        let peers = self.membership.peers();
        let rank = peers.range(..self.options.vm).count();
        VmPlace {
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            count: u32::try_from(peers.len() + 1).unwrap_or(u32::MAX),
        }
    }

    fn take_demands(&mut self, digest: &Digest) {
        let place = self.place();
        let same_version = digest.config_version == self.config.in_force().version;
        for pool in self.pools.values_mut() {
            pool.place = place;
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
                    pool.refresh_all(self.now);
                }
            }
        }
        if digest.leaving {
            for pool in self.pools.values_mut() {
                pool.shares.forget(digest.vm);
            }
        }
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.pump(&pool);
        }
    }

    pub(super) fn vm_list(&mut self, entries: &[VmEntry]) {
        if self.membership.set_vm_list(entries) {
            self.rebuild_pools();
        }
    }

    /// Sets the backend servers that the platform is about to take away.
    pub(super) fn servers_leaving(&mut self, servers: Vec<ServerName>) {
        let leaving: BTreeSet<ServerName> = servers.into_iter().collect();
        if leaving == self.leaving_servers {
            return;
        }
        self.leaving_servers = leaving;
        for pool in self.pools.values_mut() {
            let names: Vec<ServerName> = pool.servers.keys().cloned().collect();
            for name in names {
                if let Some(server) = pool.servers.get_mut(&name) {
                    server.leaving = self.leaving_servers.contains(&name);
                }
                pool.refresh(self.now, &name);
            }
        }
    }

    pub(super) fn report(&mut self, report: &LoadReport) {
        let Some(pool_name) = self.server_pools.get(&report.server).cloned() else {
            return;
        };
        let now = self.now;
        let Some(pool) = self.pools.get_mut(&pool_name) else {
            return;
        };
        pool.saw_report(now);
        if let Some(server) = pool.servers.get_mut(&report.server) {
            server.liveness.record_incarnation(report.incarnation);
            server.saw_report(now, report);
        }
        pool.refresh(now, &report.server);
    }

    /// Brings the pools in line with the version in force and the cells.
    pub(super) fn rebuild_pools(&mut self) {
        let declaration = Arc::clone(&self.config.in_force().declaration);
        let used: BTreeSet<PoolName> = self
            .flights
            .values()
            .map(|flight| flight.request.pool.clone())
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
        self.set_tier_floors();
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.pump(&pool);
        }
    }

    fn set_tier_floors(&mut self) {
        let declaration = Arc::clone(&self.config.in_force().declaration);
        let mut floors = [None; TIER_COUNT];
        for class in declaration.classes.values() {
            let floor = &mut floors[crate::declaration::tier_index(class.tier)];
            let own = class.max_starvation();
            *floor = Some(floor.map_or(own, |other: Duration| other.min(own)));
        }
        for pool in self.pools.values_mut() {
            for (progress, floor) in pool.progress.iter_mut().zip(floors) {
                progress.max_starvation = floor;
            }
        }
    }
}
