//! Graceful shutdown: callers are led away first, then connections close, then the process ends.

use std::rc::Rc;
use std::time::Duration;

use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Time within which the platform notices that the VM takes no new callers: two questions, a
/// second apart, and the way there.
const NOTICE_TIME: Duration = Duration::from_millis(2600);

/// Part of the grace that is kept for the end of the process itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time between two looks at the requests that are left.
const POLL: Duration = Duration::from_millis(50);

/// Time that the last bytes have to reach their callers.
const LINGER: Duration = Duration::from_millis(150);

/// Waits for a signal and shuts down.
pub(super) async fn wait(gateway: &Rc<Gateway>) {
    signalled().await;
    let began = gateway.now();
    gateway.is_draining.set(true);
    LogEvent::Draining.log(&[
        ("cause", &"signal"),
        ("in_flight", &gateway.requests_in_flight.get()),
    ]);
    peers::say_farewell(gateway).await;
    actix_rt::time::sleep(NOTICE_TIME).await;
    // Requests that still arrive are refused, and their connections close.
    gateway.is_closing.set(true);
    gateway.closing.notify_waiters();
    let grace = gateway.settings.borrow().bounds.shutdown_grace;
    let end = began + grace.saturating_sub(END_MARGIN);
    while gateway.connections_open.get() > 0 && gateway.now() < end {
        actix_rt::time::sleep(POLL).await;
    }
    actix_rt::time::sleep(LINGER).await;
    LogEvent::Drained.log(&[
        ("left", &gateway.requests_in_flight.get()),
        ("connections", &gateway.connections_open.get()),
    ]);
}

async fn signalled() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("signals cannot be watched");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
