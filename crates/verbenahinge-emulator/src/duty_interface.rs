//! Emulator of the platform's duty interface: usage reports, orders of servers and fault injection.
//!
//! It records each call in the order of arrival and checks the rules that hold among them. `PUT
//! /stand-in/faults` sets the [`DutyFaults`] from a JSON body; `GET /stand-in/record` returns the
//! [`DutyRecord`].

mod record;

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use verbenahinge_platform::duty_api::{
    HOLDER_HEADER, SCALE_PATH, ScaleOrder, TOKEN_HEADER, USAGE_PATH, UsageReport,
};

pub use self::record::{DutyCall, DutyRecord};

/// Path for setting the [`DutyFaults`].
pub const FAULTS_PATH: &str = "/stand-in/faults";

/// Path for reading the [`DutyRecord`].
pub const RECORD_PATH: &str = "/stand-in/record";

/// Faults of the duty interface.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DutyFaults {
    /// Every call fails with status 503 and is not carried out.
    pub is_down: bool,
    /// Calls are carried out and get no response.
    pub loses_responses: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
}

struct Interface {
    faults: RefCell<DutyFaults>,
    record: RefCell<DutyRecord>,
    started: Instant,
    lease: Duration,
}

/// Serves calls until the future is dropped; holders must not alternate within `lease`.
pub async fn run(listener: TcpListener, lease: Duration) {
    let interface = Rc::new(Interface {
        faults: RefCell::default(),
        record: RefCell::default(),
        started: Instant::now(),
        lease,
    });
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("duty interface: failed to accept a connection: {error}");
                continue;
            }
        };
        let interface = Rc::clone(&interface);
        actix_rt::spawn(async move {
            let service = service_fn(|request| {
                let interface = Rc::clone(&interface);
                async move { Ok::<_, Infallible>(interface.respond(from, request).await) }
            });
            let result = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                log::debug!("duty interface: connection closed with an error: {error}");
            }
        });
    }
}

impl Interface {
    async fn respond(&self, from: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        match parts.uri.path() {
            FAULTS_PATH => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.faults.replace(faults);
                    response(StatusCode::OK, Bytes::new())
                }
                Err(_) => response(StatusCode::BAD_REQUEST, Bytes::new()),
            },
            RECORD_PATH => match serde_json::to_vec(&*self.record.borrow()) {
                Ok(record) => response(StatusCode::OK, record.into()),
                Err(_) => response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
            },
            path => self.take_call(from.ip(), path, &parts.headers, &body).await,
        }
    }

    async fn take_call(
        &self,
        machine: IpAddr,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Response<Full<Bytes>> {
        let faults = self.faults.borrow().clone();
        if faults.is_down {
            return response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let token = text(TOKEN_HEADER).and_then(|token| token.parse().ok());
        let (Some(holder), Some(token)) = (text(HOLDER_HEADER), token) else {
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let call = DutyCall {
            at_ms: u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            machine,
            holder: holder.to_owned(),
            token,
        };
        {
            let mut record = self.record.borrow_mut();
            let result = match path {
                USAGE_PATH => serde_json::from_slice::<UsageReport>(body)
                    .map(|report| record.take_report(self.lease, call, report)),
                SCALE_PATH => serde_json::from_slice::<ScaleOrder>(body)
                    .map(|order| record.take_order(self.lease, call, order)),
                _ => return response(StatusCode::NOT_FOUND, Bytes::new()),
            };
            if result.is_err() {
                return response(StatusCode::BAD_REQUEST, Bytes::new());
            }
        }
        if faults.loses_responses {
            return std::future::pending().await;
        }
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        response(StatusCode::OK, Bytes::new())
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
