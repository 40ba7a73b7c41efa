//! Body of a response, during which the connection counts as serving its request.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::HttpResponse;
use crate::read_gate::ServedRequest;

/// Body that holds a request as being served.
struct ServedBody {
    body: BoxBody,
    _served: ServedRequest,
}

impl MessageBody for ServedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

/// Lets a response hold its request as being served until its body has been passed on.
pub(crate) fn hold_served(response: HttpResponse, served: Option<ServedRequest>) -> HttpResponse {
    let Some(served) = served else {
        return response;
    };
    response.map_body(|_, body| {
        BoxBody::new(ServedBody {
            body,
            _served: served,
        })
    })
}
