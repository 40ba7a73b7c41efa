//! Inputs of the core.

use std::sync::Arc;

use crate::config_log::{PatchSubmission, VersionRow};
use crate::digest::Digest;
use crate::membership::VmEntry;
use crate::retry::FailureKind;
use crate::table::TableReply;
use crate::{Attempt, Incarnation, Request, RequestId, ServerName, TableOpId};

/// An input of the core, passed to [`crate::Node::handle`] together with its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Request),
    /// The caller of a request disconnected.
    CallerGone(RequestId),
    /// A frame of an answer arrived.
    Frame(Frame),
    /// An answer is complete, including its end marker.
    Finished {
        /// Request that was answered.
        request: RequestId,
        /// Attempt that produced the answer.
        attempt: Attempt,
        /// Answer to replay to duplicates of a request that is not repeatable.
        outcome: Option<Arc<str>>,
    },
    /// An attempt failed.
    Failed {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Attempt that failed.
        attempt: Attempt,
        /// Kind of failure.
        kind: FailureKind,
    },
    /// A backend server reported its load.
    Report(LoadReport),
    /// A peer sent a digest.
    Digest(Digest),
    /// The platform supplied its list of VMs.
    VmList(Vec<VmEntry>),
    /// The platform listed the backend servers that it is about to remove.
    ServersLeaving(Vec<ServerName>),
    /// The table service answered an operation, or its answer was lost.
    TableReply {
        /// Identifier of the operation.
        op: TableOpId,
        /// Answer, or the fact that none came.
        reply: TableReply,
    },
    /// A configuration version was received, for example from a peer.
    ConfigReceived(Arc<VersionRow>),
    /// An operator submitted a patch.
    Patch(PatchSubmission),
    /// A graceful shutdown of the VM was requested.
    Drain,
    /// The time returned by [`crate::Node::next_timer`] has been reached.
    Timer,
}

/// Metadata of one frame of an answer; the content stays with the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Request that the frame belongs to.
    pub request: RequestId,
    /// Attempt that produced the frame.
    pub attempt: Attempt,
    /// Index of the frame in the whole answer, starting at 0.
    pub seq: u64,
    /// Number of tokens in the frame.
    pub tokens: u32,
}

/// Load report of a backend server; it may be out of date when it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Backend server that sent the report.
    pub server: ServerName,
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Number of running requests, from all VMs.
    pub running: u32,
    /// Number of requests not yet started, from all VMs.
    pub waiting: u32,
}
