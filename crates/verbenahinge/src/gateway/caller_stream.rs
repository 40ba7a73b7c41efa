//! Connection of a caller, which ends after its idle timeout or the timeout of a request head, or when
//! its caller takes no response.
//!
//! The first two timeouts follow the limits in force. The connection ends for hyper as if the caller had
//! closed it, and only if no data has arrived, so that no request that has arrived is cut off.
//!
//! After a request that was refused before its body was read, the connection reads on for a while once
//! the response is sent: closing it at once would reset it, and the caller might lose the response.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::time::{Instant, Sleep, sleep_until};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use verbenahinge_core::gateway::HoldId;
use verbenahinge_core::hash::hash64;

use super::Gateway;
use super::connection_activity::ConnectionActivity;
use crate::event_log::LogEvent;

/// Time after a deadline within which data is reported that arrived before it: at the end of a
/// suspension, timers may fire first.
pub(super) const READ_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of bytes of one read. hyper doubles its buffer of 8 KiB after a read that fills it,
/// so that the buffers of many large bodies would take more memory than their number suggests.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Time in which a caller has to take some bytes of a response.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a caller has to have taken [`MIN_TAKEN_BYTES`] in each further second.
const UNREAD_GRACE: Duration = Duration::from_mins(1);

/// Minimum rate at which a caller takes a response, in bytes per second.
const MIN_TAKEN_BYTES: u64 = 256;

/// Maximum time to read on after a refusal.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read after a refusal.
const LINGER_BYTES: usize = 8 << 20;

/// Size of the buffer for bytes that are not kept.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// Reads of one wake-up after a refusal.
const LINGER_READS: usize = 16;

/// Bytes that a caller does not take.
struct BlockedWrite {
    hold: HoldId,
    since: Instant,
    last_taken: Instant,
    taken_bytes: u64,
}

impl BlockedWrite {
    fn deadline(&self) -> Instant {
        let by_rate = Duration::from_secs(self.taken_bytes / MIN_TAKEN_BYTES);
        let rate_deadline = self.since + UNREAD_GRACE + by_rate;
        rate_deadline.min(self.last_taken + UNREAD_TIMEOUT)
    }
}

/// Reading after a refusal.
struct Linger {
    deadline: Instant,
    timer: Pin<Box<Sleep>>,
    bytes_left: usize,
}

/// Connection of a caller.
pub(crate) struct CallerStream {
    stream: TcpStream,
    gateway: Rc<Gateway>,
    activity: Rc<ConnectionActivity>,
    timer: Pin<Box<Sleep>>,
    /// Deadline that has passed, after which data may still be reported.
    expired: Option<Instant>,
    blocked: Option<BlockedWrite>,
    write_timer: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
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
            blocked: None,
            write_timer: None,
            linger: None,
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

    /// Notes the result of a write, and ends the connection if its caller takes too little.
    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(written)) => {
                self.activity.note_write(Some(*written));
                if let Some(blocked) = &mut self.blocked {
                    blocked.taken_bytes += *written as u64;
                    blocked.last_taken = Instant::now();
                    let now = self.gateway.arrival_time();
                    let memory = self.gateway.callers.memory();
                    memory.note_taken(now, blocked.hold);
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.activity.note_write(None);
                ready!(self.poll_unread(context));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        result
    }

    /// Counts what the caller has not taken, and waits until it has to be given up.
    fn poll_unread(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let memory = self.gateway.callers.memory();
        let now = self.gateway.arrival_time();
        let blocked = self.blocked.get_or_insert_with(|| {
            let owner = hash64(self.activity.address().to_string().as_bytes());
            let hold = memory.begin_unread(now, owner, self.activity.close_notify());
            let since = Instant::now();
            BlockedWrite {
                hold,
                since,
                last_taken: since,
                taken_bytes: 0,
            }
        });
        let unread_bytes = self.activity.unread_bytes();
        if !memory.set_unread(now, blocked.hold, unread_bytes) {
            return Poll::Ready(());
        }
        let deadline = blocked.deadline();
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(context));
        LogEvent::CallerNotReading.log(&[
            ("unread_bytes", &unread_bytes),
            ("after_ms", &blocked.since.elapsed().as_millis()),
        ]);
        Poll::Ready(())
    }

    fn end_unread(&mut self) {
        if let Some(blocked) = self.blocked.take() {
            self.gateway.callers.memory().end(blocked.hold);
        }
    }

    /// Reads what the caller still sends after a refusal, up to a bound in bytes and time.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| {
            let deadline = Instant::now() + LINGER_TIME;
            Linger {
                deadline,
                timer: Box::pin(sleep_until(deadline)),
                bytes_left: LINGER_BYTES,
            }
        });
        if Instant::now() >= linger.deadline {
            return Poll::Ready(());
        }
        let mut wake_at = linger.deadline;
        let mut reads_left = LINGER_READS;
        loop {
            if reads_left == 0 {
                context.waker().wake_by_ref();
                break;
            }
            reads_left -= 1;
            if let Err(next) = self.gateway.callers.take_discard(LINGER_BUFFER_BYTES) {
                wake_at = next.min(linger.deadline);
                break;
            }
            let mut bytes = [MaybeUninit::uninit(); LINGER_BUFFER_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            let length = buffer.filled().len();
            match read {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if length > 0 && length <= linger.bytes_left => {
                    linger.bytes_left -= length;
                }
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
        if linger.timer.deadline() != wake_at {
            linger.timer.as_mut().reset(wake_at);
        }
        if linger.timer.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.end_unread();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // Copied, so that only pages of hyper's buffer are used that bytes have arrived for.
        let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let limit = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..limit]);
        let read = Pin::new(&mut this.stream).poll_read(context, &mut part);
        let length = part.filled().len();
        buffer.put_slice(part.filled());
        if let Poll::Ready(result) = read {
            if length > 0 {
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
        this.after_write(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.after_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // hyper flushes when it has written everything.
        this.activity.note_flush();
        this.end_unread();
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        }
        if this.activity.has_left_body() {
            ready!(this.poll_linger(context));
        }
        Poll::Ready(Ok(()))
    }
}
