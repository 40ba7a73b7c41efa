//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::stream::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use verbenahinge_platform::http_headers;

/// Why a stream to a caller breaks off; the connection closes without the end of the answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer could not be completed")]
pub(crate) struct BrokenOff;

type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>;

/// Body of an answer: whole, or a stream.
pub(crate) enum AnswerBody {
    Whole(Full<Bytes>),
    Stream(EventStream),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|item| item.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub(crate) type CallerAnswer = Response<AnswerBody>;

/// Makes an answer of the router's own.
pub(crate) fn own_answer(
    status: StatusCode,
    request_id: Option<&str>,
    retry_after: Option<Duration>,
    message: &str,
) -> CallerAnswer {
    let text = format!("{message}\n");
    let mut answer = Response::new(AnswerBody::Whole(Full::new(Bytes::from(text))));
    *answer.status_mut() = status;
    *answer.headers_mut() = http_headers::encode_router_response(request_id, retry_after);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// Announces that the connection closes after the answer.
pub(crate) fn announce_close(answer: &mut CallerAnswer) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
