//! Counts of one VM on their way to the holder of the lease.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

use super::{UsageBatch, UsageCount, WindowId};
use crate::{AccountName, Timestamp, VmId};

/// Time for which a batch is kept for VMs that become the holder: that until its windows are fixed, and
/// that until a lost holder is replaced.
const KEEP_TIME: Duration = Duration::from_secs(25);

/// Counts in one batch, which together fit into a datagram of 1,400 bytes with names of 20 characters.
const MAX_BATCH_COUNTS: usize = 48;

#[derive(Clone, Copy, Debug, Default)]
struct Receiver {
    vm: Option<VmId>,
    acknowledged: u64,
}

/// Counts of one VM on their way to the holder of the lease and those that may become it.
#[derive(Clone, Debug, Default)]
pub struct UsageSender {
    open: BTreeMap<(WindowId, AccountName), u64>,
    batches: VecDeque<(Timestamp, UsageBatch)>,
    last_number: u64,
    receivers: BTreeMap<IpAddr, Receiver>,
}

impl UsageSender {
    /// Creates a sender without counts.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            batches: VecDeque::new(),
            last_number: 0,
            receivers: BTreeMap::new(),
        }
    }

    /// Counts a request that began in a window.
    pub fn count(&mut self, window: WindowId, account: &AccountName) {
        *self.open.entry((window, account.clone())).or_default() += 1;
    }

    /// Forms batches of what was counted since the last call; returns them.
    pub fn close_batches(&mut self, now: Timestamp) -> Vec<UsageBatch> {
        let mut counts = Vec::new();
        for ((window, account), count) in std::mem::take(&mut self.open) {
            counts.push(UsageCount {
                window,
                account,
                count,
            });
        }
        let mut closed = Vec::new();
        for counts in counts.chunks(MAX_BATCH_COUNTS) {
            self.last_number += 1;
            let batch = UsageBatch {
                number: self.last_number,
                counts: counts.to_vec(),
            };
            self.batches.push_back((now, batch.clone()));
            closed.push(batch);
        }
        while let Some((at, _)) = self.batches.front()
            && *at + KEEP_TIME <= now
        {
            self.batches.pop_front();
        }
        closed
    }

    /// Number of the oldest batch that is kept, or that of the next one.
    #[must_use]
    pub fn first_number(&self) -> u64 {
        let oldest = self.batches.front();
        oldest.map_or(self.last_number + 1, |(_, batch)| batch.number)
    }

    /// Sets the VMs that get the batches.
    pub fn set_receivers(&mut self, receivers: &[IpAddr]) {
        self.receivers.retain(|ip, _| receivers.contains(ip));
        for &ip in receivers {
            self.receivers.entry(ip).or_default();
        }
    }

    /// VMs that get the batches.
    pub fn receivers(&self) -> impl Iterator<Item = IpAddr> {
        self.receivers.keys().copied()
    }

    /// Batches that a VM has not acknowledged.
    pub fn unacknowledged(&self, receiver: IpAddr) -> impl Iterator<Item = &UsageBatch> {
        let acknowledged = self.receivers.get(&receiver);
        let acknowledged = acknowledged.map_or(0, |receiver| receiver.acknowledged);
        let batches = self.batches.iter().map(|(_, batch)| batch);
        batches.filter(move |batch| batch.number > acknowledged)
    }

    /// Notes that a VM has received all batches up to a number.
    pub fn note_acknowledged(&mut self, receiver: IpAddr, number: u64) {
        if let Some(receiver) = self.receivers.get_mut(&receiver) {
            receiver.acknowledged = receiver.acknowledged.max(number);
        }
    }

    /// Notes the process of a VM; one that has started again has lost what it had acknowledged.
    pub fn note_process(&mut self, receiver: IpAddr, vm: VmId) {
        if let Some(receiver) = self.receivers.get_mut(&receiver)
            && receiver.vm.replace(vm).is_some_and(|old| old != vm)
        {
            receiver.acknowledged = 0;
        }
    }
}
