//! An order of backend servers.

use super::{OrderReason, WorkerSubject};

/// Order of a number of backend servers of one kind in one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerOrder {
    /// Zone and kind.
    pub subject: WorkerSubject,
    /// Number of servers that are to run, those that run already included.
    pub desired: u32,
    /// Number that the last order stated.
    pub previous: u32,
    /// Load pattern that the order answers.
    pub reason: OrderReason,
}

impl WorkerOrder {
    /// Whether servers are released.
    #[must_use]
    pub const fn is_release(&self) -> bool {
        self.desired < self.previous
    }
}
