//! Retries of this VM, counted by service.

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::{Call, RetryWindow};

impl GatewayState {
    /// Records a retry in the window of the call's service if it permits one; returns whether it
    /// does.
    pub fn spend_retry(&mut self, now: Timestamp, call: &Call) -> bool {
        let vm_count = self.vm_count();
        self.retry_windows
            .entry(call.service.clone())
            .or_insert_with(|| RetryWindow::new(self.bounds))
            .try_spend(now, vm_count)
    }

    /// Removes the call from the window of its service, since another VM counts it.
    pub fn forget_arrival(&mut self, call: &Call) {
        if let Some(window) = self.retry_windows.get_mut(&call.service) {
            window.forget_request();
        }
    }

    /// Removes a retry of the call from the window of its service, since no server was found for it.
    pub fn refund_retry(&mut self, call: &Call) {
        if let Some(window) = self.retry_windows.get_mut(&call.service) {
            window.refund();
        }
    }
}
