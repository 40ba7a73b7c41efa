//! Limits and prices for orders of one service's backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ServerKind;
use crate::ZoneName;

/// Millionths in one.
const PPM: u64 = 1_000_000;

/// Limits and prices for orders of one service's backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScalingLimits {
    /// Fewest servers of both kinds together in each zone.
    pub min_servers: u32,
    /// Most servers of both kinds together in each zone.
    pub max_servers: u32,
    /// Time from an order until the new servers serve.
    pub boot: Duration,
    /// Price of a spot server as a fraction of that of others, in millionths; `None` if there are none.
    pub spot_price_ppm: Option<u64>,
    /// Price of a server that is not a spot server, for each second and zone, in millionths.
    pub zone_prices_ppm: BTreeMap<ZoneName, u64>,
}

impl ScalingLimits {
    /// Price of a server for each second, in millionths; `None` in a zone without a price.
    #[must_use]
    pub fn price_ppm(&self, zone: &str, kind: ServerKind) -> Option<u64> {
        let price = *self.zone_prices_ppm.get(zone)?;
        Some(match kind {
            ServerKind::OnDemand => price,
            ServerKind::Spot => price.saturating_mul(self.spot_price_ppm.unwrap_or(PPM)) / PPM,
        })
    }

    /// Whether spot servers pay in a number of zones, of which one may lose all its spot servers.
    ///
    /// With `zones` zones, `zones` spot servers have to be paid for `zones - 1` that remain.
    pub(super) fn spot_pays(&self, zones: u32) -> bool {
        let Some(spot_price_ppm) = self.spot_price_ppm else {
            return false;
        };
        zones >= 2 && spot_price_ppm.saturating_mul(u64::from(zones)) < PPM * u64::from(zones - 1)
    }
}
