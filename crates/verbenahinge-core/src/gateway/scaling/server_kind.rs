//! Kind of a backend server.

use strum::{Display, IntoStaticStr};

/// Kind of a backend server; the number of each kind is ordered separately.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum ServerKind {
    /// Stays until it is released.
    OnDemand,
    /// Costs less, and may be reclaimed together with all others of its zone.
    Spot,
}

impl ServerKind {
    /// Kind of a server whose entry says whether it is a spot server.
    #[must_use]
    pub const fn from_spot(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }
}
