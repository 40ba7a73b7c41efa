//! Faults that tests inject into the platform.

use serde::{Deserialize, Serialize};

/// How requests other than those for faults, counters and VM list updates are handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreMode {
    /// Requests are processed normally.
    #[default]
    Up,
    /// Every request fails with status 503 and takes no effect.
    Down,
    /// Requests take effect but receive no response.
    LoseReplies,
    /// Requests receive no response and take no effect.
    Silent,
}

/// Faults of the platform, set by `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// How reads and writes of rows and objects, and reads of the VM list, are handled.
    pub store: StoreMode,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Age of the VM list that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// Number of following writes that take effect but receive no response.
    pub lose_next_writes: u32,
}
