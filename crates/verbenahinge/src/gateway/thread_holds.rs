//! Log line and metric for times in which the thread handled no event, with the task that ran longest.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{HoldMonitor, MIN_HOLD};

use super::Gateway;
use crate::event_log::LogEvent;

/// Passes of the event loop after a hold in which requests that arrived during it are read: one to
/// learn which sockets are readable, one to accept connections and one to read from those.
const READ_PASSES: usize = 3;

/// Longest time without a pause that one task ran.
#[derive(Clone, Copy, Debug, Default)]
struct LongestPoll {
    task: Option<&'static str>,
    duration: Duration,
}

/// Holds of the thread of this VM.
#[derive(Default)]
pub(crate) struct ThreadHolds {
    monitor: RefCell<HoldMonitor>,
    /// Longest poll since the last log line or measurement.
    longest_poll: Cell<LongestPoll>,
}

impl ThreadHolds {
    /// Returns the earliest time at which a request that is read now may have arrived.
    pub(crate) fn arrival_time(&self, now: Timestamp) -> Timestamp {
        self.monitor.borrow().arrival_time(now)
    }

    fn record_poll(&self, task: &'static str, duration: Duration) {
        if duration > self.longest_poll.get().duration {
            self.longest_poll.set(LongestPoll {
                task: Some(task),
                duration,
            });
        }
    }
}

/// Sleeps, and measures by how much the thread was late to wake this task.
pub(super) async fn measured_sleep(gateway: &Gateway, duration: Duration) {
    let holds = &gateway.thread_holds;
    let due_at = gateway.now().saturating_add(duration);
    holds.monitor.borrow_mut().expect_wake(due_at);
    actix_rt::time::sleep(duration).await;
    let delay = holds.monitor.borrow_mut().record_wake(gateway.now());
    gateway.metrics.record_timer_delay(delay);
    let longest_poll = holds.longest_poll.take();
    if delay >= MIN_HOLD {
        LogEvent::ThreadHeld.log(&[
            ("held_ms", &delay.as_millis()),
            ("task", &longest_poll.task.unwrap_or("-")),
            ("task_ms", &longest_poll.duration.as_millis()),
        ]);
        for _ in 0..READ_PASSES {
            tokio::task::yield_now().await;
        }
        holds.monitor.borrow_mut().record_reads();
    }
}

/// Runs a task and records its longest poll.
pub(super) async fn measure_polls(
    gateway: Rc<Gateway>,
    name: &'static str,
    task: impl Future<Output = ()>,
) {
    let mut task = Box::pin(task);
    poll_fn(move |context| {
        let started = Instant::now();
        let result = task.as_mut().poll(context);
        gateway.thread_holds.record_poll(name, started.elapsed());
        result
    })
    .await;
}
