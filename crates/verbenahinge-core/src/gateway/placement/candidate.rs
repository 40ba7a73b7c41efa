//! Backend server that is considered for a request.

use std::time::Duration;

use crate::gateway::{Backend, ServerEntry};

/// Backend server that a request can be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Entry in the registry.
    pub entry: &'a ServerEntry,
    /// Load and health of the server as known to this VM.
    pub backend: &'a Backend,
    /// Time for which the server still wants no requests from this VM; `None` if it does now.
    pub pause: Option<Duration>,
    /// Whether the server is one of those that suit the prompt best, or all servers are considered.
    pub is_preferred: bool,
    /// Whether the server may get a request although it is brittle; true if it is not.
    pub has_room: bool,
    /// Time that an engine takes, relative to a usual one; 1 if that is not known.
    pub pace: f64,
}

impl Candidate<'_> {
    /// Time until the server may get a request from this VM; `None` if it may now.
    pub(in crate::gateway) fn wait(&self) -> Option<Duration> {
        self.pause.max(self.backend.limit_wait())
    }
}
