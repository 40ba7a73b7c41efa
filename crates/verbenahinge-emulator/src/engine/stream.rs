//! Buffer of the frames generated for a request, from which a new connection can resume.

use std::cell::{Cell, RefCell};

use tokio::sync::Notify;

/// Frames generated for a request and the state of the generation.
pub(super) struct StreamState {
    pub(super) frames: RefCell<Vec<String>>,
    pub(super) first_index: u64,
    pub(super) finished: Cell<bool>,
    pub(super) cancelled: Cell<bool>,
    pub(super) changed: Notify,
}

impl StreamState {
    /// Creates the stream of a request whose first `first_index` frames the client already has.
    pub(super) fn new(first_index: u64) -> Self {
        Self {
            frames: RefCell::default(),
            first_index,
            finished: Cell::default(),
            cancelled: Cell::default(),
            changed: Notify::new(),
        }
    }

    pub(super) fn push(&self, frame: String) {
        self.frames.borrow_mut().push(frame);
        self.changed.notify_waiters();
    }

    pub(super) fn finish(&self) {
        self.finished.set(true);
        self.changed.notify_waiters();
    }

    pub(super) fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify_waiters();
    }

    /// Returns the frame of the token at `token_index`, or `None` if it has not been generated or
    /// precedes the stream.
    pub(super) fn frame(&self, token_index: u64) -> Option<String> {
        let buffer_index = usize::try_from(token_index.checked_sub(self.first_index)?).ok()?;
        self.frames.borrow().get(buffer_index).cloned()
    }
}
