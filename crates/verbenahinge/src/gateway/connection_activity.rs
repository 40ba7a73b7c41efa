//! What a connection of a caller does, and when it has to end.

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::time::Instant;
use tokio::sync::Notify;

use super::Gateway;

/// What a connection does, as its stream and its requests note it.
pub(crate) struct ConnectionActivity {
    /// Requests whose head has been read and whose response is not complete.
    requests: Cell<usize>,
    /// Time of the last byte that was written, or of the opening.
    idle_since: Cell<Instant>,
    /// Time of the first byte of the head that is being read.
    head_since: Cell<Option<Instant>>,
    /// Whether the caller does not take the bytes of a response.
    is_write_blocked: Cell<bool>,
    /// Notified when the connection may have become idle.
    idle_notify: Notify,
}

impl ConnectionActivity {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            requests: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            is_write_blocked: Cell::new(false),
            idle_notify: Notify::new(),
        })
    }

    /// Waits until the connection may have become idle.
    pub(crate) async fn idle(&self) {
        self.idle_notify.notified().await;
    }

    /// Notes that the head of a request has been read.
    pub(crate) fn begin_request(self: &Rc<Self>) -> ServedRequest {
        self.requests.set(self.requests.get() + 1);
        self.head_since.set(None);
        ServedRequest {
            activity: Rc::clone(self),
        }
    }

    fn is_serving(&self) -> bool {
        self.requests.get() > 0 || self.is_write_blocked.get()
    }

    /// Notes that bytes have been read.
    pub(crate) fn note_read(&self) {
        if !self.is_serving() && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// Notes that bytes have been written, or that the caller takes none.
    pub(crate) fn note_write(&self, is_blocked: bool) {
        if !is_blocked {
            self.idle_since.set(Instant::now());
        }
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
}

/// Counts a request as being served until dropped.
pub(crate) struct ServedRequest {
    activity: Rc<ConnectionActivity>,
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity.requests.set(activity.requests.get() - 1);
        activity.idle_since.set(Instant::now());
        activity.idle_notify.notify_one();
    }
}
