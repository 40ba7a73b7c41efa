//! Timeouts of futures that wait for bytes from a socket.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use derive_more::{Display, Error};

/// Passes of the event loop between a timer that fires and the error: one reads the sockets, and one
/// runs the task that forwards what was read.
const READ_PASSES: usize = 2;

/// Error of [`timeout()`]: the future was not ready in time.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("timed out")]
pub struct TimeoutError;

/// Waits for a future that depends on bytes from a socket, for up to `limit`.
///
/// After the thread was held for longer than `limit`, the timer may fire before the sockets are read.
/// What has arrived by then is read first, so that a timeout tells that the other side was silent.
///
/// # Errors
///
/// Returns an error if the future is not ready after `limit` and after the sockets were read.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimeoutError> {
    let mut future = pin!(future);
    if let Ok(output) = tokio::time::timeout(limit, future.as_mut()).await {
        return Ok(output);
    }
    for _ in 0..READ_PASSES {
        tokio::task::yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(output) = polled {
            return Ok(output);
        }
    }
    Err(TimeoutError)
}
