//! Wire format of a backend server that leaves.

use verbenahinge_core::gateway::ServerStart;

/// Start of a backend server that has said in an answer that it leaves.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct LeavingMessage {
    /// Name of the server; the receiver may not have read its registry entry yet.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) server: String,
    /// Start of its process as Unix time in milliseconds; absent if its registry entry names none.
    #[prost(uint64, optional, tag = "2")]
    pub(in crate::gateway) started_unix_ms: Option<u64>,
}

impl LeavingMessage {
    pub(in crate::gateway) fn from_start(start: &ServerStart) -> Self {
        Self {
            server: start.server.to_string(),
            started_unix_ms: start.started_unix_ms,
        }
    }

    pub(in crate::gateway) fn to_start(&self) -> ServerStart {
        ServerStart {
            server: self.server.as_str().into(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}
