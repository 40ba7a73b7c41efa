//! Load patterns that orders answer.

use strum::{Display, IntoStaticStr};

/// Load pattern that an order answers.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum OrderReason {
    /// No traffic yet, so no server has cached parts: cheaper servers take the place of others.
    BeforeTraffic,
    /// It is unknown whether traffic runs: the number of servers stays what the deployment began with.
    UnknownLoad,
    /// Traffic runs at servers that others could replace at less cost.
    SteadyTraffic,
    /// The present load with a burst needs more servers than would remain after a reclaim.
    RisingLoad,
    /// Spot servers of a zone were reclaimed while traffic runs.
    ZoneReclaimed,
    /// Servers that were ordered have not registered, or have gone without notice.
    ServersMissing,
    /// Servers that take the place of others are ready.
    Replaced,
    /// The recurring waves of load need fewer servers.
    LowLoad,
    /// An earlier order has no response, so it may not have been carried out.
    Unanswered,
}
