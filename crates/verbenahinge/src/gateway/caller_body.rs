//! Reads bodies of callers within the memory of the VM, and discards those of refused requests.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::Gateway;
use crate::body_memory::{BodyHold, BodyRefusal, BodyTerms};

/// Interval between two checks of the rate of a body.
const PACE_INTERVAL: Duration = Duration::from_secs(1);

/// Size up to which the body of a refused request is read, so that its connection can be used again.
const DISCARD_BYTES: usize = 64 << 10;

/// Time to wait for the body of a refused request, most of which has arrived with the head.
const DISCARD_TIME: Duration = Duration::from_millis(20);

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    Refused(BodyRefusal),
    TooSlow,
    Unreadable,
}

impl From<BodyRefusal> for BodyError {
    fn from(refusal: BodyRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// A body that has arrived; `None` in place of its memory if it is empty.
pub(super) type ReceivedBody = (Bytes, Option<BodyHold>);

/// Length that the head of a request announces, if it does.
pub(super) fn announced_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact();
    length.map(|length| usize::try_from(length).unwrap_or(usize::MAX))
}

/// Receives a body.
pub(super) async fn receive(
    gateway: &Rc<Gateway>,
    mut body: Incoming,
    terms: BodyTerms,
) -> Result<ReceivedBody, BodyError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let memory = gateway.callers.memory();
    let mut receiver = memory.begin_body(gateway.arrival_time(), &terms)?;
    let mut pace_timer = pin!(sleep(PACE_INTERVAL));
    loop {
        tokio::select! {
            biased;
            () = receiver.dropped() => return Err(BodyRefusal::NoRoom.into()),
            frame = body.frame() => match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        receiver.push(gateway.arrival_time(), &data)?;
                    }
                }
                Some(Err(_)) => return Err(BodyError::Unreadable),
                None => {
                    let (bytes, hold) = receiver.complete()?;
                    return Ok((bytes, Some(hold)));
                }
            },
            () = pace_timer.as_mut() => {
                if receiver.is_too_slow(gateway.arrival_time()) {
                    return Err(BodyError::TooSlow);
                }
                pace_timer.set(sleep(PACE_INTERVAL));
            }
        }
    }
}

/// Reads what has arrived of the body of a refused request, without keeping it; returns whether that
/// was all.
pub(super) async fn discard_arrived(mut body: Incoming) -> bool {
    if announced_length(&body).is_some_and(|length| length > DISCARD_BYTES) {
        return false;
    }
    let discard = async {
        let mut left = DISCARD_BYTES;
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let length = frame.data_ref().map_or(0, Bytes::len);
                    let Some(rest) = left.checked_sub(length.max(1)) else {
                        return false;
                    };
                    left = rest;
                }
                Some(Err(_)) => return false,
                None => return true,
            }
        }
    };
    verbenahinge_http::timeout(DISCARD_TIME, discard)
        .await
        .unwrap_or(false)
}
