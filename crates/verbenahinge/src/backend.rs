//! Connections to backend servers.

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

pub(crate) use self::engine::run_engine;
pub(crate) use self::outcome::{Replay, decode_outcome, encode_outcome};
pub(crate) use self::service::run_service;
use crate::api_error::format_id;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for small requests beside the answers.
const SIDE_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt, as the shell carries it out.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSpec {
    pub(crate) address: SocketAddr,
    pub(crate) dispatch: Dispatch,
    /// The attempt whose stream is read.
    pub(crate) stream: Attempt,
}

#[derive(Debug, Deserialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// Client of all backend servers.
pub(crate) struct Backend {
    client: Client,
    side: Client,
}

impl Backend {
    pub(crate) fn new() -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        Self {
            client: Client::builder()
                .connector(connector())
                .disable_timeout()
                .disable_redirects()
                .finish(),
            side: Client::builder()
                .connector(connector())
                .timeout(SIDE_TIMEOUT)
                .finish(),
        }
    }

    /// Stops a stream; an engine that does not know it has already stopped.
    pub(crate) async fn cancel(&self, address: SocketAddr, stream: &str) {
        let url = format!("http://{address}/v1/streams/{stream}");
        if let Err(error) = self.side.delete(url).send().await {
            log::debug!("cancel at {address} failed: {error}");
        }
    }

    /// Asks a backend server for its load.
    pub(crate) async fn load(&self, name: ServerName, address: SocketAddr) -> Option<LoadReport> {
        let url = format!("http://{address}/load");
        let failed = |error: &dyn Display| log::debug!("no load of {name} at {address}: {error}");
        let mut response = match self.side.get(url).send().await {
            Ok(response) => response,
            Err(error) => {
                failed(&error);
                return None;
            }
        };
        let load: Load = match response.json().await {
            Ok(load) => load,
            Err(error) => {
                failed(&error);
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

/// Names the stream of one attempt on its engine.
pub(crate) fn stream_id(request: RequestId, attempt: Attempt) -> String {
    format!("{}-{attempt}", format_id(request))
}

/// Says whether a request that could not be sent may have arrived.
fn send_failure(error: &SendRequestError) -> FailureKind {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => FailureKind::ConnectFailed,
        _ => FailureKind::ConnectionLost,
    }
}
