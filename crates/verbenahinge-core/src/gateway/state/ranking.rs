//! Ranks engines for a request without their load.

use super::GatewayState;
use crate::gateway::Call;
use crate::{ServerName, Timestamp};

impl GatewayState {
    /// Ranks engines for a call by its prompt alone, without their load, best first.
    ///
    /// Omits engines in `tried`, ejected ones, those that pause and brittle ones without room; empty if the
    /// call has no prompt.
    pub fn rank_engines(
        &mut self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
        count: usize,
    ) -> Vec<ServerName> {
        self.rank_engines_in(now, call, tried, count, false)
    }

    /// As [`Self::rank_engines`]; `is_overflow` tells that the best engines were full.
    pub(in crate::gateway) fn rank_engines_in(
        &mut self,
        now: Timestamp,
        call: &Call,
        tried: &[ServerName],
        count: usize,
        is_overflow: bool,
    ) -> Vec<ServerName> {
        self.resize_interactive_group(now, call);
        self.refresh_limits(now, call);
        let (Some(order), Some(prompt)) = (self.registry.order(&call.service), &call.prompt) else {
            return Vec::new();
        };
        let context = self.placement_context(now, call);
        let interactive = context.is_interactive(call);
        let group_size = context.interactive_group_size;
        let room_use = self.room_use(now, call);
        let key = prompt.prefix_key();
        let is_usable = |id: &ServerName| {
            let backend = self.backends.get(id);
            let entry = self.registry.get(id);
            !tried.contains(id)
                && entry.is_some_and(|entry| call.may_run_at(entry))
                && backend.zip(entry).is_some_and(|(backend, entry)| {
                    let candidate = self.candidate(now, entry, backend, room_use);
                    !backend.is_ejected(now) && candidate.wait().is_none() && candidate.has_room
                })
        };
        match self.tight_group_size(&call.service) {
            Some(tight_size) => {
                let sizes = (tight_size, group_size);
                let kind = (context.kind(call), is_overflow);
                order.top_ranked_paced(key, sizes, kind, count, is_usable)
            }
            None => order.top_ranked(key, group_size, interactive, count, is_usable),
        }
    }
}
