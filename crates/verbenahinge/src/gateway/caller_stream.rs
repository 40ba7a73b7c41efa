//! Connection of a caller, which ends after its idle timeout or the timeout of a request head.
//!
//! Both timeouts follow the limits in force. The connection ends for hyper as if the caller had closed
//! it, and only if no data has arrived, so that no request that has arrived is cut off.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::time::{Instant, Sleep, sleep_until};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Gateway;
use super::connection_activity::ConnectionActivity;

/// Time after a deadline within which data is reported that arrived before it: at the end of a
/// suspension, timers may fire first.
const READ_DELAY: Duration = Duration::from_millis(10);

/// Connection of a caller.
pub(crate) struct CallerStream {
    stream: TcpStream,
    gateway: Rc<Gateway>,
    activity: Rc<ConnectionActivity>,
    timer: Pin<Box<Sleep>>,
    /// Deadline that has passed, after which data may still be reported.
    expired: Option<Instant>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        gateway: Rc<Gateway>,
        activity: Rc<ConnectionActivity>,
    ) -> Self {
        Self {
            stream,
            gateway,
            activity,
            timer: Box::pin(sleep_until(Instant::now())),
            expired: None,
        }
    }

    /// Waits until the connection has to end.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.activity.deadline(&self.gateway) else {
            return Poll::Pending;
        };
        if self.expired != Some(deadline) {
            if self.timer.deadline() != deadline {
                self.timer.as_mut().reset(deadline);
            }
            ready!(self.timer.as_mut().poll(context));
            self.expired = Some(deadline);
            self.timer.as_mut().reset(Instant::now() + READ_DELAY);
        }
        self.timer.as_mut().poll(context)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let length = buffer.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut this.stream).poll_read(context, buffer) {
            if buffer.filled().len() > length {
                this.activity.note_read();
            }
            return Poll::Ready(result);
        }
        ready!(this.poll_deadline(context));
        // No bytes stand for the end of the connection.
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.activity.note_write(result.is_pending());
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.activity.note_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
