//! Faults and timing.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::{Framing, ServerFault};

/// Faults and timing of a server.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is enabled independently"
)]
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServerFaults {
    /// Fault to inject.
    pub fault: ServerFault,
    /// Number of requests that the fault affects; 0 means all.
    pub times: u32,
    /// Time before each response and after each event, in milliseconds.
    pub work_ms: u64,
    /// Time from the head of a stream to its first event, in milliseconds.
    pub first_event_ms: u64,
    /// Length of a pause, in milliseconds.
    pub pause_ms: u64,
    /// Number of events in a complete stream.
    pub events: u64,
    /// Rate limit that responses name, in requests per second; 0 means none.
    pub limit_per_s: f64,
    /// Idle timeout that plain responses announce, in seconds; 0 means none.
    pub keep_alive_s: u64,
    /// Whether all responses say that the server leaves.
    pub is_leaving: bool,
    /// Time that rejections ask the client to wait, in seconds; 0 means that they do not.
    pub retry_after_s: f64,
    /// Time before each rejection, in milliseconds.
    pub reject_delay_ms: u64,
    /// Whether rejections name no request.
    pub are_rejections_anonymous: bool,
    /// How a complete response, or one that is cut off, tells its end.
    pub framing: Framing,
    /// Requests that run at a time; further ones are rejected. 0 means any number.
    pub max_running: u32,
    /// Rejections for want of room in a second that the server bears, and names in its responses; with
    /// more, its process exits. 0 means any number.
    pub max_rejections_per_s: u32,
    /// Client whose new connections are reset at once, as by a network that cuts it off.
    pub cut_off: Option<IpAddr>,
    /// Whether open connections of that client are reset too.
    pub cuts_open_connections: bool,
    /// Status of plain responses; 0 means 200. Responses with 204 or 304 have no body.
    pub status: u16,
    /// Time of each copy of a run to another server, in milliseconds.
    pub copy_ms: u64,
    /// Whether the server has no room for copies of other servers' runs.
    pub refuses_copies: bool,
    /// Whether the server rejects requests that continue a run.
    pub rejects_moved: bool,
    /// Whether the responses to calls that stop a run to move it are lost.
    pub loses_move_answers: bool,
}
