//! Limit on the bytes of a server's connection that bring its reader nothing.
//!
//! A faulty server may send interim responses, the size line of a chunk or trailers without end. Nothing of them is
//! kept, but the one thread of the VM would read them for as long as the caller waits. See
//! `docs/design/caller-memory.md`.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer of a connection, which also limits the head of a response.
pub(super) const MAX_BUFFER_BYTES: usize = 128 << 10;

/// Bytes that a connection may read in a row without a response head or data of its body: those of a full
/// buffer, and as many again.
const MAX_USELESS_BYTES: usize = 2 * MAX_BUFFER_BYTES;

/// Bytes that one connection has read since the last ones that were of use.
#[derive(Debug, Default)]
pub(super) struct FramingLimit {
    useless_bytes: Cell<usize>,
}

impl FramingLimit {
    /// Records that a request is sent, or that a response head or data of a body have been received.
    pub(super) fn reset(&self) {
        self.useless_bytes.set(0);
    }

    /// Whether the connection has failed because the limit was exceeded.
    pub(super) fn is_exceeded(&self) -> bool {
        self.useless_bytes.get() > MAX_USELESS_BYTES
    }

    fn add(&self, bytes: usize) {
        self.useless_bytes.set(self.useless_bytes.get() + bytes);
    }
}

/// Connection to a server that fails once its [`FramingLimit`] is exceeded.
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: Rc<FramingLimit>,
}

impl LimitedStream {
    pub(super) const fn new(stream: TcpStream, limit: Rc<FramingLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let message = "the response does not go on";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.add(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
