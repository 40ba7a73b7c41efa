//! HTTP client for backend servers.

mod engine;
mod outcome;
mod service;

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use serde::Deserialize;
use verbenahinge_core::{Attempt, Dispatch, FailureKind, LoadReport, RequestId, ServerName};

pub(crate) use self::engine::run_completion;
pub(crate) use self::outcome::{DecodedOutcome, decode_outcome, encode_outcome};
pub(crate) use self::service::run_service_call;
use crate::api_error::format_request_id;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of load queries and stream cancellations.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

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

/// HTTP clients shared by all backend servers.
pub(crate) struct BackendClient {
    client: Client,
    control_client: Client,
}

impl BackendClient {
    pub(crate) fn new() -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        Self {
            client: Client::builder()
                .connector(connector())
                .disable_timeout()
                .disable_redirects()
                .finish(),
            control_client: Client::builder()
                .connector(connector())
                .timeout(CONTROL_TIMEOUT)
                .finish(),
        }
    }

    /// Asks an engine to stop a stream. The status of the response is ignored, because an engine that
    /// does not know the stream has already stopped it. A failure to send is only logged.
    pub(crate) async fn cancel(&self, address: SocketAddr, stream: &str) {
        let url = format!("http://{address}/v1/streams/{stream}");
        if let Err(error) = self.control_client.delete(url).send().await {
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
        let log_failure =
            |error: &dyn Display| log::debug!("no load report of {name} at {address}: {error}");
        let mut response = match self.control_client.get(url).send().await {
            Ok(response) => response,
            Err(error) => {
                log_failure(&error);
                return None;
            }
        };
        let load: LoadResponse = match response.json().await {
            Ok(load) => load,
            Err(error) => {
                log_failure(&error);
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
}

/// Returns the stream ID that an engine uses for an attempt.
pub(crate) fn stream_id(request: RequestId, attempt: Attempt) -> String {
    format!("{}-{attempt}", format_request_id(request))
}

/// Classifies a send error: only a failed connection attempt or an invalid URL shows that the
/// request did not arrive.
fn classify_send_error(error: &SendRequestError) -> FailureKind {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => FailureKind::ConnectFailed,
        _ => FailureKind::ConnectionLost,
    }
}
