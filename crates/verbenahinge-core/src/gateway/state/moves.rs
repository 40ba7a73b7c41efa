//! Engines that streams of leaving engines may be moved to.

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::{MoveLimits, MoveTarget};

impl GatewayState {
    /// How the engines of a service move running requests; `None` if they are not to be moved.
    #[must_use]
    pub fn move_limits(&self, service: &str) -> Option<MoveLimits> {
        self.routing.as_ref()?.services.get(service)?.moves
    }

    /// Engines of a service that get requests, and their room for moved ones as far as this VM knows it.
    #[must_use]
    pub fn move_targets(&self, now: Timestamp, service: &str) -> Vec<MoveTarget> {
        let routing = self.routing.as_ref();
        let declared = routing.and_then(|routing| routing.services.get(service));
        let Some(engine) = declared.and_then(|service| service.engine) else {
            return Vec::new();
        };
        let mut targets = Vec::new();
        for entry in self.registry.ready(service) {
            let Some(backend) = self.backends.get(&entry.id) else {
                continue;
            };
            if backend.is_ejected(now) || self.pause_left(now, entry).is_some() {
                continue;
            }
            let slots = entry.slots.min(engine.slots);
            let used_tokens = u64::from(backend.memory_tokens());
            targets.push(MoveTarget {
                server: entry.id.clone(),
                service: entry.service.clone(),
                version: entry.software_version(),
                zone: entry.availability_zone.clone(),
                is_spot: entry.spot,
                slots,
                free_slots: slots.saturating_sub(backend.running()),
                free_tokens: engine.memory_tokens.saturating_sub(used_tokens),
            });
        }
        targets
    }
}
