//! What orders of servers are decided from.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::{
    Backend, DemandSample, ScalingInputs, ServerCapacity, ServerCounts, ServerEntry, ServerKind,
    ServerState, WorkerSubject,
};

/// Time after its start for which a server counts as slow at most, in case that its entry is never renewed.
const MAX_WARM_UP: Duration = Duration::from_secs(30);

impl GatewayState {
    /// What is known of a service when its orders are decided; `demand` is that of all VMs together.
    #[must_use]
    pub fn scaling_inputs(
        &self,
        now: Timestamp,
        service: &str,
        demand: Option<DemandSample>,
    ) -> ScalingInputs {
        let mut servers: BTreeMap<WorkerSubject, ServerCounts> = BTreeMap::new();
        for (entry, is_usable) in self.registry.entries() {
            if *entry.service != *service {
                continue;
            }
            let kind = ServerKind::from_spot(entry.spot);
            let subject = WorkerSubject::new(&entry.availability_zone, kind);
            let counts = servers.entry(subject).or_default();
            if !is_usable {
                counts.leaving += 1;
                let is_reclaimed =
                    entry.state == ServerState::Draining && entry.leaves_in.is_some();
                counts.reclaimed += u32::from(is_reclaimed);
            } else if is_warming(now, entry) {
                counts.warming += 1;
            } else {
                counts.ready += 1;
            }
        }
        ScalingInputs {
            demand,
            capacity: self.server_capacity(service),
            servers,
        }
    }

    /// What one server of a service can carry, on average.
    fn server_capacity(&self, service: &str) -> ServerCapacity {
        let routing = self.routing.as_ref();
        let declared = routing.and_then(|routing| routing.services.get(service));
        let engine = declared.and_then(|declared| declared.engine);
        let mut servers: u32 = 0;
        let mut slots = 0.0;
        let mut tokens_per_ms = 0.0;
        for entry in self.registry.ready(service) {
            servers += 1;
            slots += f64::from(entry.slots);
            let backend = self.backends.get(&entry.id);
            tokens_per_ms += backend.map_or(0.0, Backend::prefill_rate);
        }
        let count = f64::from(servers.max(1));
        ServerCapacity {
            slots: slots / count,
            prefill_tokens_per_s: engine.map(|_| tokens_per_ms * 1000.0 / count),
            #[expect(clippy::cast_precision_loss, reason = "memory is below 2^53 tokens")]
            memory_tokens: engine.map(|engine| engine.memory_tokens as f64),
        }
    }
}

fn is_warming(now: Timestamp, entry: &ServerEntry) -> bool {
    let started_at = entry.started_unix_ms.map(Duration::from_millis);
    !entry.warm_up.is_zero() && started_at.is_some_and(|at| at + MAX_WARM_UP > now)
}
