//! Responses to callers.

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

use super::connection_activity::ServedRequest;

/// Error that ends the response body early; the connection closes without the end of the body.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the response could not be completed")]
pub(crate) struct IncompleteResponse;

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteResponse>>>>;

/// Body of a response, sent either at once or as a stream.
pub(crate) enum ResponseBody {
    Buffered(Full<Bytes>),
    Stream(ChunkStream),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
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
            Self::Buffered(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Body of a response, until whose end its request counts as being served.
pub(crate) struct ServedBody {
    body: ResponseBody,
    served: ServedRequest,
}

impl ServedBody {
    pub(crate) const fn new(body: ResponseBody, served: ServedRequest) -> Self {
        Self { body, served }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            let length = frame.data_ref().map_or(0, Bytes::len);
            this.served.add_unread(length);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// Creates a plain-text response by the router itself, rather than by a backend server.
pub(crate) fn error_response(
    status: StatusCode,
    request_id: Option<&str>,
    retry_after: Option<Duration>,
    message: &str,
) -> CallerResponse {
    let text = format!("{message}\n");
    let mut response = Response::new(ResponseBody::Buffered(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    *response.headers_mut() = http_headers::encode_router_response(request_id, retry_after);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Adds `Connection: close`, which announces that the connection closes after the response.
pub(crate) fn announce_connection_close(response: &mut CallerResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
