//! Demand for services over all VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ServiceDemand;
use crate::{Timestamp, VmId};

/// Time after which the requests in flight at a silent VM no longer count. VMs with such requests tell of
/// them every two seconds.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(6);

/// Time after which a silent VM process is taken for ended.
const FORGET_TIME: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug)]
struct VmDemand {
    /// Number of the message, since messages may overtake each other.
    number: u64,
    told_at: Timestamp,
    demand: ServiceDemand,
}

/// Demand for services over all VMs, by hash of the service's name.
///
/// Sums only grow, also when VMs end, except for the requests in flight. At a VM that begins to hear of the
/// demand, they begin with what the VMs have counted since their start.
#[derive(Clone, Debug, Default)]
pub struct DemandLog {
    told: BTreeMap<(VmId, u64), VmDemand>,
    ended: BTreeMap<u64, ServiceDemand>,
}

impl DemandLog {
    /// Creates an empty log.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            told: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Notes the demand for a service that a VM process tells in its message with a number.
    pub fn note(
        &mut self,
        now: Timestamp,
        vm: VmId,
        number: u64,
        service: u64,
        demand: ServiceDemand,
    ) {
        let old = self.told.get(&(vm, service));
        if old.is_some_and(|old| old.number > number) {
            return;
        }
        let told = VmDemand {
            number,
            told_at: now,
            demand,
        };
        self.told.insert((vm, service), told);
    }

    /// Sums over all VMs.
    #[must_use]
    pub fn sums(&self, now: Timestamp) -> BTreeMap<u64, ServiceDemand> {
        let mut sums = self.ended.clone();
        for (&(_, service), told) in &self.told {
            let mut demand = told.demand;
            if told.told_at + IN_FLIGHT_TIME <= now {
                demand.in_flight = 0;
            }
            sums.entry(service).or_default().add(demand);
        }
        sums
    }

    /// Folds the counts of ended VM processes into one sum.
    pub fn expire(&mut self, now: Timestamp) {
        let ended = &mut self.ended;
        self.told.retain(|&(_, service), told| {
            let is_live = told.told_at + FORGET_TIME > now;
            if !is_live {
                let demand = ServiceDemand {
                    in_flight: 0,
                    ..told.demand
                };
                ended.entry(service).or_default().add(demand);
            }
            is_live
        });
    }
}
