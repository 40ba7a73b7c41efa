//! Operators and their roles.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Permissions of an operator; each role includes the ones before it.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Read the declaration, the history and the status.
    Read,
    /// Submit patches.
    Patch,
    /// Drain VMs.
    Drain,
}

/// Credentials and role of an operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 hash of the operator's token in hexadecimal.
    pub token_hash: String,
    /// Permissions of the operator.
    pub role: Role,
}
