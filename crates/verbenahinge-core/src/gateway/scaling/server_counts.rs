//! Registered backend servers of one kind in one zone.

/// Registered backend servers of one kind in one zone, by their state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounts {
    /// Servers that take requests at full speed.
    pub ready: u32,
    /// Servers that have registered and are still slow.
    pub warming: u32,
    /// Servers that complete their requests and leave.
    pub leaving: u32,
    /// Those of the leaving ones that have named the time that is left.
    pub reclaimed: u32,
}

impl ServerCounts {
    /// Servers that are not leaving.
    #[must_use]
    pub const fn present(&self) -> u32 {
        self.ready + self.warming
    }
}
