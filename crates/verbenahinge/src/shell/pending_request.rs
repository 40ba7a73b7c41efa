//! State of a request outside the core: its content, the channel to its caller and its timing.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use tokio::sync::mpsc;
use verbenahinge_core::{Attempt, Refusal, Timestamp};

use crate::body_memory::BodyHold;
use crate::metrics::RequestMetrics;

/// Content to send to a backend server.
#[derive(Clone, Debug)]
pub(crate) enum BackendCall {
    /// Completion by a model engine.
    Engine(Rc<EngineCall>),
    /// Call to a plain service.
    Service(Rc<ServiceCall>),
}

/// Content of a completion request.
#[derive(Debug)]
pub(crate) struct EngineCall {
    /// Request path on the engine.
    pub(crate) path: &'static str,
    /// Request body; each attempt sets `stream` and `priority`.
    pub(crate) body: serde_json::Map<String, serde_json::Value>,
    /// Memory of the body, if it is not empty.
    pub(crate) _hold: Option<BodyHold>,
    /// Whether the answer is stored for replay to duplicates.
    pub(crate) keep_outcome: bool,
}

/// Content of a call to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body, if it is not empty.
    pub(crate) _hold: Option<BodyHold>,
    /// Whether the answer is stored for replay to duplicates.
    pub(crate) keep_outcome: bool,
}

/// Answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Bytes,
}

/// Part of the answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Data of one server-sent event.
    Frame(Bytes),
    /// Complete answer of a plain service.
    Whole(ServiceAnswer),
    /// End of a complete streamed answer.
    End,
    /// Refusal, which ends the answer.
    Refused(Refusal),
    /// Stored outcome of an earlier request with the same idempotency key.
    Replayed(Arc<str>),
}

/// Request whose answer has not ended.
pub(super) struct PendingRequest {
    pub(super) call: BackendCall,
    pub(super) sender: mpsc::UnboundedSender<AnswerPart>,
    pub(super) metrics: RequestMetrics,
    pub(super) arrived: Timestamp,
    pub(super) last_token: Option<Timestamp>,
    pub(super) task: Option<JoinHandle<()>>,
    pub(super) stream_attempt: Attempt,
    pub(super) service_answer: Option<ServiceAnswer>,
    pub(super) kept_frames: Vec<Bytes>,
}

impl PendingRequest {
    pub(super) const fn new(
        call: BackendCall,
        sender: mpsc::UnboundedSender<AnswerPart>,
        metrics: RequestMetrics,
        arrived: Timestamp,
    ) -> Self {
        Self {
            call,
            sender,
            metrics,
            arrived,
            last_token: None,
            task: None,
            stream_attempt: 0,
            service_answer: None,
            kept_frames: Vec::new(),
        }
    }

    /// Returns whether the answer is stored for replay to duplicates.
    pub(super) fn keeps_outcome(&self) -> bool {
        match &self.call {
            BackendCall::Engine(call) => call.keep_outcome,
            BackendCall::Service(call) => call.keep_outcome,
        }
    }

    /// Sends a part to the caller. A disconnected caller is not handled here; `DisconnectGuard`
    /// reports it.
    pub(super) fn send(&self, part: AnswerPart) {
        if self.sender.send(part).is_err() {
            log::trace!("an answer part was dropped: the caller has disconnected");
        }
    }
}
