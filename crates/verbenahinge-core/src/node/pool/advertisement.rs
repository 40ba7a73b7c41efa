//! Pool state that is advertised to peers in digests.

use super::PoolState;
use crate::declaration::TIER_COUNT;
use crate::shares::Demand;

/// Drift from which a digest with server counts is due.
const DRIFT_THRESHOLD: u32 = 3;

/// Constant part of the change of a tier's demand that is not worth a digest.
const DEMAND_TOLERANCE: u32 = 1;

/// Divisor of the advertised demand that gives the relative part of that change.
const DEMAND_TOLERANCE_DIVISOR: u32 = 8;

/// Most urgent change since the last digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::node) enum UnsentChange {
    /// No significant change.
    None,
    /// The demand of a tier has changed, or its queue is now empty.
    Demand,
    /// Requests run on other servers than advertised.
    ServerCounts,
    /// A tier whose queue was empty has queued requests.
    Waiting,
}

impl PoolState {
    /// Returns the most urgent change since the last digest.
    pub(in crate::node) fn unsent_change(&self) -> UnsentChange {
        let demand = self.demand();
        let waiting =
            |tier: usize| demand.queued[tier] > 0 && self.advertised_demand.queued[tier] == 0;
        if (0..TIER_COUNT).any(waiting) {
            return UnsentChange::Waiting;
        }
        if self.drift >= DRIFT_THRESHOLD {
            return UnsentChange::ServerCounts;
        }
        let changed = |tier: usize| {
            let advertised = self.advertised_demand.requested(tier);
            demand.requested(tier).abs_diff(advertised)
                > DEMAND_TOLERANCE + advertised / DEMAND_TOLERANCE_DIVISOR
        };
        let ended =
            |tier: usize| demand.queued[tier] == 0 && self.advertised_demand.queued[tier] > 0;
        if (0..TIER_COUNT).any(|tier| changed(tier) || ended(tier)) {
            return UnsentChange::Demand;
        }
        UnsentChange::None
    }

    /// Returns the demand of this VM for a digest and records it as advertised.
    pub(in crate::node) fn advertise_demand(&mut self) -> Demand {
        self.advertised_demand = self.demand();
        self.advertised_demand
    }

    /// Returns the requests of this VM on each server, in the order of server names, for a digest
    /// and records them as advertised.
    pub(in crate::node) fn advertise_server_counts(&mut self) -> Vec<u32> {
        self.drift = 0;
        let mut counts = Vec::with_capacity(self.servers.len());
        for server in self.servers.values_mut() {
            server.advertised_requests = server.own_requests;
            counts.push(server.own_requests);
        }
        counts
    }
}
