//! What a plan is made from.

use std::collections::BTreeMap;

use super::{DemandSample, ServerCapacity, ServerCounts, WorkerSubject};

/// What is known of a service when its orders are decided.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingInputs {
    /// Demand of all VMs together; `None` while it is unknown.
    pub demand: Option<DemandSample>,
    /// What one server can carry.
    pub capacity: ServerCapacity,
    /// Registered servers.
    pub servers: BTreeMap<WorkerSubject, ServerCounts>,
}

impl ScalingInputs {
    /// Registered servers of a subject.
    #[must_use]
    pub fn counts(&self, subject: &WorkerSubject) -> ServerCounts {
        self.servers.get(subject).copied().unwrap_or_default()
    }
}
