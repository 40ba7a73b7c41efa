//! HTTP/1.1 client.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of [`HttpClient`].
#[derive(Debug, Display, Error)]
pub enum HttpClientError {
    /// No connection could be opened, so that the request was not sent.
    #[display("cannot connect: {_0}")]
    Connect(hyper_util::client::legacy::Error),
    /// The request may have been sent, and no whole head of a response arrived.
    #[display("no response: {_0}")]
    NoResponse(hyper_util::client::legacy::Error),
    /// The body of the response broke off, or is larger than allowed.
    #[display("incomplete response body: {_0}")]
    Body(#[error(not(source))] String),
    /// The whole response did not arrive in time.
    #[display("no whole response within {limit:?}")]
    Timeout {
        /// Time that the response had.
        limit: Duration,
    },
}

/// HTTP/1.1 client with a pool of connections.
///
/// A body counts as whole only if its framing says so: it has the announced length, it ends with a last
/// chunk, or it has neither and its connection was closed in order. Any other end is an error, as
/// `docs/design/whole-responses.md` asks for.
///
/// ```no_run
/// use std::time::Duration;
///
/// use hyper::Request;
/// use verbenahinge_http::{HttpClient, HttpClientError};
///
/// # async fn list() -> Result<(), HttpClientError> {
/// let client = HttpClient::new(Duration::from_secs(1));
/// let request = Request::get("http://127.0.0.1:8081/vms").body(Default::default());
/// let response = client
///     .fetch(request.expect("a valid URL"), 1 << 20, Duration::from_secs(2))
///     .await?;
/// println!("{} bytes", response.body().len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client whose connections have to be accepted within `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response when its head has arrived. Dropping its body before the
    /// end closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpClientError::Connect`] if the request was not sent, and
    /// [`HttpClientError::NoResponse`] if it may have been.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpClientError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpClientError::Connect(error)
            } else {
                HttpClientError::NoResponse(error)
            }
        })
    }

    /// Sends a request and reads the whole response, with a body of at most `max_body_bytes`, within
    /// `limit`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`send`](Self::send) and [`read_whole`](Self::read_whole), and
    /// [`HttpClientError::Timeout`] if the response is not whole in time.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
        limit: Duration,
    ) -> Result<Response<Bytes>, HttpClientError> {
        let exchange = async {
            let response = self.send(request).await?;
            Self::read_whole(response, max_body_bytes).await
        };
        let result = crate::timeout(limit, exchange).await;
        result.unwrap_or(Err(HttpClientError::Timeout { limit }))
    }

    /// Reads the body of a response of at most `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpClientError::Body`] if the body breaks off before the end that its framing announces,
    /// or is larger.
    pub async fn read_whole(
        response: Response<Incoming>,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, HttpClientError> {
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, max_body_bytes).collect().await;
        let body = collected.map_err(|error| HttpClientError::Body(error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}
