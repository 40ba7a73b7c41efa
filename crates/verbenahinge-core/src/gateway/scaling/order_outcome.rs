//! What became of an order.

use strum::{Display, IntoStaticStr};

/// What became of an order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The order is carried out.
    Accepted,
    /// No server of that kind is available in that zone at the moment.
    Unavailable,
    /// The order was refused or not sent, for a reason that has nothing to do with the zone.
    Delayed,
    /// There is no response: the order may have been carried out.
    Unanswered,
}
