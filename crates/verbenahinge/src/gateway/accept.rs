//! Accepts connections from callers and serves the requests on them.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use verbenahinge_core::gateway::ConnectionId;

use super::Gateway;
use super::caller_stream::{CallerStream, READ_DELAY};
use super::connection_activity::ConnectionActivity;
use super::frontend::{Ingress, handle_request};
use super::response::{ServedBody, announce_connection_close};
use crate::event_log::LogEvent;

/// Minimum size of the buffer for a request head, so that open connections take heads that a later
/// configuration allows.
const MIN_BUFFER_BYTES: usize = 64 << 10;

/// Delay before the next look for a connection that makes way for a new one.
const ROOM_DELAY: Duration = Duration::from_millis(5);

/// Looks for a connection that makes way before the new one is closed.
const ROOM_ATTEMPTS: usize = 6;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from callers, or from VMs that hand over their requests.
pub(super) async fn run(gateway: Rc<Gateway>, listener: Rc<TcpListener>, ingress: Ingress) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some((id, activity)) = open_connection(&gateway, address.ip()).await else {
                    continue;
                };
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    if wait_for_data(&gateway, &stream, &activity).await {
                        // On the heap, so that a connection without data takes little memory.
                        let served =
                            serve_connection(Rc::clone(&gateway), stream, activity, ingress);
                        Box::pin(served).await;
                    }
                    gateway.callers.close_connection(id);
                });
            }
            Err(error) => {
                LogEvent::AcceptFailed.log(&[("cause", &error)]);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Adds a connection, for which another may have to make way.
///
/// Others wait in the queue of the listener meanwhile, so that a flood of connections that send nothing
/// passes in the order in which it came, with the callers among it.
async fn open_connection(
    gateway: &Gateway,
    address: IpAddr,
) -> Option<(ConnectionId, Rc<ConnectionActivity>)> {
    for _ in 0..ROOM_ATTEMPTS {
        let opened = gateway.callers.open_connection(gateway, address);
        if opened.is_some() {
            return opened;
        }
        actix_rt::time::sleep(ROOM_DELAY).await;
    }
    None
}

/// Waits until a new connection has data to read; returns `false` if it has to be closed before.
///
/// hyper allocates its buffers when it first reads.
async fn wait_for_data(
    gateway: &Gateway,
    stream: &TcpStream,
    activity: &ConnectionActivity,
) -> bool {
    let mut limits_changes = gateway.caller_limits.changes();
    while !gateway.is_closing.get() {
        let expired = async {
            match activity.deadline(gateway) {
                Some(deadline) => actix_rt::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            _ = stream.readable() => return true,
            () = activity.closed() => return false,
            () = gateway.close_notify.notified() => return false,
            () = expired => {
                let readable = actix_rt::time::timeout(READ_DELAY, stream.readable());
                return readable.await.is_ok();
            }
            Ok(()) = limits_changes.changed() => {}
        }
    }
    true
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
    ingress: Ingress,
) {
    let open_count = &gateway.open_caller_connections;
    open_count.set(open_count.get() + 1);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("set_nodelay failed: {error}");
    }
    let mut limits_changes = gateway.caller_limits.changes();
    let buffer_bytes = gateway
        .caller_limits
        .limits()
        .max_head_bytes
        .max(MIN_BUFFER_BYTES);
    let service = service_fn(|request| {
        let served = activity.begin_request();
        let gateway = Rc::clone(&gateway);
        let activity = Rc::clone(&activity);
        async move {
            // On the heap, so that a connection without a request takes little memory.
            let handled = Box::pin(handle_request(&gateway, request, ingress, &activity));
            let mut response = handled.await;
            if gateway.caller_limits.limits().max_head_bytes > buffer_bytes {
                announce_connection_close(&mut response);
            }
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, served)))
        }
    });
    let stream = CallerStream::new(stream, Rc::clone(&gateway), Rc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => break result,
            () = activity.closed() => break Ok(()),
            () = gateway.close_notify.notified() => connection.as_mut().graceful_shutdown(),
            // The connection is polled again, which sets its timer.
            () = activity.idle() => {}
            Ok(()) = limits_changes.changed() => {}
        }
    };
    if let Err(error) = result {
        log::debug!("connection from a caller failed: {error}");
    }
    open_count.set(open_count.get().saturating_sub(1));
}
