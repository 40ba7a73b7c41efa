//! Connection that reads no more than its gate allows, and ends if its caller takes no response.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::time::{Sleep, sleep};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::read_gate::{BODY_BURST_BYTES, ReadGate};
use crate::read_pace::ReadPace;

/// Time in which a caller has to take some bytes of a response.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection of a caller.
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: Rc<ReadGate>,
    /// Runs while the caller takes no bytes of a response.
    unread_timer: Option<Pin<Box<Sleep>>>,
}

impl GatedStream {
    pub(crate) fn new(stream: TcpStream, pace: Rc<ReadPace>) -> Self {
        Self {
            stream,
            gate: Rc::new(ReadGate::new(pace)),
            unread_timer: None,
        }
    }

    pub(crate) const fn gate(&self) -> &Rc<ReadGate> {
        &self.gate
    }

    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.gate.set_write_blocked(result.is_pending());
        if result.is_ready() {
            self.unread_timer = None;
            return result;
        }
        let timer = self
            .unread_timer
            .get_or_insert_with(|| Box::pin(sleep(UNREAD_TIMEOUT)));
        ready!(timer.as_mut().poll(context));
        log::debug!("closed a connection whose caller took nothing for {UNREAD_TIMEOUT:?}");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let allowed = ready!(this.gate.poll_allowance(context));
        if allowed == 0 {
            log::debug!("closed a connection whose request head is too large");
            // No bytes stand for the end of the connection.
            return Poll::Ready(Ok(()));
        }
        // Copied, since a part of the buffer cannot be lent to the stream without unsafe code.
        let mut bytes = [MaybeUninit::uninit(); BODY_BURST_BYTES];
        let limit = allowed.min(buffer.remaining()).min(bytes.len());
        let mut part = ReadBuf::uninit(&mut bytes[..limit]);
        let read = Pin::new(&mut this.stream).poll_read(context, &mut part);
        let length = part.filled().len();
        buffer.put_slice(part.filled());
        this.gate.note_read(read.is_ready().then_some(length));
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.after_write(context, result)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
