//! How much a connection reads ahead of its handlers.
//!
//! actix-http reads up to 128 KiB of a connection whether or not a handler takes it, and decodes all of
//! it at once: a caller that pipelined small requests got more than a thousand of them decoded, about
//! 2 MB, and an unfinished body up to 256 KiB beside what its handler holds. See
//! `docs/design/caller-memory.md`.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use actix_rt::time::{Sleep, sleep_until};

use crate::read_pace::ReadPace;

/// Maximum number of bytes of a request head, and of all that arrives while no request is served.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Bytes that are read at once while no body is wanted. They may be many small requests, each of which
/// takes about 1 KiB when it is decoded.
const HEAD_BURST_BYTES: usize = 2 << 10;

/// Bytes of a body that are read at once, after which other connections have their turn.
pub(crate) const BODY_BURST_BYTES: usize = 4 << 10;

/// Bytes that are read while a request is served that wants no body, so that the end of the connection
/// is seen.
const READ_AHEAD_BYTES: usize = 1 << 10;

/// Bytes of a body that are read and not yet taken by the handler. Less than the 32 KiB at which
/// actix-http stops decoding, so that all that was read is decoded.
const BODY_WINDOW_BYTES: usize = 16 << 10;

/// Bytes of a body that are read at any rate, so that a crowd of large bodies does not delay small ones.
const UNPACED_BYTES: usize = 16 << 10;

/// Permission of one connection to read, shared by its stream and its requests.
#[derive(Debug)]
pub(crate) struct ReadGate {
    served_requests: Cell<usize>,
    wants_body: Cell<bool>,
    is_write_blocked: Cell<bool>,
    /// Bytes that may still be read before the task of the connection runs once.
    burst_left: Cell<usize>,
    /// Bytes that may still be read while a request is served.
    window_left: Cell<usize>,
    /// Bytes that were read since a request was last served.
    head_bytes: Cell<usize>,
    /// Bytes that were read since the last request began to be served.
    body_bytes: Cell<usize>,
    pace: Rc<ReadPace>,
    pace_timer: RefCell<Option<Pin<Box<Sleep>>>>,
    waker: RefCell<Option<Waker>>,
}

impl ReadGate {
    pub(crate) const fn new(pace: Rc<ReadPace>) -> Self {
        Self {
            served_requests: Cell::new(0),
            wants_body: Cell::new(false),
            is_write_blocked: Cell::new(false),
            burst_left: Cell::new(HEAD_BURST_BYTES),
            window_left: Cell::new(READ_AHEAD_BYTES),
            head_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            pace,
            pace_timer: RefCell::new(None),
            waker: RefCell::new(None),
        }
    }

    /// Returns how many bytes may be read now; none if the head is too large.
    pub(crate) fn poll_allowance(&self, context: &mut Context<'_>) -> Poll<usize> {
        if self.burst_left.get() == 0 {
            self.renew_burst();
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let is_blocked = self.is_write_blocked.get();
        let allowed = if is_blocked {
            0
        } else if !self.is_between_requests() {
            self.window_left.get()
        } else {
            MAX_HEAD_BYTES.saturating_sub(self.head_bytes.get())
        };
        if allowed == 0 && (is_blocked || !self.is_between_requests()) {
            self.renew_burst();
            self.waker.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        if self.is_paced() && self.poll_pace(context).is_pending() {
            self.renew_burst();
            return Poll::Pending;
        }
        Poll::Ready(allowed.min(self.burst_left.get()))
    }

    fn is_paced(&self) -> bool {
        self.wants_body.get() && self.body_bytes.get() >= UNPACED_BYTES
    }

    const fn is_between_requests(&self) -> bool {
        self.served_requests.get() == 0
    }

    /// Waits until all connections together have read little enough.
    fn poll_pace(&self, context: &mut Context<'_>) -> Poll<()> {
        while let Some(next) = self.pace.wait_until() {
            let mut timer = self.pace_timer.borrow_mut();
            let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(next)));
            if timer.deadline() != next {
                timer.as_mut().reset(next);
            }
            ready!(timer.as_mut().poll(context));
        }
        Poll::Ready(())
    }

    /// Notes that bytes were read; `None` if there were none.
    pub(crate) fn note_read(&self, bytes: Option<usize>) {
        let Some(bytes) = bytes else {
            self.renew_burst();
            return;
        };
        self.burst_left
            .set(self.burst_left.get().saturating_sub(bytes));
        if self.is_between_requests() {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        } else {
            self.window_left
                .set(self.window_left.get().saturating_sub(bytes));
            self.body_bytes.set(self.body_bytes.get() + bytes);
            if self.is_paced() {
                self.pace.note_read(bytes);
            }
        }
    }

    /// Notes whether the caller does not take its responses. Nothing is read for it meanwhile, since
    /// the responses to what is read would wait too.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.wake();
        }
    }

    /// Notes that the handler waits for more of the body, so that all that was read has been taken.
    pub(crate) fn want_body(&self) {
        self.wants_body.set(true);
        self.window_left.set(BODY_WINDOW_BYTES);
        self.wake();
    }

    /// Notes that the handler takes no more of the body.
    pub(crate) fn leave_body(&self) {
        self.wants_body.set(false);
        let left = self.window_left.get();
        self.window_left.set(left.min(READ_AHEAD_BYTES));
    }

    /// Begins to serve a request.
    pub(crate) fn begin_request(self: &Rc<Self>) -> ServedRequest {
        self.served_requests.set(self.served_requests.get() + 1);
        self.head_bytes.set(0);
        self.body_bytes.set(0);
        self.window_left.set(READ_AHEAD_BYTES);
        ServedRequest {
            gate: Rc::clone(self),
        }
    }

    fn renew_burst(&self) {
        let bytes = if self.wants_body.get() {
            BODY_BURST_BYTES
        } else {
            HEAD_BURST_BYTES
        };
        self.burst_left.set(bytes);
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Counts a request as being served until its response has been passed on.
#[derive(Debug)]
pub(crate) struct ServedRequest {
    gate: Rc<ReadGate>,
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let gate = &self.gate;
        gate.served_requests.set(gate.served_requests.get() - 1);
        gate.wake();
    }
}
