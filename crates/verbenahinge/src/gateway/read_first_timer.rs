//! Timer of connections that are served with hyper.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

/// Passes of the event loop between a deadline and the wake-up; see [`verbenahinge_http::timeout()`].
const READ_PASSES: usize = 2;

/// Timer whose deadlines pass only after the sockets were read once more.
///
/// After the thread was held, a connection would otherwise be closed as idle though its next request
/// waits in the socket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadFirstTimer;

struct ReadFirstSleep {
    inner: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl Future for ReadFirstSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.inner.as_mut().poll(context)
    }
}

impl Sleep for ReadFirstSleep {}

impl Timer for ReadFirstTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let inner = Box::pin(async move {
            tokio::time::sleep_until(deadline.into()).await;
            for _ in 0..READ_PASSES {
                tokio::task::yield_now().await;
            }
        });
        Box::pin(ReadFirstSleep { inner })
    }
}
