//! What a connection of a caller does, and when it has to end.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use actix_rt::time::Instant;
use tokio::sync::Notify;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{ConnectionId, ConnectionUse, ConnectionView};

use super::Gateway;

/// What a connection does, as its stream and its requests note it.
pub(crate) struct ConnectionActivity {
    address: IpAddr,
    /// Requests whose head has been read and whose response is not complete.
    requests: Cell<usize>,
    /// Whether the head of a request has been read.
    has_been_used: Cell<bool>,
    /// Whether the body of a request is being received.
    is_receiving: Cell<bool>,
    /// Time of the last byte that was read, or of the opening.
    last_read: Cell<Instant>,
    /// Time of the last byte that was written, or of the opening.
    idle_since: Cell<Instant>,
    /// Time of the first byte of the head that is being read.
    head_since: Cell<Option<Instant>>,
    /// Whether the caller does not take the bytes of a response.
    is_write_blocked: Cell<bool>,
    /// Bytes of responses that were handed to the connection and not written yet.
    unread_bytes: Cell<usize>,
    /// Whether a request was refused before all of its body was read.
    has_left_body: Cell<bool>,
    /// Notified when the connection may have become idle.
    idle_notify: Notify,
    /// Notified when the connection has to make way for others.
    close_notify: Rc<Notify>,
}

impl ConnectionActivity {
    pub(crate) fn new(address: IpAddr) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            address,
            requests: Cell::new(0),
            has_been_used: Cell::new(false),
            is_receiving: Cell::new(false),
            last_read: Cell::new(now),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            is_write_blocked: Cell::new(false),
            unread_bytes: Cell::new(0),
            has_left_body: Cell::new(false),
            idle_notify: Notify::new(),
            close_notify: Rc::new(Notify::new()),
        })
    }

    /// Address of the caller.
    pub(crate) const fn address(&self) -> IpAddr {
        self.address
    }

    /// Has the connection end, to make way for others.
    pub(crate) fn close(&self) {
        self.close_notify.notify_one();
    }

    /// Notification on which the connection ends.
    pub(crate) fn close_notify(&self) -> Rc<Notify> {
        Rc::clone(&self.close_notify)
    }

    /// Waits until the connection has to make way for others.
    pub(crate) async fn closed(&self) {
        self.close_notify.notified().await;
    }

    /// Waits until the connection may have become idle.
    pub(crate) async fn idle(&self) {
        self.idle_notify.notified().await;
    }

    /// Notes that the head of a request has been read.
    pub(crate) fn begin_request(self: &Rc<Self>) -> ServedRequest {
        self.requests.set(self.requests.get() + 1);
        self.has_been_used.set(true);
        self.head_since.set(None);
        ServedRequest {
            activity: Rc::clone(self),
        }
    }

    /// Notes whether the body of a request is being received.
    pub(crate) fn set_receiving(&self, is_receiving: bool) {
        self.is_receiving.set(is_receiving);
    }

    /// Notes that a request is refused before all of its body was read.
    pub(crate) fn leave_body(&self) {
        self.has_left_body.set(true);
    }

    /// Whether the caller may still send a body that nobody reads.
    pub(crate) const fn has_left_body(&self) -> bool {
        self.has_left_body.get()
    }

    fn is_serving(&self) -> bool {
        self.requests.get() > 0 || self.is_write_blocked.get()
    }

    /// Notes that bytes have been read.
    pub(crate) fn note_read(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        if !self.is_serving() && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
        }
    }

    /// Notes that bytes of a response were handed to the connection.
    pub(crate) fn add_unread(&self, bytes: usize) {
        self.unread_bytes.set(self.unread_bytes.get() + bytes);
    }

    /// Returns the bytes that the caller has not taken, approximately.
    pub(crate) const fn unread_bytes(&self) -> usize {
        self.unread_bytes.get()
    }

    /// Notes that everything has been written.
    pub(crate) fn note_flush(&self) {
        self.unread_bytes.set(0);
    }

    /// Notes that bytes have been written; `None` if the caller takes none.
    pub(crate) fn note_write(&self, written: Option<usize>) {
        if let Some(written) = written {
            let unread = self.unread_bytes.get().saturating_sub(written);
            self.unread_bytes.set(unread);
            self.idle_since.set(Instant::now());
        }
        let is_blocked = written.is_none();
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.idle_notify.notify_one();
        }
    }

    /// Returns when the connection ends if nothing more arrives; `None` while a request is served.
    pub(crate) fn deadline(&self, gateway: &Gateway) -> Option<Instant> {
        if self.is_serving() {
            return None;
        }
        let config_delay = gateway.settings.borrow().bounds.config_apply;
        let limits = &gateway.caller_limits;
        match self.head_since.get() {
            Some(since) => limits.head_deadline(since, config_delay),
            None => limits.idle_deadline(self.idle_since.get(), config_delay),
        }
    }

    /// Returns the state by which the connection is judged when there are too many.
    pub(crate) fn view(&self, id: ConnectionId, now: Timestamp) -> ConnectionView {
        let last_read = self.last_read.get();
        let last_written = self.idle_since.get();
        let (used_for, since) = if self.is_write_blocked.get() {
            (ConnectionUse::Unread, last_written)
        } else if self.is_receiving.get() {
            (ConnectionUse::Receiving, last_read)
        } else if self.requests.get() > 0 {
            (ConnectionUse::Serving, last_read)
        } else if !self.has_been_used.get() {
            (ConnectionUse::Unused, last_read)
        } else {
            (ConnectionUse::Idle, last_written.max(last_read))
        };
        ConnectionView {
            id,
            address: self.address,
            used_for,
            since: now.saturating_sub(since.elapsed()),
        }
    }
}

/// Counts a request as being served until dropped.
pub(crate) struct ServedRequest {
    activity: Rc<ConnectionActivity>,
}

impl ServedRequest {
    /// Notes that bytes of the response are handed to the connection.
    pub(crate) fn add_unread(&self, bytes: usize) {
        self.activity.add_unread(bytes);
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity.requests.set(activity.requests.get() - 1);
        activity.idle_since.set(Instant::now());
        activity.idle_notify.notify_one();
    }
}
