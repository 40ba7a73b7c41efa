//! Time of day on which the VMs of a fleet agree.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Timestamp, VmId};

/// Time for which the clock of a VM counts after it was last told.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Time for which the sample with the shortest way is preferred: messages wait on busy links and threads,
/// by which the sender's clock seems to be late.
const SAMPLE_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    /// Time of day of a VM minus the boot time of this one.
    offset_us: i64,
    sampled_at: Timestamp,
    heard_at: Timestamp,
}

/// Time of day of the fleet: the median over the VMs' clocks.
///
/// It advances with the boot-time clock of this VM, which goes on while the VM is frozen. A clock that
/// differs or jumps by seconds moves the median by no more than the difference between sound clocks.
#[derive(Clone, Debug, Default)]
pub struct FleetTime {
    clocks: BTreeMap<VmId, ClockSample>,
    median_us: Option<i64>,
}

impl FleetTime {
    /// Creates a time without clocks.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            clocks: BTreeMap::new(),
            median_us: None,
        }
    }

    /// Notes the time of day of a VM, this one or another, that was told at the boot time `now`.
    pub fn note_clock(&mut self, now: Timestamp, vm: VmId, time_of_day: Timestamp) {
        let offset_us = to_us(time_of_day) - to_us(now);
        let old = self.clocks.get(&vm);
        let kept =
            old.filter(|old| old.offset_us > offset_us && old.sampled_at + SAMPLE_TIME > now);
        let sample = match kept {
            Some(kept) => ClockSample {
                heard_at: now,
                ..*kept
            },
            None => ClockSample {
                offset_us,
                sampled_at: now,
                heard_at: now,
            },
        };
        self.clocks.insert(vm, sample);
    }

    /// Computes the median anew; called about once a second.
    pub fn refresh(&mut self, now: Timestamp) {
        self.clocks
            .retain(|_, clock| clock.heard_at + MAX_AGE > now);
        let mut offsets: Vec<i64> = self.clocks.values().map(|clock| clock.offset_us).collect();
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        let upper = offsets.get(middle).copied();
        let lower = offsets.get(offsets.len().saturating_sub(1) / 2).copied();
        if let (Some(lower), Some(upper)) = (lower, upper) {
            self.median_us = Some(lower.midpoint(upper));
        }
    }

    /// Time of day of the fleet at the boot time `now`; `None` before the first [`Self::refresh`].
    #[must_use]
    pub fn at(&self, now: Timestamp) -> Option<Timestamp> {
        let time_us = to_us(now) + self.median_us?;
        Some(Duration::from_micros(u64::try_from(time_us).ok()?))
    }
}

fn to_us(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
