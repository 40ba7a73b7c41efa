//! HTTP client for callers, operators and the control endpoints of emulators.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use serde_json::{Value, json};
use verbenahinge_http::HttpClient;

/// Timeout for a request and its whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

const BODY_LIMIT_BYTES: usize = 64 << 20;

/// An HTTP response, read to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status; 0 if the request failed or the body could not be read.
    pub status: u16,
    /// Value of the `x-request-id` header.
    pub request_id: String,
    /// Value of the `retry-after` header.
    pub retry_after: Option<String>,
    /// Value of the `etag` header.
    pub etag: Option<String>,
    /// Body as text.
    pub body: String,
}

impl Response {
    /// The body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a completion, streamed or not; empty if there is none, which no test expects.
    #[must_use]
    pub fn text(&self) -> String {
        if !self.body.starts_with("data:") {
            let choice = &self.json()["choices"][0];
            let text = choice["message"]["content"].as_str();
            let text = text.or_else(|| choice["text"].as_str());
            return text.unwrap_or_default().to_owned();
        }
        let mut text = String::new();
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            let choice = &chunk["choices"][0];
            let delta = choice["delta"]["content"].as_str();
            let delta = delta.or_else(|| choice["text"].as_str());
            text.push_str(delta.unwrap_or_default());
        }
        text
    }

    /// Returns whether a streamed response ended with `[DONE]`.
    #[must_use]
    pub fn is_complete_stream(&self) -> bool {
        self.status == 200 && self.body.ends_with("data: [DONE]\n\n")
    }

    /// Error code; empty if there is none.
    #[must_use]
    pub fn code(&self) -> String {
        let code = self.json()["error"]["code"].as_str().map(ToOwned::to_owned);
        code.unwrap_or_default()
    }

    /// Verdict of an error; empty if there is none.
    #[must_use]
    pub fn verdict(&self) -> String {
        let verdict = self.json()["error"]["verdict"]
            .as_str()
            .map(ToOwned::to_owned);
        verdict.unwrap_or_default()
    }
}

/// HTTP client of one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    bearer_token: String,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Creates a client with an API key or an operator token.
    #[must_use]
    pub fn new(address: SocketAddr, bearer_token: impl Into<String>) -> Self {
        Self {
            address,
            bearer_token: bearer_token.into(),
            headers: Vec::new(),
        }
    }

    /// Adds a header to all requests.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Panics
    ///
    /// Panics if the path or a header is invalid.
    pub async fn send(&self, method: Method, path: &str, body: Option<&Value>) -> Response {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.bearer_token),
            );
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        if body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let bytes = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
        let request = request.body(Full::new(bytes)).expect("a valid request");
        let fetched = HttpClient::new(REQUEST_TIMEOUT)
            .fetch(request, BODY_LIMIT_BYTES, REQUEST_TIMEOUT)
            .await;
        let Ok(response) = fetched else {
            return failed_response();
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.map(ToOwned::to_owned)
        };
        Response {
            status: response.status().as_u16(),
            request_id: header("x-request-id").unwrap_or_default(),
            retry_after: header("retry-after"),
            etag: header("etag"),
            body: String::from_utf8_lossy(response.body()).into_owned(),
        }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Response {
        self.send(Method::GET, path, None).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Response {
        self.send(Method::POST, path, Some(body)).await
    }

    /// Requests a streamed chat completion.
    pub async fn chat(&self, prompt: &str, class: &str) -> Response {
        let body = json!({
            "model": "small",
            "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let client = self.clone().header("x-class", class);
        client.post("/v1/chat/completions", &body).await
    }
}

const fn failed_response() -> Response {
    Response {
        status: 0,
        request_id: String::new(),
        retry_after: None,
        etag: None,
        body: String::new(),
    }
}
