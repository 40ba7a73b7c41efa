//! Reason why one server cannot get a request.

use strum::IntoStaticStr;

/// Why a server cannot get a request.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// The server wants no requests for a while, or its rate limit is used up.
    Paused,
    /// The server has failed too many requests of this VM.
    Ejected,
    /// The server is brittle and may have no room.
    NoRoom,
    /// The first event would come too late.
    Late,
    /// The prefill queue has room only for more urgent prompts.
    Yields,
    /// The engine is busy, does not suit the prompt best and would have to read or copy its shared parts.
    Cold,
    /// All slots are in use.
    NoSlot,
    /// The memory of the engine is in use.
    NoMemory,
    /// The request would make several streams late.
    Busy,
}

impl Obstacle {
    /// Whether the server is full rather than too slow for the request.
    pub(super) const fn is_full(self) -> bool {
        matches!(self, Self::NoSlot | Self::NoMemory | Self::Busy)
    }
}
