//! Engines that streams may be moved to.

use crate::gateway::{ServiceName, SoftwareVersion};
use crate::{ServerName, ZoneName};

/// Engine that has room for streams that move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveTarget {
    /// Name of the engine.
    pub server: ServerName,
    /// Service of the engine.
    pub service: ServiceName,
    /// Software version of the engine.
    pub version: SoftwareVersion,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Whether the engine is a spot server.
    pub is_spot: bool,
    /// Number of slots.
    pub slots: u32,
    /// Slots that no request uses, as far as this VM knows.
    pub free_slots: u32,
    /// Tokens that the memory still has room for, as far as this VM knows.
    pub free_tokens: u64,
}
