//! Faults that a test switches on.

use serde::{Deserialize, Serialize};

/// Faults of an engine.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Connections that are open when this is set carry nothing more; new ones work.
    pub silence_open: bool,
    /// Each frame is sent twice.
    pub double_frames: bool,
    /// A frame of another request is put before each frame.
    pub foreign_frames: bool,
    /// The data of each frame is cut short, so that it is no JSON.
    pub cut_frames: bool,
    /// Factor on the time between tokens; 0 counts as 1.
    pub slow_factor: u64,
    /// Load reports keep the values that they have now.
    pub freeze_load: bool,
}
