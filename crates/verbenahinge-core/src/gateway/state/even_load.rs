//! Services whose load is kept even, and how even the load is.

use std::collections::BTreeMap;

use super::GatewayState;
use crate::gateway::{Call, EvenLoad, EvenLoadMode, MeanLoad, ServerOrder, ServiceName};
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp};

/// Servers of a plain service whose load is queried for a request.
const PLAIN_SAMPLE: u64 = 3;

/// Settings and averages for even load.
#[derive(Clone, Debug, Default)]
pub(super) struct EvenLoadState {
    mode: EvenLoadMode,
    is_large_fleet: bool,
    means: BTreeMap<ServiceName, MeanLoad>,
    busiest_over_mean: BTreeMap<ServiceName, f64>,
}

impl GatewayState {
    /// Sets the services whose load is kept even.
    pub fn set_even_load(&mut self, mode: EvenLoadMode) {
        self.even_load.mode = mode;
    }

    /// Sets whether the fleet is large; load is kept even only there.
    pub fn set_large_fleet(&mut self, is_large: bool) {
        self.even_load.is_large_fleet = is_large;
    }

    /// Whether the load of a service is kept even.
    #[must_use]
    pub fn keeps_load_even(&self, service: &str) -> bool {
        let state = &self.even_load;
        state.is_large_fleet
            && match state.mode {
                EvenLoadMode::Off => false,
                EvenLoadMode::On => true,
                EvenLoadMode::Auto => self.is_autoscaled(service) || self.has_tight_route(service),
            }
    }

    /// Whether the number of the service's servers follows orders.
    fn is_autoscaled(&self, service: &str) -> bool {
        let routing = self.routing.as_ref();
        let declared = routing.and_then(|routing| routing.services.get(service));
        declared.is_some_and(|declared| declared.scaling.is_some())
    }

    fn has_tight_route(&self, service: &str) -> bool {
        let routing = self.routing.as_ref();
        routing.is_some_and(|routing| routing.tight_gap_target(service).is_some())
    }

    /// What placement needs to keep the load of a call's service even; `None` if it is not kept so.
    pub(super) fn even_load_for(&self, call: &Call) -> Option<EvenLoad> {
        if !self.keeps_load_even(&call.service) {
            return None;
        }
        let slots = self.registry.order(&call.service)?.slots();
        let mean = self.even_load.means.get(&call.service).copied();
        let mean = mean.unwrap_or_default();
        let vms = f64::from(u32::try_from(self.vm_count()).unwrap_or(u32::MAX));
        let slots = f64::from(slots.max(1));
        Some(EvenLoad {
            is_settled: mean.is_settled(),
            mean_share: mean.own_running() * vms / slots,
            rate_per_slot: mean.own_per_s() * vms / slots,
            hold: mean.hold(),
            // Call ids of all VMs begin at 1, so the id alone would make VMs choose alike.
            seed: mix64(self.vm, call.id),
        })
    }

    /// Servers of a plain service whose load is to be queried for a call: a few random ones, so that no VM
    /// needs to know all. Empty if the service's load is not kept even.
    #[must_use]
    pub fn plain_sample(
        &self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
    ) -> Vec<ServerName> {
        if call.prompt.is_some() || !self.keeps_load_even(&call.service) {
            return Vec::new();
        }
        let seed = mix64(self.vm, call.id);
        let mut ranked = Vec::new();
        for candidate in self.candidates(now, call, tried) {
            let is_usable = candidate.wait().is_none() && candidate.has_room;
            if !is_usable || candidate.backend.is_ejected(now) {
                continue;
            }
            let id = &candidate.entry.id;
            ranked.push((mix64(seed, hash64(id.as_bytes())), id.clone()));
        }
        ranked.sort_unstable();
        let count = usize::try_from(PLAIN_SAMPLE).unwrap_or(usize::MAX);
        ranked.into_iter().take(count).map(|(_, id)| id).collect()
    }

    pub(super) fn note_even_load_sent(&mut self, call: &Call) {
        if let Some(mean) = self.even_load.means.get_mut(&call.service) {
            mean.note_sent();
        }
    }

    /// Updates the averages of each service.
    pub(super) fn observe_load(&mut self, now: Timestamp) {
        let vms = f64::from(u32::try_from(self.vm_count()).unwrap_or(u32::MAX));
        let state = &mut self.even_load;
        state.busiest_over_mean.clear();
        let mut services: BTreeMap<&ServiceName, (u32, f64)> = BTreeMap::new();
        for (id, backend) in &self.backends {
            let Some(entry) = self.registry.get(id) else {
                continue;
            };
            let (own, busiest) = services.entry(&entry.service).or_default();
            *own += backend.own_running();
            let share = f64::from(backend.running()) / f64::from(entry.slots.max(1));
            *busiest = busiest.max(share);
        }
        for (service, (own, busiest)) in services {
            let mean = state.means.entry(service.clone()).or_default();
            mean.observe(now, own);
            let slots = self.registry.order(service).map_or(0, ServerOrder::slots);
            let mean_share = mean.own_running() * vms / f64::from(slots.max(1));
            if mean_share > 0.0 {
                let ratio = busiest / mean_share;
                state.busiest_over_mean.insert(service.clone(), ratio);
            }
        }
    }

    /// Load of the busiest server over the mean by service, as this VM knows them.
    #[must_use]
    pub const fn busiest_over_mean(&self) -> &BTreeMap<ServiceName, f64> {
        &self.even_load.busiest_over_mean
    }
}
