//! Fake plain service in virtual time: a fixed number of workers and a FIFO queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenahinge_core::{Attempt, RequestId, Timestamp};

/// Call submitted to a service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceJob {
    pub(crate) request: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) vm: usize,
    pub(crate) service_time: Duration,
}

/// Fake plain service.
#[derive(Clone, Debug)]
pub(crate) struct FakeService {
    slots: usize,
    /// Running calls by end time.
    running: BTreeMap<(Timestamp, RequestId), ServiceJob>,
    waiting: VecDeque<ServiceJob>,
    pub(crate) down: bool,
}

impl FakeService {
    pub(crate) const fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            down: false,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn submit(&mut self, now: Timestamp, job: ServiceJob) {
        self.waiting.push_back(job);
        self.start_waiting(now);
    }

    /// Moves waiting calls to free workers.
    fn start_waiting(&mut self, now: Timestamp) {
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let due = now + job.service_time;
            self.running.insert((due, job.request), job);
        }
    }

    /// End time of the running call that ends first.
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.running.keys().next().map(|(due, _)| *due)
    }

    /// Removes and returns the calls that have ended, and starts waiting ones.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Vec<ServiceJob> {
        let mut ended = Vec::new();
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now {
                break;
            }
            ended.push(entry.remove());
        }
        self.start_waiting(now);
        ended
    }

    /// Takes the service down and returns the running and waiting calls, which are lost.
    pub(crate) fn crash(&mut self) -> Vec<ServiceJob> {
        self.down = true;
        let mut lost: Vec<ServiceJob> = std::mem::take(&mut self.running).into_values().collect();
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }
}
