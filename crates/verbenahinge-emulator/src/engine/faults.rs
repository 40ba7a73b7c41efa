//! Faults that tests inject into an engine.

use serde::{Deserialize, Serialize};

/// Faults of an engine, set by `POST /faults`.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is enabled independently"
)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Streaming responses that are open when this is set send nothing more; later ones are not
    /// affected.
    pub silence_open: bool,
    /// Sends each frame twice.
    pub double_frames: bool,
    /// Sends a frame with another request ID before each frame.
    pub foreign_frames: bool,
    /// Removes the last byte of the data of each frame, so that it is not valid JSON.
    pub cut_frames: bool,
    /// Multiplier of the time between tokens; 0 is treated as 1.
    pub slow_factor: u64,
    /// Freezes load reports at the values that they have when this is set.
    pub freeze_load: bool,
}
