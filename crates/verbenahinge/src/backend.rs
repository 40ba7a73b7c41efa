//! HTTP client for backend servers.

mod engine;
mod outcome;
mod service;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Deserialize;
use verbenahinge_core::{Attempt, Dispatch, FailureKind, LoadReport, RequestId, ServerName};
use verbenahinge_http::{HttpClient, HttpClientError};

pub(crate) use self::engine::run_completion;
pub(crate) use self::outcome::{DecodedOutcome, decode_outcome, encode_outcome};
pub(crate) use self::service::run_service_call;
use crate::api_error::format_request_id;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of load queries and stream cancellations.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum body size of a response to a load query or a stream cancellation.
const MAX_CONTROL_BYTES: usize = 64 << 10;

/// Parameters of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSpec {
    pub(crate) address: SocketAddr,
    pub(crate) dispatch: Dispatch,
    /// Attempt that opened the stream to read; an earlier one when the stream is resumed.
    pub(crate) stream_attempt: Attempt,
}

#[derive(Debug, Deserialize)]
struct LoadResponse {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// HTTP client shared by all backend servers.
pub(crate) struct BackendClient {
    client: HttpClient,
}

impl BackendClient {
    pub(crate) fn new() -> Self {
        Self {
            client: HttpClient::new(CONNECT_TIMEOUT),
        }
    }

    /// Asks an engine to stop a stream. The status of the response is ignored, because an engine that
    /// does not know the stream has already stopped it. A failure to send is only logged.
    pub(crate) async fn cancel(&self, address: SocketAddr, stream: &str) {
        let url = format!("http://{address}/v1/streams/{stream}");
        if let Err(error) = self.control(Method::DELETE, &url).await {
            log::debug!("stream {stream} could not be cancelled at {address}: {error}");
        }
    }

    /// Reads the load of a backend server; a failure is logged and returned as `None`.
    pub(crate) async fn fetch_load(
        &self,
        name: ServerName,
        address: SocketAddr,
    ) -> Option<LoadReport> {
        let url = format!("http://{address}/load");
        let report = self.control(Method::GET, &url).await;
        let load: Result<LoadResponse, String> = report
            .and_then(|body| serde_json::from_slice(&body).map_err(|error| error.to_string()));
        let load = match load {
            Ok(load) => load,
            Err(error) => {
                log::debug!("no load report of {name} at {address}: {error}");
                return None;
            }
        };
        Some(LoadReport {
            server: name,
            incarnation: load.incarnation,
            running: load.running,
            waiting: load.waiting,
        })
    }

    /// Sends a request without a body and returns the whole body of the response.
    async fn control(&self, method: Method, url: &str) -> Result<Bytes, String> {
        let request = Request::builder().method(method).uri(url);
        let request = request
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        let fetched = self
            .client
            .fetch(request, MAX_CONTROL_BYTES, CONTROL_TIMEOUT)
            .await;
        let response = fetched.map_err(|error| error.to_string())?;
        Ok(response.into_body())
    }
}

/// Returns the stream ID that an engine uses for an attempt.
pub(crate) fn stream_id(request: RequestId, attempt: Attempt) -> String {
    format!("{}-{attempt}", format_request_id(request))
}

/// Classifies an error: only a failed connection attempt shows that the request did not arrive.
const fn classify_error(error: &HttpClientError) -> FailureKind {
    match error {
        HttpClientError::Connect(_) => FailureKind::ConnectFailed,
        HttpClientError::NoResponse(_)
        | HttpClientError::Body(_)
        | HttpClientError::Timeout { .. } => FailureKind::ConnectionLost,
    }
}

/// Classifies a request that cannot be built, because an address or path is invalid, as not sent.
fn classify_build_error(error: &hyper::http::Error) -> FailureKind {
    log::warn!("a request to a backend server cannot be sent: {error}");
    FailureKind::ConnectFailed
}
