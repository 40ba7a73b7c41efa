//! What this VM knows of one backend server.

use std::time::Duration;

use crate::placement::{CONTESTED_PERMILLE, FULL_PERMILLE, LoadPermille};
use crate::server_health::{HealthStatus, ServerHealth};
use crate::{LoadReport, Timestamp};

/// Age from which a report no longer counts, against the newest report of the pool.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Time between frames in percent of the pool's, from which a server counts as a straggler.
const STRAGGLER_PERCENT: u32 = 150;

/// Divisor of a report beside what peers tell, because it lags behind them.
const REPORT_DIVISOR: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct SeenReport {
    others: u32,
    seen: Timestamp,
}

/// Place of this VM among the VMs that share a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct VmPlace {
    /// VMs with smaller ids.
    pub(super) rank: u32,
    /// All VMs, this one included.
    pub(super) count: u32,
}

impl VmPlace {
    /// Says whether a server, by its place among all, is one that this VM runs suspects on.
    pub(super) const fn has_turn(self, index: usize, servers: usize) -> bool {
        let (rank, count) = (self.rank as usize, self.count as usize);
        if count <= 1 || servers == 0 {
            return true;
        }
        if servers < count {
            return index == rank % servers;
        }
        index % count == rank
    }
}

/// What the load of a server depends on beside itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PoolView {
    pub(super) now: Timestamp,
    pub(super) newest_report: Timestamp,
    /// Running mean of the time between frames in the pool.
    pub(super) pace: Duration,
    pub(super) place: VmPlace,
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) slots: u32,
    pub(super) own: u32,
    /// Requests of this VM when it last told its peers.
    pub(super) told_own: u32,
    pub(super) suspects: u32,
    pub(super) leaving: bool,
    /// Place among the servers of the pool, in the order of names.
    pub(super) index: usize,
    pub(super) liveness: ServerHealth,
    report: Option<SeenReport>,
}

impl ServerState {
    pub(super) const fn new(slots: u32) -> Self {
        Self {
            slots,
            own: 0,
            told_own: 0,
            suspects: 0,
            leaving: false,
            index: 0,
            liveness: ServerHealth::new(),
            report: None,
        }
    }

    /// Difference between the requests of this VM and what it told its peers.
    pub(super) const fn drift(&self) -> u32 {
        self.own.abs_diff(self.told_own)
    }

    /// Says whether new requests may be sent there.
    pub(super) fn is_eligible(&self) -> bool {
        !self.leaving && self.liveness.status() == HealthStatus::Up
    }

    /// Takes in a load report.
    pub(super) fn saw_report(&mut self, now: Timestamp, report: &LoadReport) {
        let total = report.running + report.waiting;
        self.report = Some(SeenReport {
            others: total.saturating_sub(self.own),
            seen: now,
        });
    }

    /// Load in thousandths of the slots; a straggler counts as full.
    ///
    /// `others` are the requests that peers tell of. A report adds the ones that nobody tells
    /// of; it counts as long as the newest one of the pool is not much newer: if all of them
    /// stop at once, the observer is at fault and the last ones stay in use.
    pub(super) fn load(&self, others: u32, pool: PoolView) -> LoadPermille {
        let others = match self.report {
            Some(report) if report.seen + REPORT_TTL > pool.newest_report => {
                others.max(report.others / REPORT_DIVISOR)
            }
            _ => others,
        };
        let used = u64::from(self.own + others);
        let load = used * 1000 / u64::from(self.slots.max(1));
        if used >= u64::from(self.slots) || self.is_straggler(pool) {
            return load + FULL_PERMILLE;
        }
        if self.is_contested(others, pool.place) {
            return CONTESTED_PERMILLE;
        }
        load
    }

    /// Says whether the server is much slower than the pool as a whole.
    fn is_straggler(&self, pool: PoolView) -> bool {
        let own = self.liveness.mean_frame_interval(pool.now);
        !own.is_zero() && own > pool.pace * STRAGGLER_PERCENT / 100
    }

    /// Says whether other VMs are likely to take the last free slots at the same time.
    ///
    /// A slot that this VM has given back since it last told its peers is its own. The slots
    /// that were free when the VMs last told each other belong to one VM each by their number.
    fn is_contested(&self, others: u32, place: VmPlace) -> bool {
        let free = self.slots.saturating_sub(self.told_own + others);
        let vms = place.count.max(1);
        let first = u32::try_from(self.index).unwrap_or(0) + place.rank;
        let belonging = (first + free).div_ceil(vms) - first.div_ceil(vms);
        self.own >= self.told_own + belonging
    }
}
