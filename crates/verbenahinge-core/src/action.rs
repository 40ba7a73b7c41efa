//! Outputs of the core.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_log::{PatchId, PatchRejection};
use crate::digest::Digest;
use crate::table::{RowKey, TableOp};
use crate::{Attempt, ConfigVersion, Refusal, RequestId, ServerName, TableOpId, VmId};

/// An output of the core, to be carried out by its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt on its backend server.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Attempt to stop.
        attempt: Attempt,
        /// Backend server that runs the attempt.
        server: ServerName,
    },
    /// Forward the frame of the current event to the caller.
    Relay(RequestId),
    /// End the answer to the caller; it is complete.
    Finish(RequestId),
    /// Answer the caller with a refusal, which is final.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Reason and details for the caller.
        refusal: Refusal,
    },
    /// Answer the caller with the outcome of an earlier request with the same idempotency key.
    Replay {
        /// Request to answer.
        request: RequestId,
        /// Outcome of the earlier request.
        outcome: Arc<str>,
    },
    /// Send an operation to the table service.
    Table {
        /// Identifier to return with the reply.
        op: TableOpId,
        /// Operation to send.
        operation: TableOp,
    },
    /// Send a digest to peers.
    SendDigest {
        /// Addresses of the peers.
        links: Vec<SocketAddr>,
        /// Digest to send.
        digest: Digest,
    },
    /// Fetch the configuration version that is in force on a peer.
    FetchConfig(VmId),
    /// A newer configuration version came into force on this VM.
    ConfigInForce(ConfigVersion),
    /// A configuration row cannot be parsed, or the row of a version is missing; the version in
    /// force stays.
    ConfigUnreadable(RowKey),
    /// The submission of a patch has ended.
    PatchCompleted {
        /// Patch that was submitted.
        patch_id: PatchId,
        /// Version that it created, or the reason why it was not accepted.
        result: Result<ConfigVersion, PatchRejection>,
    },
    /// A backend server was ejected or readmitted.
    HealthChanged {
        /// Backend server whose health status changed.
        server: ServerName,
        /// Whether it was readmitted.
        up: bool,
    },
    /// The last request has ended on a VM that is shutting down.
    Drained,
}

/// One attempt to serve a request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Request to send.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Backend server to send it to.
    pub server: ServerName,
    /// Relation to earlier attempts.
    pub mode: DispatchMode,
    /// Priority on the backend server; 0 is the highest.
    pub tier: crate::Tier,
    /// Whether this is a guaranteed dispatch, which precedes higher tiers to prevent starvation.
    pub guaranteed: bool,
}

/// Relation of an attempt to earlier attempts of the same request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchMode {
    /// Runs the request from the start.
    Fresh,
    /// Runs the request again and continues the answer after the frames already delivered.
    Continue {
        /// Number of frames delivered to the caller.
        delivered: u64,
    },
    /// Reconnects to the stream of an earlier attempt without running the request again.
    Resume {
        /// Number of frames delivered to the caller.
        delivered: u64,
        /// Attempt that opened the stream.
        stream: Attempt,
    },
}
