//! State of one backend server as seen by this VM.

use std::time::Duration;

use crate::placement::{CONTESTED_PERMILLE, FULL_PERMILLE, LoadPermille};
use crate::server_health::{HealthStatus, ServerHealth};
use crate::{LoadReport, Timestamp};

/// Age, relative to the newest report of the pool, from which a report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Time between frames, in percent of the pool's mean, above which a server is a straggler.
const STRAGGLER_PERCENT: u32 = 150;

/// Divisor of the request count in a report, which lags behind the digests of peers.
const REPORT_DIVISOR: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct SeenReport {
    other_requests: u32,
    seen: Timestamp,
}

/// Rank of this VM by id among itself and its live peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct VmRank {
    /// Number of VMs with smaller ids.
    pub(super) rank: u32,
    /// Number of VMs, including this one.
    pub(super) count: u32,
}

impl VmRank {
    /// Returns whether this VM runs suspects on the server with this index, of `servers` in total.
    ///
    /// If there are fewer servers than VMs, several VMs share a server.
    pub(super) const fn runs_suspects_on(self, index: usize, servers: usize) -> bool {
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

/// State of the pool that the load of a server depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct LoadContext {
    pub(super) now: Timestamp,
    pub(super) newest_report: Timestamp,
    /// Running mean of the time between frames in the pool.
    pub(super) mean_frame_interval: Duration,
    pub(super) vm_rank: VmRank,
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) slots: u32,
    /// Requests of this VM that run on the server.
    pub(super) own_requests: u32,
    /// Value of `own_requests` in the last digest with server counts.
    pub(super) advertised_requests: u32,
    /// Suspects among `own_requests`.
    pub(super) running_suspects: u32,
    /// Whether the platform is about to remove the server.
    pub(super) leaving: bool,
    /// Index among the servers of the pool in the order of names.
    pub(super) index: usize,
    pub(super) health: ServerHealth,
    report: Option<SeenReport>,
}

impl ServerState {
    pub(super) const fn new(slots: u32) -> Self {
        Self {
            slots,
            own_requests: 0,
            advertised_requests: 0,
            running_suspects: 0,
            leaving: false,
            index: 0,
            health: ServerHealth::new(),
            report: None,
        }
    }

    /// Returns the difference between the running and the advertised requests of this VM.
    pub(super) const fn drift(&self) -> u32 {
        self.own_requests.abs_diff(self.advertised_requests)
    }

    /// Returns whether new requests may be sent to the server.
    pub(super) fn is_eligible(&self) -> bool {
        !self.leaving && self.health.status() == HealthStatus::Up
    }

    /// Records a load report.
    pub(super) fn record_report(&mut self, now: Timestamp, report: &LoadReport) {
        let total = report.running + report.waiting;
        self.report = Some(SeenReport {
            other_requests: total.saturating_sub(self.own_requests),
            seen: now,
        });
    }

    /// Returns the load in thousandths of the slots; a straggler counts as full.
    ///
    /// `other_requests` is the number that peers advertise. A load report also covers requests
    /// that nobody advertises. It is used until it is [`REPORT_TTL`] older than the newest report
    /// of the pool, rather than older than the current time: if all reports stop at once, this VM
    /// is probably at fault, and the last ones remain in use.
    pub(super) fn load(&self, other_requests: u32, context: LoadContext) -> LoadPermille {
        let other_requests = match self.report {
            Some(report) if report.seen + REPORT_TTL > context.newest_report => {
                other_requests.max(report.other_requests / REPORT_DIVISOR)
            }
            _ => other_requests,
        };
        let used = u64::from(self.own_requests + other_requests);
        let load = used * 1000 / u64::from(self.slots.max(1));
        if used >= u64::from(self.slots) || self.is_straggler(context) {
            return load + FULL_PERMILLE;
        }
        if self.is_contested(other_requests, context.vm_rank) {
            return CONTESTED_PERMILLE;
        }
        load
    }

    /// Returns whether the server is much slower than the pool on average.
    fn is_straggler(&self, context: LoadContext) -> bool {
        let interval = self.health.mean_frame_interval(context.now);
        !interval.is_zero() && interval > context.mean_frame_interval * STRAGGLER_PERCENT / 100
    }

    /// Returns whether other VMs are likely to take the last free slots at the same time.
    ///
    /// The slots that were free according to the last server counts in digests are assigned to the
    /// VMs in turn, by slot number. This VM may use the slots assigned to it and those that it has
    /// released since it last sent server counts.
    fn is_contested(&self, other_requests: u32, vm_rank: VmRank) -> bool {
        let free = self
            .slots
            .saturating_sub(self.advertised_requests + other_requests);
        let vms = vm_rank.count.max(1);
        let offset = u32::try_from(self.index).unwrap_or(0) + vm_rank.rank;
        let assigned = (offset + free).div_ceil(vms) - offset.div_ceil(vms);
        self.own_requests >= self.advertised_requests + assigned
    }
}
