//! HTTP endpoints of a VM for readiness probes, metrics scrapers and replication to other VMs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use verbenahinge_platform::READY_PATH;

use super::caller_stream::CallerStream;
use super::connection_activity::ConnectionActivity;
use super::peers::TableRefusal;
use super::read_first_timer::ReadFirstTimer;
use super::table_body::TableBody;
use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Body of a response.
type ControlBody = Either<Full<Bytes>, TableBody>;

/// Number of connections and size of the buffers of a listener.
#[derive(Clone, Copy, Debug)]
pub(super) struct ControlBounds {
    max_connections: usize,
    /// Maximum number of bytes that wait for the link of one connection.
    buffer_bytes: usize,
}

/// Bounds of the listener for readiness probes.
pub(super) const READY_BOUNDS: ControlBounds = ControlBounds {
    max_connections: 128,
    buffer_bytes: 16 << 10,
};

/// Bounds of the listener for other VMs and metrics scrapers.
pub(super) const CONTROL_BOUNDS: ControlBounds = ControlBounds {
    max_connections: 256,
    buffer_bytes: 64 << 10,
};

/// Path prefix under which other VMs fetch the store's tables.
pub(super) const FEED_PATH: &str = "/gateway/feeds";

/// Maximum time to wait for the head of the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Open connections of a listener, of which the oldest makes way for a new one.
///
/// Probes and scrapes are short, so that a crowd of connections that stay open does not keep them out.
struct ControlConnections {
    open: RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>,
    last_id: Cell<u64>,
    bounds: ControlBounds,
}

impl ControlConnections {
    fn open(&self, address: SocketAddr) -> (u64, Rc<ConnectionActivity>) {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.bounds.max_connections
            && let Some((_, oldest)) = open.pop_first()
        {
            oldest.close();
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let activity = ConnectionActivity::new(address.ip());
        open.insert(id, Rc::clone(&activity));
        (id, activity)
    }

    fn close(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }
}

/// Accepts and serves connections.
pub(super) async fn run(gateway: Rc<Gateway>, listener: Rc<TcpListener>, bounds: ControlBounds) {
    let connections = Rc::new(ControlConnections {
        open: RefCell::default(),
        last_id: Cell::new(0),
        bounds,
    });
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let (id, activity) = connections.open(address);
                let connections = Rc::clone(&connections);
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    let readable = verbenahinge_http::timeout(IDLE_TIMEOUT, stream.readable());
                    let has_data = tokio::select! {
                        biased;
                        readable = readable => matches!(readable, Ok(Ok(()))),
                        () = activity.closed() => false,
                    };
                    if has_data {
                        let buffer_bytes = connections.bounds.buffer_bytes;
                        // On the heap, so that a connection without data takes little memory.
                        let served = serve_connection(gateway, stream, activity, buffer_bytes);
                        Box::pin(served).await;
                    }
                    connections.close(id);
                });
            }
            Err(error) => {
                LogEvent::AcceptFailed.log(&[("cause", &error)]);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
    buffer_bytes: usize,
) {
    // The timeouts of callers do not apply here: hyper ends idle connections by IDLE_TIMEOUT.
    let served = activity.begin_request();
    let service = service_fn(|request: Request<Incoming>| {
        let mut response = respond(&gateway, &request);
        if !request.body().is_end_stream() {
            activity.leave_body();
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let stream = CallerStream::new(stream, Rc::clone(&gateway), Rc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(ReadFirstTimer)
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        biased;
        ended = connection => ended,
        () = activity.closed() => Ok(()),
    };
    drop(served);
    if let Err(error) = ended {
        log::debug!("control connection ended: {error}");
    }
}

fn respond(gateway: &Gateway, request: &Request<Incoming>) -> Response<ControlBody> {
    let (status, body) = match request.uri().path() {
        READY_PATH if is_ready(gateway) => (StatusCode::OK, empty_body()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, empty_body()),
        "/metrics" => {
            let text = gateway.metrics.encode();
            (StatusCode::OK, Either::Left(Full::new(text.into())))
        }
        path => {
            let feed = path
                .strip_prefix(FEED_PATH)
                .ok_or(TableRefusal::Unknown)
                .and_then(|path| peers::encode_feed(gateway, path));
            match feed {
                Ok(body) => (StatusCode::OK, Either::Right(body)),
                Err(TableRefusal::Unknown) => (StatusCode::NOT_FOUND, empty_body()),
                Err(TableRefusal::Busy) => (StatusCode::SERVICE_UNAVAILABLE, empty_body()),
            }
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn empty_body() -> ControlBody {
    Either::Left(Full::default())
}

/// Whether the VM can serve requests and is not draining.
fn is_ready(gateway: &Gateway) -> bool {
    gateway.state.borrow().is_serving() && !gateway.is_draining.get()
}
