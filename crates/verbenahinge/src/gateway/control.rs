//! HTTP endpoints of a VM for readiness probes, metrics scrapers and replication to other VMs.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use verbenahinge_platform::READY_PATH;

use super::peers::TableRefusal;
use super::read_first_timer::ReadFirstTimer;
use super::table_body::TableBody;
use super::{Gateway, peers};
use crate::event_log::LogEvent;

/// Body of a response.
type ControlBody = Either<Full<Bytes>, TableBody>;

/// Maximum number of bytes that wait for the link of one connection.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

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
        .max_buf_size(MAX_BUFFERED_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
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
