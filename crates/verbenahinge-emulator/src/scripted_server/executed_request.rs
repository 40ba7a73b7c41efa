//! Records of executed requests.

use serde::{Deserialize, Serialize};

use super::ServerFault;

/// Record of a request that a server executed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutedRequest {
    /// Request ID.
    pub request_id: String,
    /// Method and request target, separated by a space.
    pub target: String,
    /// Request body, with invalid UTF-8 replaced.
    pub body: String,
    /// Client account in the request headers.
    pub account: String,
    /// API key in the request headers, which the router must not forward.
    pub api_key: String,
    /// Value of the deadline header in milliseconds, or 0.
    pub deadline_ms: u64,
    /// ID of the event after which the stream resumes, or 0.
    pub last_event: u64,
    /// Source and handle of the run that the request continued; empty if it began one.
    pub moved_from: String,
    /// Whether the complete response was sent.
    pub is_complete: bool,
    /// Whether the client closed the connection before an endless response ended.
    pub was_closed: bool,
    /// Bytes of an endless response that were sent, in whole pieces.
    pub endless_bytes: usize,
    /// Time of its arrival since the start of the server, in milliseconds.
    pub arrived_ms: u64,
    /// Fault that was injected into the response, or else the last one on its connection.
    pub fault: ServerFault,
    /// Number of the connection that it arrived on, in the order of their opening.
    pub connection: u64,
}
