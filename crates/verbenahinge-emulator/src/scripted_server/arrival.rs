//! Records of requests that reached a server.

use serde::{Deserialize, Serialize};

/// Request that reached a server, whether it was executed or not.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Arrival {
    /// Request ID.
    pub request_id: String,
    /// Time of its arrival since the start of the server, in milliseconds.
    pub arrived_ms: u64,
}
