//! Client accounts.

use serde::{Deserialize, Serialize};

use crate::ClassName;

/// A client account: its API keys, permitted classes and limits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// BLAKE3 hashes of the API keys in hexadecimal; the keys themselves are never stored.
    pub key_hashes: Vec<String>,
    /// Relative weight of the account when a tier's capacity is shared.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Classes that the account may use.
    pub classes: Vec<ClassName>,
    /// Class of requests that specify none.
    pub default_class: ClassName,
    /// Maximum number of requests in flight per VM; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
}

const fn default_weight() -> u32 {
    1
}
