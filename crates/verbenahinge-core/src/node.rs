//! The routing state machine of one VM.
//!
//! [`Node::handle`] is the only entry point. Admission, placement, claims and the other concerns
//! keep their state in separate modules of the crate; the submodules here apply them to each
//! stage of a request (arrival, dispatch, progress, failure) and handle peers, the table service
//! and timers.

mod arrival;
mod dispatch;
mod drain;
mod estimate;
mod failure;
mod options;
mod peers;
mod pool;
mod preemption;
mod progress;
mod request_state;
mod server;
mod store;
mod timer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use self::options::NodeOptions;
use self::pool::PoolState;
use self::request_state::RequestState;
use self::timer::Timer;
use crate::claims::Claims;
use crate::config_log::{ConfigLog, VersionRow};
use crate::digest::{Digest, PoolTag};
use crate::membership::Membership;
use crate::quarantine::Quarantine;
use crate::{AccountName, Action, Event, PoolName, RequestId, ServerName, TableOpId, Timestamp};

/// The state of one VM: its requests, pools, peers, configuration and timers.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    now: Timestamp,
    actions: Vec<Action>,
    requests: BTreeMap<RequestId, RequestState>,
    pools: BTreeMap<PoolName, PoolState>,
    pool_tags: BTreeMap<PoolTag, PoolName>,
    server_pools: BTreeMap<ServerName, PoolName>,
    requests_per_account: BTreeMap<AccountName, u32>,
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
    server_counts_sent: Timestamp,
    last_digest: Digest,
    leaving_servers: BTreeSet<ServerName>,
    draining: bool,
    drained: bool,
}

impl Node {
    /// Creates a node without configuration, whose first timers are due immediately.
    #[must_use]
    pub fn new(options: NodeOptions) -> Self {
        let membership = Membership::new(options.address, options.seeds.iter().copied());
        let mut node = Self {
            options,
            now: Timestamp::ZERO,
            actions: Vec::new(),
            requests: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_tags: BTreeMap::new(),
            server_pools: BTreeMap::new(),
            requests_per_account: BTreeMap::new(),
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
            server_counts_sent: Timestamp::ZERO,
            last_digest: Digest::default(),
            leaving_servers: BTreeSet::new(),
            draining: false,
            drained: false,
        };
        node.timers.insert((Timestamp::ZERO, Timer::Tick));
        node.timers.insert((Timestamp::ZERO, Timer::ConfigPoll));
        node
    }

    /// Processes an event and appends the resulting actions to `actions`.
    ///
    /// The node's time never goes backwards: an earlier `now` is replaced by the latest one seen.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Arrived(request) => self.handle_arrival(request),
            Event::CallerGone(request) => self.handle_caller_gone(request),
            Event::Frame(frame) => self.handle_frame(frame),
            Event::Finished {
                request,
                attempt,
                outcome,
            } => self.handle_finished(request, attempt, outcome),
            Event::Failed {
                request,
                attempt,
                kind,
            } => self.handle_attempt_failure(request, attempt, kind),
            Event::Report(report) => self.handle_load_report(&report),
            Event::Digest(digest) => self.handle_digest(&digest),
            Event::VmList(entries) => self.set_vm_list(&entries),
            Event::ServersLeaving(servers) => self.set_leaving_servers(servers),
            Event::TableReply { op, reply } => self.handle_table_reply(op, &reply),
            Event::ConfigReceived(row) => self.adopt_config(row),
            Event::Patch(submission) => self.submit_patch(&submission),
            Event::Drain => self.start_drain(),
            Event::Timer => self.run_timers(),
        }
        actions.append(&mut self.actions);
    }

    /// Returns the time at which [`Event::Timer`] is next due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Returns the configuration version in force.
    #[must_use]
    pub const fn config(&self) -> &Arc<VersionRow> {
        self.config.in_force()
    }

    /// Returns whether the VM may accept requests: the configuration log has been read, or a peer
    /// has supplied a version, and the VM is not draining.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.is_loaded() && !self.draining
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the VMs known to this one.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the number of requests that this VM is running in a pool.
    #[must_use]
    pub fn running(&self, pool: &str) -> u32 {
        self.pools
            .get(pool)
            .map_or(0, |pool| pool.demand().total_running())
    }
}
