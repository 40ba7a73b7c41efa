//! Graceful shutdown: refuses new requests, notifies peers and lets accepted requests finish.

use super::Node;
use crate::Action;

impl Node {
    pub(super) fn start_drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.send_digest(true);
        self.check_drained();
    }

    pub(super) fn check_drained(&mut self) {
        if !self.draining || self.drained || !self.requests.is_empty() {
            return;
        }
        self.drained = true;
        self.actions.push(Action::Drained);
    }
}
