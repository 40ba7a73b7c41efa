//! Orders that have to outlast the VM that gave them.

use std::collections::BTreeMap;

use super::{LearnedDemand, WorkerSubject};
use crate::ZoneName;

/// Orders of one service, as the store keeps them for the next holder of the duty.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderRecord {
    /// Servers that the deployment began with.
    pub initial: BTreeMap<ZoneName, u32>,
    /// Last order of each subject; it may not have been sent.
    pub desired: BTreeMap<WorkerSubject, u32>,
    /// Demand that the holder has learned; `None` before traffic, and in rows of builds that do not store it.
    pub demand: Option<LearnedDemand>,
}
