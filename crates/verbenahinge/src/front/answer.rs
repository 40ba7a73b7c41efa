//! Delivery of an answer to its caller.

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

use crate::api_error::{REQUEST_ID_HEADER, format_id, refusal_body};
use crate::shell::{Part, Shell};

/// Tells the core when a caller goes away before its answer has ended.
pub(super) struct CallerGuard {
    shell: Rc<Shell>,
    request: RequestId,
    ended: bool,
}

impl CallerGuard {
    pub(super) const fn new(shell: Rc<Shell>, request: RequestId) -> Self {
        Self {
            shell,
            request,
            ended: false,
        }
    }

    /// Takes note that the answer has ended.
    pub(super) const fn ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.shell.caller_gone(self.request);
        }
    }
}

/// Parts of one answer, with the guard of its caller.
pub(super) struct Parts {
    receiver: mpsc::UnboundedReceiver<Part>,
    guard: CallerGuard,
    first: Option<Part>,
    done: bool,
}

impl Parts {
    pub(super) const fn new(
        receiver: mpsc::UnboundedReceiver<Part>,
        guard: CallerGuard,
        first: Option<Part>,
    ) -> Self {
        Self {
            receiver,
            guard,
            first,
            done: false,
        }
    }

    pub(super) async fn next(&mut self) -> Option<Part> {
        let part = match self.first.take() {
            Some(part) => Some(part),
            None => self.receiver.recv().await,
        };
        if !matches!(part, Some(Part::Frame(_))) {
            self.guard.ended();
        }
        part
    }

    /// Returns a part that has already arrived.
    fn arrived(&mut self) -> Option<Part> {
        let part = self.receiver.try_recv().ok()?;
        if !matches!(part, Part::Frame(_)) {
            self.guard.ended();
        }
        Some(part)
    }

    /// Returns the next bytes of the stream; frames that arrived together go together.
    async fn next_bytes(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.done {
            return None;
        }
        let mut part = self.next().await;
        let mut bytes = BytesMut::new();
        loop {
            match part {
                Some(Part::Frame(data)) => push_event(&mut bytes, &data),
                Some(Part::Refused(refusal)) => {
                    let body = refusal_body(self.guard.request, &refusal);
                    match serde_json::to_vec(&body) {
                        Ok(data) => push_event(&mut bytes, &data),
                        Err(error) => log::error!("a refusal could not be encoded: {error}"),
                    }
                    self.done = true;
                }
                Some(Part::End) => {
                    push_event(&mut bytes, b"[DONE]");
                    self.done = true;
                }
                Some(Part::Whole(_) | Part::Replayed(_)) | None => self.done = true,
            }
            if self.done {
                break;
            }
            part = self.arrived();
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

/// Creates a streaming answer.
pub(super) fn stream(request: RequestId, parts: Parts) -> HttpResponse {
    let body: Pin<Box<dyn Stream<Item = Result<Bytes, Infallible>>>> =
        Box::pin(unfold(parts, Parts::next_bytes));
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .insert_header((REQUEST_ID_HEADER, format_id(request)))
        .body(BodyStream::new(body))
        .map_into_boxed_body()
}
