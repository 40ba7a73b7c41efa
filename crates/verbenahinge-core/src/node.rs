//! The state machine that one VM decides with.
//!
//! [`Node::handle`] is the only way in. Each concern keeps its own state in a module of its
//! own; the files below this one connect them along the life of a request: arrival, dispatch,
//! progress, failure, and beside it peers, store and timers.

mod arrival;
mod dispatch;
mod drain;
mod estimate;
mod failure;
mod flight;
mod options;
mod peers;
mod pool;
mod preemption;
mod progress;
mod server;
mod store;
mod timer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use self::flight::Flight;
pub use self::options::NodeOptions;
use self::pool::PoolState;
use self::timer::Timer;
use crate::claims::Claims;
use crate::config_log::{ConfigLog, VersionRow};
use crate::digest::{Digest, PoolTag};
use crate::membership::Membership;
use crate::quarantine::Quarantine;
use crate::{AccountName, Action, Event, PoolName, RequestId, ServerName, TableOpId, Timestamp};

/// The decisions of one VM.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    now: Timestamp,
    out: Vec<Action>,
    flights: BTreeMap<RequestId, Flight>,
    pools: BTreeMap<PoolName, PoolState>,
    pool_tags: BTreeMap<PoolTag, PoolName>,
    server_pools: BTreeMap<ServerName, PoolName>,
    account_flights: BTreeMap<AccountName, u32>,
    config: ConfigLog,
    claims: Claims,
    membership: Membership,
    quarantine: Quarantine,
    timers: BTreeSet<(Timestamp, Timer)>,
    next_op: TableOpId,
    digest_seq: u64,
    digest_due: Option<Timestamp>,
    digest_sent: Timestamp,
    digest_budget: u64,
    digest_early: bool,
    whole_digest_sent: Timestamp,
    last_digest: Digest,
    leaving_servers: BTreeSet<ServerName>,
    draining: bool,
    drained: bool,
}

impl Node {
    /// Creates the node of a VM that has just started.
    #[must_use]
    pub fn new(options: NodeOptions) -> Self {
        let membership = Membership::new(options.address, options.seeds.iter().copied());
        let mut node = Self {
            options,
            now: Timestamp::ZERO,
            out: Vec::new(),
            flights: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_tags: BTreeMap::new(),
            server_pools: BTreeMap::new(),
            account_flights: BTreeMap::new(),
            config: ConfigLog::new(),
            claims: Claims::new(),
            membership,
            quarantine: Quarantine::new(),
            timers: BTreeSet::new(),
            next_op: 0,
            digest_seq: 0,
            digest_due: None,
            digest_sent: Timestamp::ZERO,
            digest_budget: 0,
            digest_early: false,
            whole_digest_sent: Timestamp::ZERO,
            last_digest: Digest::default(),
            leaving_servers: BTreeSet::new(),
            draining: false,
            drained: false,
        };
        node.timers.insert((Timestamp::ZERO, Timer::Tick));
        node.timers.insert((Timestamp::ZERO, Timer::ConfigPoll));
        node
    }

    /// Takes in an event and appends what follows from it to `out`.
    ///
    /// Moments never go back; an earlier one counts as the latest seen.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Arrived(request) => self.arrived(request),
            Event::CallerGone(request) => self.caller_gone(request),
            Event::Frame(frame) => self.frame(frame),
            Event::Finished {
                request,
                attempt,
                outcome,
            } => self.finished(request, attempt, outcome),
            Event::Failed {
                request,
                attempt,
                kind,
            } => self.attempt_failed(request, attempt, kind),
            Event::Report(report) => self.report(&report),
            Event::Digest(digest) => self.peer_digest(&digest),
            Event::VmList(entries) => self.vm_list(&entries),
            Event::ServersLeaving(servers) => self.servers_leaving(servers),
            Event::TableReply { op, reply } => self.table_reply(op, &reply),
            Event::ConfigReceived(row) => self.config_learned(row),
            Event::Patch(submission) => self.patch(&submission),
            Event::Drain => self.drain(),
            Event::Timer => self.run_timers(),
        }
        out.append(&mut self.out);
    }

    /// The moment at which [`Event::Timer`] is due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// The version in force.
    #[must_use]
    pub const fn config(&self) -> &Arc<VersionRow> {
        self.config.in_force()
    }

    /// Says whether the VM may take requests: it knows the log and is not shutting down.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.is_loaded() && !self.draining
    }

    /// Number of requests that have no final answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// The VMs as this one knows them.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Requests of one pool that hold slots of this VM.
    #[must_use]
    pub fn running(&self, pool: &str) -> u32 {
        self.pools
            .get(pool)
            .map_or(0, |pool| pool.demand().total_running())
    }
}
