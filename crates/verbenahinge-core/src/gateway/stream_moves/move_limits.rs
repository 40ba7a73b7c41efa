//! Properties of moves between the engines of a service.

use std::time::Duration;

/// How the engines of a service move the memory of running requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MoveLimits {
    /// Time for which the handle of a copy can be used.
    pub handle_ttl: Duration,
    /// Time to copy one token between engines of one zone; twice as much between zones.
    pub token_copy: Duration,
}
