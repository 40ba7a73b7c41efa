//! Load that this VM puts on one server.

use std::collections::BTreeMap;

use super::{Backend, count};
use crate::gateway::{PartId, PartState, PeerLoad, PrefillLoad, Priority};

impl Backend {
    /// Load that this VM puts on the server.
    #[must_use]
    pub fn own_load(&self) -> PeerLoad {
        PeerLoad {
            running: count(self.in_flight.len()),
            interactive: self.own_interactive(),
            memory_tokens: self
                .in_flight
                .values()
                .map(|request| request.memory_tokens)
                .sum(),
            prefill: self.own_prefill(),
            parts: self.parts_in_prefill(),
            report: self.own_report,
        }
    }

    /// Streams of this VM in flight that long prefills of other requests would make late.
    #[must_use]
    pub fn own_interactive(&self) -> u32 {
        let requests = self.in_flight.values();
        count(requests.filter(|request| request.interactive).count())
    }

    fn parts_in_prefill(&self) -> BTreeMap<PartId, PartState> {
        let mut parts = BTreeMap::new();
        for request in self.in_flight.values().filter(|request| request.prefilling) {
            for &part in &request.shared_parts {
                parts.insert(part, PartState::Prefilling);
            }
        }
        parts
    }

    pub(super) fn own_prefill(&self) -> BTreeMap<Priority, PrefillLoad> {
        let mut by_priority: BTreeMap<Priority, PrefillLoad> = BTreeMap::new();
        for request in self.in_flight.values() {
            let is_prefilling = u32::from(request.prefilling);
            by_priority
                .entry(request.priority)
                .or_default()
                .add(PrefillLoad {
                    running: 1,
                    prompts: is_prefilling,
                    tokens: request.prefill_tokens * is_prefilling,
                });
        }
        by_priority
    }
}
