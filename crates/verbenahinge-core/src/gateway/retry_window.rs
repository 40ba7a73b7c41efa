//! Limits the retries of a service over a sliding window.
//!
//! Without a limit, the retries of all VMs together would double the load when every backend server
//! of a service fails part of its requests, or when callers retry immediately.

use std::collections::VecDeque;

use super::Bounds;
use crate::Timestamp;

/// Share of its allowance that a VM uses, because the request counts of the VMs do not line up
/// exactly.
const SAFETY_FACTOR: f64 = 0.7;

/// Requests and retries of one service as counted by one VM.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bounds: Bounds,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryWindow {
    /// Creates an empty window.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the bounds.
    pub const fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records a request of a caller.
    pub fn note_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Removes the latest request, which another VM counts.
    pub fn forget_request(&mut self) {
        self.requests.pop_back();
    }

    /// Number of requests of callers since a time within the window.
    #[must_use]
    pub fn requests_since(&self, since: Timestamp) -> u32 {
        let recent = self
            .requests
            .iter()
            .rev()
            .take_while(|&&time| time >= since);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Records a retry if the allowance of this VM permits it; returns whether it does.
    pub fn try_spend(&mut self, now: Timestamp, vms: usize) -> bool {
        self.expire(now);
        let vms = f64::from(u32::try_from(vms.max(1)).unwrap_or(u32::MAX));
        let requests = f64::from(u32::try_from(self.requests.len()).unwrap_or(u32::MAX));
        let allowed =
            SAFETY_FACTOR * (self.bounds.retry_ratio * requests + self.bounds.retry_slack / vms);
        let spent = f64::from(u32::try_from(self.retries.len()).unwrap_or(u32::MAX));
        if spent + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Removes the latest retry, which found no server.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    fn expire(&mut self, now: Timestamp) {
        let since = now.saturating_sub(self.bounds.retry_window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|&time| time < since) {
                times.pop_front();
            }
        }
    }
}
