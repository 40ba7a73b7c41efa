//! Body of a request, which lets its connection read on as the handler takes it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;

use crate::HttpRequest;
use crate::read_gate::ReadGate;

/// Stream of the parts of a request body.
///
/// A connection reads little ahead of this stream, so that a body that nobody takes holds no memory.
pub struct RequestBody {
    payload: Payload,
    gate: Option<Rc<ReadGate>>,
}

impl RequestBody {
    /// Takes the body of a request.
    #[must_use]
    pub fn new(request: &mut HttpRequest) -> Self {
        Self {
            gate: request.conn_data::<Rc<ReadGate>>().map(Rc::clone),
            payload: request.take_payload(),
        }
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.payload).poll_next(context);
        if polled.is_pending()
            && let Some(gate) = &this.gate
        {
            gate.want_body();
        }
        Poll::Ready(ready!(polled))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(gate) = &self.gate {
            gate.leave_body();
        }
    }
}
