//! Supervision of long-running tasks.
//!
//! Each task has its own supervisor. A task that returns or panics is restarted after a
//! bounded exponential backoff, so that one failing task does not stop the others.

use std::future::Future;
use std::time::Duration;

use crate::event_log::LogEvent;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Spawns a task and restarts it whenever it ends, for the lifetime of the process.
pub(crate) fn supervise<F, T>(name: &'static str, make_task: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    actix_rt::spawn(async move {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let result = actix_rt::spawn(make_task()).await;
            let cause = match result {
                Ok(()) => "ended".to_owned(),
                Err(error) => error.to_string(),
            };
            LogEvent::TaskRestarted.log(&[("task", &name), ("cause", &cause)]);
            actix_rt::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    });
}
