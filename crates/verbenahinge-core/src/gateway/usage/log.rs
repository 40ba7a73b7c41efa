//! Batches that a VM has received from others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::UsageBatch;
use crate::{Timestamp, VmId};

/// Time for which the batches of a VM that tells no more are kept: several times that until a window's
/// report is fixed.
const KEEP_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, Default)]
struct VmBatches {
    /// Number up to which all batches that the VM still had were received.
    received: u64,
    batches: BTreeMap<u64, (Timestamp, UsageBatch)>,
    heard_at: Timestamp,
}

/// Batches that a VM has received from others, by process, as the holder of the lease or as one that may
/// become it.
#[derive(Clone, Debug, Default)]
pub struct UsageLog {
    by_vm: BTreeMap<VmId, VmBatches>,
}

impl UsageLog {
    /// Creates an empty log.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            by_vm: BTreeMap::new(),
        }
    }

    /// Adds batches of a VM that keeps those from `first` on. Returns the number up to which all batches
    /// have been received; those after a gap are not kept and have to be sent again.
    pub fn merge(
        &mut self,
        now: Timestamp,
        vm: VmId,
        first: u64,
        batches: impl IntoIterator<Item = UsageBatch>,
    ) -> u64 {
        let log = self.by_vm.entry(vm).or_default();
        log.heard_at = now;
        log.received = log.received.max(first.saturating_sub(1));
        for batch in batches {
            if batch.number == log.received + 1 {
                log.received = batch.number;
                log.batches.insert(batch.number, (now, batch));
            }
        }
        log.received
    }

    /// Drops batches whose windows are over for long.
    pub fn expire(&mut self, now: Timestamp) {
        for log in self.by_vm.values_mut() {
            log.batches.retain(|_, (at, _)| *at + KEEP_TIME > now);
        }
        self.by_vm.retain(|_, log| log.heard_at + KEEP_TIME > now);
    }

    /// VMs whose batches are kept.
    pub fn vms(&self) -> impl Iterator<Item = VmId> {
        self.by_vm.keys().copied()
    }

    /// Batches of a VM after the one with a number, in order.
    pub fn batches_after(&self, vm: VmId, number: u64) -> impl Iterator<Item = &UsageBatch> {
        let log = self.by_vm.get(&vm);
        let batches = log.map(|log| log.batches.range(number + 1..));
        batches.into_iter().flatten().map(|(_, (_, batch))| batch)
    }
}
