//! Graceful shutdown: readiness fails first, so that callers go to other VMs, then new requests are
//! refused and connections close, then requests that no server has answered get their final response,
//! and the process exits.

use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::Timestamp;

use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Time within which the platform notices that the VM is no longer ready: two readiness probes, a
/// second apart, and the network delay.
const READINESS_DELAY: Duration = Duration::from_millis(2600);

/// Part of the grace period that is reserved for the exit of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the end at which requests without a response get their final one.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Time between two checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the last bytes to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(150);

/// Waits for SIGTERM or SIGINT and shuts down gracefully.
pub(super) async fn run(gateway: &Rc<Gateway>) {
    termination_signal().await;
    let started_at = gateway.now();
    gateway.is_draining.set(true);
    LogEvent::Draining.log(&[
        ("cause", &"signal"),
        ("in_flight", &gateway.requests_in_flight.get()),
    ]);
    peers::announce_shutdown(gateway).await;
    let grace = gateway.settings.borrow().bounds.shutdown_grace;
    actix_rt::time::sleep(READINESS_DELAY.min(grace / 2)).await;
    // From here on, new requests are refused and connections close, so that those that were taken have
    // half of the grace period at least.
    gateway.is_closing.set(true);
    gateway.close_notify.notify_waiters();
    let deadline = started_at + grace.saturating_sub(EXIT_MARGIN);
    let final_response_at = deadline.saturating_sub(FINAL_RESPONSE_MARGIN);
    wait_for_callers(gateway, final_response_at).await;
    gateway.is_ending.set(true);
    gateway.end_notify.notify_waiters();
    wait_for_callers(gateway, deadline).await;
    actix_rt::time::sleep(FLUSH_TIME).await;
    LogEvent::Drained.log(&[
        ("left", &gateway.requests_in_flight.get()),
        ("connections", &gateway.open_caller_connections.get()),
    ]);
}

/// Waits until no caller is connected, or until a time.
async fn wait_for_callers(gateway: &Gateway, until: Timestamp) {
    while gateway.open_caller_connections.get() > 0 && gateway.now() < until {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn termination_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("failed to install the SIGTERM and SIGINT handlers");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
