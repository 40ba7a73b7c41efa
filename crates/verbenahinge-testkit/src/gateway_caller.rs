//! HTTP client of the gateway that controls its connections.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use verbenahinge_platform::http_headers;

/// A request to the gateway.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    id: String,
    method: Method,
    path: String,
    host: String,
    api_key: String,
    deadline_ms: u64,
    prompt: Option<String>,
    last_event_id: Option<u64>,
    resumed_request: Option<String>,
    body: Bytes,
}

impl GatewayRequest {
    /// Creates a request with an ID and the API key of the first client account.
    #[must_use]
    pub fn new(id: impl Into<String>, path: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            method: Method::POST,
            path: path.into(),
            host: "gateway.example".to_owned(),
            api_key: "key-one".to_owned(),
            deadline_ms: 4000,
            prompt: None,
            last_event_id: None,
            resumed_request: None,
            body: Bytes::from_static(b"a body"),
        }
    }

    /// Sets the ID.
    #[must_use]
    pub fn id(mut self, id: &str) -> Self {
        id.clone_into(&mut self.id);
        self
    }

    /// Sets the path.
    #[must_use]
    pub fn path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Sets the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Sets the API key.
    #[must_use]
    pub fn api_key(mut self, api_key: &str) -> Self {
        api_key.clone_into(&mut self.api_key);
        self
    }

    /// Sets the deadline that the request announces.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: &str) -> Self {
        self.body = Bytes::copy_from_slice(body.as_bytes());
        self
    }

    /// Sets a prompt of two parts, given by their IDs: one shared with other requests and one of
    /// this request alone.
    #[must_use]
    pub fn prompt(mut self, shared_id: u64, own_id: u64) -> Self {
        self.prompt = Some(format!("{shared_id:x}:3000,{own_id:x}:500"));
        self
    }

    /// Sets a prompt of parts that are given by their IDs, in order.
    #[must_use]
    pub fn prompt_parts(mut self, ids: &[u64]) -> Self {
        let parts: Vec<_> = ids.iter().map(|id| format!("{id:x}:1000")).collect();
        self.prompt = Some(parts.join(","));
        self
    }

    /// Sets the ID of the last event that the caller has received.
    #[must_use]
    pub const fn last_event_id(mut self, event_id: u64) -> Self {
        self.last_event_id = Some(event_id);
        self
    }

    /// Sets the ID of the request that brought the first event of the stream.
    #[must_use]
    pub fn resumes(mut self, request_id: &str) -> Self {
        self.resumed_request = Some(request_id.to_owned());
        self
    }

    fn build(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().expect("a valid path");
        let headers = request.headers_mut();
        let mut insert = |name, value: &str| {
            headers.insert(name, value.parse().expect("a valid header value"));
        };
        insert(hyper::header::HOST, &self.host);
        insert(http_headers::REQUEST_ID, &self.id);
        insert(http_headers::API_KEY, &self.api_key);
        insert(http_headers::DEADLINE_MS, &self.deadline_ms.to_string());
        if let Some(parts) = &self.prompt {
            insert(http_headers::PROMPT_PARTS, parts);
            insert(http_headers::TOKEN_COUNTS, "3500,100");
        }
        if let Some(event_id) = self.last_event_id {
            insert(http_headers::LAST_EVENT_ID, &event_id.to_string());
        }
        if let Some(request_id) = &self.resumed_request {
            insert(http_headers::RESUMED_REQUEST, request_id);
        }
        request
    }
}

/// A response of the gateway, as far as it arrived.
#[derive(Clone, Debug)]
pub struct GatewayResponse {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Part of the body that arrived.
    pub body: String,
    /// Whether the body ended without an error.
    pub is_complete: bool,
}

impl GatewayResponse {
    /// Returns whether the response has the signature header of a backend server.
    #[must_use]
    pub fn is_signed(&self) -> bool {
        self.headers.contains_key(&http_headers::SIGNATURE)
    }

    /// Seconds after which the caller should retry, from the `retry-after` header.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<f64> {
        let text = self
            .headers
            .get(hyper::header::RETRY_AFTER)?
            .to_str()
            .ok()?;
        text.parse().ok()
    }

    /// Event IDs of a stream, in order of arrival.
    #[must_use]
    pub fn event_ids(&self) -> Vec<u64> {
        let mut ids = Vec::new();
        for line in self.body.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                ids.extend(id.trim().parse::<u64>());
            }
        }
        ids
    }

    /// Names of the servers that wrote the events of a stream, in order of arrival.
    #[must_use]
    pub fn event_servers(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines
            .filter_map(|line| line.strip_prefix("data: event ")?.split(" of ").nth(1))
            .collect()
    }

    /// Returns whether the gateway closes the connection after the response.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        self.headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value == "close")
    }
}

/// A connection that carries requests one at a time.
#[derive(Debug)]
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Connects to a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        actix_rt::spawn(async move {
            // The pending call receives the error too.
            drop(connection.await);
        });
        Ok(Self { sender })
    }

    /// Sends a request and reads the response as far as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the response does not arrive.
    pub async fn call(&mut self, request: &GatewayRequest) -> hyper::Result<GatewayResponse> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request.build()).await?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => bytes.extend_from_slice(&data),
                Ok(Err(_trailers)) => {}
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        Ok(GatewayResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_complete,
        })
    }
}
