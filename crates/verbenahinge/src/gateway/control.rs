//! HTTP endpoints of a VM for readiness probes, metrics scrapers and replication to other VMs.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use verbenahinge_platform::READY_PATH;

use super::read_first_timer::ReadFirstTimer;
use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Path prefix under which other VMs fetch the store's tables.
pub(super) const FEED_PATH: &str = "/gateway/feeds";

/// Maximum time to wait for the head of the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections.
pub(super) async fn run(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                LogEvent::AcceptFailed.log(&[("cause", &error)]);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = respond(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let ended = http1::Builder::new()
        .timer(ReadFirstTimer)
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = ended {
        log::debug!("control connection ended: {error}");
    }
}

fn respond(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        READY_PATH if is_ready(gateway) => (StatusCode::OK, Bytes::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        "/metrics" => (StatusCode::OK, gateway.metrics.encode().into()),
        path => {
            let feed = path.strip_prefix(FEED_PATH);
            match feed.and_then(|path| peers::encode_feed(gateway, path)) {
                Some(bytes) => (StatusCode::OK, bytes),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            }
        }
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Whether the VM can serve requests and is not draining.
fn is_ready(gateway: &Gateway) -> bool {
    gateway.state.borrow().is_serving() && !gateway.is_draining.get()
}
