//! A caller of the gateway, on a connection of its own.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use verbenahinge_platform::http_headers;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct GatewayRequest {
    id: String,
    method: Method,
    path: String,
    host: String,
    key: String,
    deadline_ms: u64,
    prompt: Option<String>,
    last_event: Option<u64>,
    body: Bytes,
}

impl GatewayRequest {
    /// Creates a request with an id, of the first client account.
    #[must_use]
    pub fn new(id: impl Into<String>, path: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            method: Method::POST,
            path: path.into(),
            host: "gateway.example".to_owned(),
            key: "key-one".to_owned(),
            deadline_ms: 4000,
            prompt: None,
            last_event: None,
            body: Bytes::from_static(b"a body"),
        }
    }

    /// Sets the API key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// Sets the time for which the caller waits.
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

    /// Gives the request a prompt of a shared part and a part of its own.
    #[must_use]
    pub fn prompt(mut self, shared: u64, own: u64) -> Self {
        self.prompt = Some(format!("{shared:x}:3000,{own:x}:500"));
        self
    }

    /// Says which event of the stream the caller has.
    #[must_use]
    pub const fn last_event(mut self, event: u64) -> Self {
        self.last_event = Some(event);
        self
    }

    fn build(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().expect("a path");
        let headers = request.headers_mut();
        let mut insert = |name, value: &str| {
            headers.insert(name, value.parse().expect("a header value"));
        };
        insert(hyper::header::HOST, &self.host);
        insert(http_headers::REQUEST_ID, &self.id);
        insert(http_headers::API_KEY, &self.key);
        insert(http_headers::DEADLINE_MS, &self.deadline_ms.to_string());
        if let Some(parts) = &self.prompt {
            insert(http_headers::PROMPT_PARTS, parts);
            insert(http_headers::TOKEN_COUNTS, "3500,100");
        }
        if let Some(event) = self.last_event {
            insert(http_headers::LAST_EVENT_ID, &event.to_string());
        }
        request
    }
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct GatewayAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Bytes that arrived.
    pub body: String,
    /// Whether the answer came to its end.
    pub is_complete: bool,
}

impl GatewayAnswer {
    /// Says whether the answer bears the signature of a backend server.
    #[must_use]
    pub fn is_signed(&self) -> bool {
        self.headers.contains_key(&http_headers::SIGNATURE)
    }

    /// Seconds after which the caller should come back.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<f64> {
        let text = self
            .headers
            .get(hyper::header::RETRY_AFTER)?
            .to_str()
            .ok()?;
        text.parse().ok()
    }

    /// Ids of the events of a stream, in order.
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

    /// Says whether the connection closes after the answer.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value == "close")
    }
}

/// A connection that carries one request after the other.
#[derive(Debug)]
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Connects to a VM.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be opened.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        actix_rt::spawn(async move {
            // The call in progress gets the error as well.
            drop(connection.await);
        });
        Ok(Self { sender })
    }

    /// Sends a request and reads the answer as far as it comes.
    ///
    /// # Errors
    ///
    /// Returns why not even the head of an answer came.
    pub async fn call(&mut self, request: &GatewayRequest) -> hyper::Result<GatewayAnswer> {
        self.sender.ready().await?;
        let answer = self.sender.send_request(request.build()).await?;
        let (parts, mut body) = answer.into_parts();
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
        Ok(GatewayAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_complete,
        })
    }
}
