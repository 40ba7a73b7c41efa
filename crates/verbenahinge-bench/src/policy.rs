//! Routing policies.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Routing policy that a run uses.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The decision core, with one node per VM.
    Shares,
    /// Each VM dispatches every request immediately to the next backend server.
    RoundRobin,
    /// Each VM dispatches every request immediately to the less loaded of two random backend
    /// servers.
    TwoChoices,
    /// One queue for all VMs, with an undelayed view of all slots and exact prefix lengths.
    Oracle,
}
