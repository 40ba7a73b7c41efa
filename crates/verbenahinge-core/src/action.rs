//! What the core asks of its driver.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_log::{PatchId, PatchRejection};
use crate::digest::Digest;
use crate::table::{RowKey, TableOp};
use crate::{Attempt, ConfigVersion, Refusal, RequestId, ServerName, TableOpId, VmId};

/// An output of the core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt on its backend server.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// The backend server.
        server: ServerName,
    },
    /// Pass the frame that was just handed in to the caller.
    Relay(RequestId),
    /// End the answer to the caller; it is whole.
    Finish(RequestId),
    /// Answer the caller with a refusal; it is final.
    Refuse {
        /// The request.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
    /// Answer the caller with the outcome of an earlier request under the same key.
    Replay {
        /// The request.
        request: RequestId,
        /// The outcome of the earlier request.
        outcome: Arc<str>,
    },
    /// Ask the table service.
    Table {
        /// Numbers the operation.
        op: TableOpId,
        /// The operation.
        operation: TableOp,
    },
    /// Send a digest to peers.
    SendDigest {
        /// Where the peers listen.
        links: Vec<SocketAddr>,
        /// The digest.
        digest: Digest,
    },
    /// Ask a peer for the version that it has in force.
    FetchConfig(VmId),
    /// A newer version is in force here.
    InForce(ConfigVersion),
    /// A row of the configuration cannot be read; the version in force stays.
    ConfigUnreadable(RowKey),
    /// A patch was accepted or rejected.
    PatchDecided {
        /// The patch.
        patch_id: PatchId,
        /// The version that it made, or why not.
        result: Result<ConfigVersion, PatchRejection>,
    },
    /// A backend server was ejected or is back.
    HealthChanged {
        /// The backend server.
        server: ServerName,
        /// Whether it receives requests again.
        up: bool,
    },
    /// A shutting down VM has ended its last request.
    Drained,
}

/// One attempt of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Numbers the attempt.
    pub attempt: Attempt,
    /// The backend server.
    pub server: ServerName,
    /// How the attempt relates to earlier ones.
    pub mode: DispatchMode,
    /// Priority for the backend server, 0 the highest.
    pub tier: crate::Tier,
    /// Whether the tier's guaranteed progress let it pass before higher tiers.
    pub floor: bool,
}

/// How an attempt relates to earlier ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchMode {
    /// Runs the request from its start.
    Fresh,
    /// Runs the request on another backend server, behind the frames already delivered.
    Continue {
        /// Frames that the caller has.
        delivered: u64,
    },
    /// Opens a new connection to the stream of an earlier attempt; nothing runs again.
    Resume {
        /// Frames that the caller has.
        delivered: u64,
        /// The attempt whose stream it is.
        stream: Attempt,
    },
}
