//! Streams the parts of an answer to the caller as server-sent events.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;

use actix_http::body::BodyStream;
use actix_http::{Response, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::unfold;
use tokio::sync::mpsc;
use verbenahinge_core::RequestId;
use verbenahinge_http::HttpResponse;

use crate::api_error::{REQUEST_ID_HEADER, format_request_id, refusal_body};
use crate::shell::{AnswerPart, Shell};

/// Reports a disconnected caller to the core if dropped before the answer has ended.
pub(super) struct DisconnectGuard {
    shell: Rc<Shell>,
    request: RequestId,
    ended: bool,
}

impl DisconnectGuard {
    pub(super) const fn new(shell: Rc<Shell>, request: RequestId) -> Self {
        Self {
            shell,
            request,
            ended: false,
        }
    }

    /// Marks the answer as ended, so that dropping the guard has no effect.
    pub(super) const fn mark_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.shell.caller_gone(self.request);
        }
    }
}

/// Receiver for the parts of one answer, which reports a disconnected caller when dropped early.
pub(super) struct AnswerParts {
    receiver: mpsc::UnboundedReceiver<AnswerPart>,
    guard: DisconnectGuard,
    first: Option<AnswerPart>,
    done: bool,
}

impl AnswerParts {
    pub(super) const fn new(
        receiver: mpsc::UnboundedReceiver<AnswerPart>,
        guard: DisconnectGuard,
        first: Option<AnswerPart>,
    ) -> Self {
        Self {
            receiver,
            guard,
            first,
            done: false,
        }
    }

    pub(super) async fn next(&mut self) -> Option<AnswerPart> {
        let part = match self.first.take() {
            Some(part) => Some(part),
            None => self.receiver.recv().await,
        };
        if !matches!(part, Some(AnswerPart::Frame(_))) {
            self.guard.mark_ended();
        }
        part
    }

    /// Returns the next part if it has already arrived.
    fn try_next(&mut self) -> Option<AnswerPart> {
        let part = self.receiver.try_recv().ok()?;
        if !matches!(part, AnswerPart::Frame(_)) {
            self.guard.mark_ended();
        }
        Some(part)
    }

    /// Returns the next chunk of the response body; all parts that have already arrived are sent in
    /// one chunk.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.done {
            return None;
        }
        let mut part = self.next().await;
        let mut bytes = BytesMut::new();
        loop {
            match part {
                Some(AnswerPart::Frame(data)) => push_event(&mut bytes, &data),
                Some(AnswerPart::Refused(refusal)) => {
                    let body = refusal_body(self.guard.request, &refusal);
                    match serde_json::to_vec(&body) {
                        Ok(data) => push_event(&mut bytes, &data),
                        Err(error) => log::error!("failed to encode a refusal: {error}"),
                    }
                    self.done = true;
                }
                Some(AnswerPart::End) => {
                    push_event(&mut bytes, b"[DONE]");
                    self.done = true;
                }
                Some(AnswerPart::Whole(_) | AnswerPart::Replayed(_)) | None => self.done = true,
            }
            if self.done {
                break;
            }
            part = self.try_next();
            if part.is_none() {
                break;
            }
        }
        Some((Ok(bytes.freeze()), self))
    }
}

fn push_event(bytes: &mut BytesMut, data: &[u8]) {
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
}

/// Creates a streaming response.
pub(super) fn stream_response(request: RequestId, parts: AnswerParts) -> HttpResponse {
    let body: Pin<Box<dyn Stream<Item = Result<Bytes, Infallible>>>> =
        Box::pin(unfold(parts, AnswerParts::next_chunk));
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .insert_header((REQUEST_ID_HEADER, format_request_id(request)))
        .body(BodyStream::new(body))
        .map_into_boxed_body()
}
