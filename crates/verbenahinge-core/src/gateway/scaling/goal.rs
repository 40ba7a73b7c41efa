//! Numbers of servers that orders work towards.

use std::collections::BTreeMap;

use super::survival::Survival;
use super::{ScalingLimits, ServerKind, WorkerSubject};
use crate::ZoneName;

/// Initial servers of a zone for each one that is not replaced by a spot server.
const INITIAL_PER_BASE_SERVER: u32 = 15;

/// Part of the initial servers, in hundredths, that has to remain after a reclaim while demand is unknown.
const SURVIVORS_PERCENT: u32 = 60;

/// Numbers of servers that orders work towards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Goal {
    /// Servers by zone and kind.
    pub(super) servers: Survival,
    /// Servers that have to remain when one zone loses its spot servers.
    pub(super) survivors: u32,
    /// Whether the service's limits allow fewer servers than it needs.
    pub(super) is_limited: bool,
}

impl Goal {
    /// Computes the cheapest numbers that carry the load after a reclaim.
    ///
    /// `needed` is the number of servers that the load with a burst needs. Until that `is_known`, the
    /// deployment keeps at least as many servers as it began with.
    pub(super) fn new(
        limits: &ScalingLimits,
        initial: &BTreeMap<ZoneName, u32>,
        needed: u32,
        is_known: bool,
    ) -> Self {
        let zones = zones_by_price(limits, initial);
        let zone_count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        let total: u32 = zones.iter().map(|(_, initial)| initial).sum();
        let (survivors, min_total) = if is_known {
            (needed, needed)
        } else {
            let share = (total * SURVIVORS_PERCENT).div_ceil(100);
            (share.max(needed), total)
        };
        let uses_spot = limits.spot_pays(zone_count);
        let base_of = |initial: u32| initial.div_ceil(INITIAL_PER_BASE_SERVER);
        let base: u32 = zones.iter().map(|&(_, initial)| base_of(initial)).sum();
        let mut servers = Survival::default();
        for &(zone, initial) in &zones {
            let on_demand = WorkerSubject::new(zone, ServerKind::OnDemand);
            let spot = WorkerSubject::new(zone, ServerKind::Spot);
            if !uses_spot {
                let even = needed.div_ceil(zone_count);
                let wanted = if is_known { even } else { initial.max(even) };
                let wanted = wanted.max(limits.min_servers);
                servers.add(&on_demand, wanted.min(limits.max_servers));
                continue;
            }
            let kept = base_of(initial).min(limits.max_servers);
            // With an equal number in each zone, all zones but one remain.
            let even = survivors.saturating_sub(base).div_ceil(zone_count - 1);
            let replaced = (initial - base_of(initial)).min(total.saturating_sub(survivors));
            let wanted = if is_known { even } else { replaced.max(even) };
            let wanted = wanted.max(limits.min_servers.saturating_sub(kept));
            servers.add(&on_demand, kept);
            servers.add(&spot, wanted.min(limits.max_servers - kept));
        }
        let mut goal = Self {
            servers,
            survivors,
            is_limited: false,
        };
        goal.fill(limits, &zones, min_total);
        goal
    }

    /// Adds servers that cannot be reclaimed, where they cost least, until the load is carried.
    fn fill(&mut self, limits: &ScalingLimits, zones: &[(&ZoneName, u32)], min_total: u32) {
        for &(zone, _) in zones {
            let room = limits.max_servers - self.servers.in_zone(zone);
            let on_demand = WorkerSubject::new(zone, ServerKind::OnDemand);
            self.servers.add(&on_demand, self.lack(min_total).min(room));
        }
        self.is_limited = self.lack(min_total) > 0;
    }

    fn lack(&self, min_total: u32) -> u32 {
        let lacking_survivors = self.survivors.saturating_sub(self.servers.survivors());
        lacking_survivors.max(min_total.saturating_sub(self.servers.total()))
    }
}

/// Zones in which the service runs and that have a price, cheapest first, with their initial servers.
fn zones_by_price<'a>(
    limits: &ScalingLimits,
    initial: &'a BTreeMap<ZoneName, u32>,
) -> Vec<(&'a ZoneName, u32)> {
    let mut zones = Vec::new();
    for (zone, &servers) in initial {
        if let Some(price) = limits.price_ppm(zone, ServerKind::OnDemand)
            && servers > 0
        {
            zones.push((price, zone, servers));
        }
    }
    zones.sort_unstable();
    let without_price = zones.into_iter().map(|(_, zone, servers)| (zone, servers));
    without_price.collect()
}
