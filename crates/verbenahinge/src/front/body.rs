//! Reads bodies of callers within the memory of the process.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::StreamExt;
use verbenahinge_core::hash::hash64;
use verbenahinge_http::{HttpRequest, RequestBody, header_text};

use super::Rejection;
use super::request_headers::Caller;
use crate::api_error::ErrorCode;
use crate::body_memory::{BodyHold, BodyRefusal, BodyTerms};
use crate::shell::Shell;

/// Time within which a caller has to send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of the rate of a body.
const PACE_INTERVAL: Duration = Duration::from_secs(1);

/// Priority of all bodies: the class of a request ranks when it is admitted, and no body of one class
/// is given up for that of another.
const BODY_PRIORITY: u8 = 0;

impl From<BodyRefusal> for Rejection {
    fn from(refusal: BodyRefusal) -> Self {
        match refusal {
            BodyRefusal::TooLarge => Self::new(ErrorCode::BodyTooLarge, "the body is too large"),
            BodyRefusal::NoRoom => Self::new(
                ErrorCode::NoRoom,
                "this VM has no memory for the body at this moment",
            ),
        }
    }
}

/// Receives the body of a request; `None` in place of its memory if it is empty.
pub(super) async fn receive(
    shell: &Rc<Shell>,
    caller: &Caller,
    request: &mut HttpRequest,
) -> Result<(Bytes, Option<BodyHold>), Rejection> {
    let terms = BodyTerms {
        owner: hash64(caller.account.as_bytes()),
        priority: BODY_PRIORITY,
        length: header_text(request, "content-length").and_then(|length| length.parse().ok()),
        max_bytes: shell.settings.max_body_bytes,
    };
    if terms.length == Some(0) {
        return Ok((Bytes::new(), None));
    }
    let received = verbenahinge_http::timeout(BODY_TIMEOUT, receive_within(shell, terms, request));
    match received.await {
        Ok(received) => received,
        Err(_) => Err(too_slow()),
    }
}

async fn receive_within(
    shell: &Rc<Shell>,
    terms: BodyTerms,
    request: &mut HttpRequest,
) -> Result<(Bytes, Option<BodyHold>), Rejection> {
    let mut receiver = shell.body_memory.begin_body(shell.clock.now(), &terms)?;
    let mut payload = RequestBody::new(request);
    let mut pace_timer = pin!(sleep(PACE_INTERVAL));
    loop {
        tokio::select! {
            biased;
            () = receiver.dropped() => return Err(BodyRefusal::NoRoom.into()),
            chunk = payload.next() => match chunk {
                Some(Ok(data)) => receiver.push(shell.clock.now(), &data)?,
                Some(Err(_)) => {
                    let message = "the body broke off";
                    return Err(Rejection::new(ErrorCode::MalformedRequest, message));
                }
                None => {
                    let (bytes, hold) = receiver.complete()?;
                    return Ok((bytes, Some(hold)));
                }
            },
            () = pace_timer.as_mut() => {
                if receiver.is_too_slow(shell.clock.now()) {
                    return Err(too_slow());
                }
                pace_timer.set(sleep(PACE_INTERVAL));
            }
        }
    }
}

fn too_slow() -> Rejection {
    Rejection::new(ErrorCode::BodyTimeout, "the body did not arrive in time")
}
