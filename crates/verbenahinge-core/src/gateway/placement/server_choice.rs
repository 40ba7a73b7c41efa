//! Server that a request is sent to.

use std::time::Duration;

use crate::ServerName;

/// Server selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChoice {
    /// Name of the backend server.
    pub server: ServerName,
    /// Cost of prefilling the prompt there, in tokens.
    pub prefill_cost: f64,
    /// Expected time to the first event.
    pub expected_wait: Duration,
    /// Engine to copy the KV cache of the shared prompt parts from, if any.
    pub copy_from: Option<ServerName>,
    /// Whether prefills of other requests on the same engine would make the stream late.
    pub interactive: bool,
    /// Whether the stream has a tight gap target.
    pub tight: bool,
    /// Expected gap between two events of the stream, at a service with tight gap targets.
    pub expected_gap: Option<Duration>,
}
