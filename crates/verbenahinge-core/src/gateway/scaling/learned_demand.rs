//! Demand that a holder of the duty has learned, for its successor.

/// Demand that a holder of the duty has learned, as the store keeps it with the orders.
///
/// See [`OrderRecord`](super::OrderRecord).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LearnedDemand {
    /// Highest demand of the window, in hundredths of a server.
    pub highest_centiservers: u32,
    /// Lowest demand of the window, in hundredths of a server.
    pub lowest_centiservers: u32,
    /// Seconds with traffic that the window covers.
    pub seconds: u32,
}
