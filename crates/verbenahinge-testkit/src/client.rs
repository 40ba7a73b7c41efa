//! A caller, an operator, or a test that looks into a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use serde_json::{Value, json};

/// Time after which a test gives up on an answer.
const TIMEOUT: Duration = Duration::from_mins(1);

const BODY_LIMIT_BYTES: usize = 64 << 20;

/// An answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if the connection broke.
    pub status: u16,
    /// Value of the `x-request-id` header.
    pub request_id: String,
    /// Value of the `retry-after` header.
    pub retry_after: Option<String>,
    /// Value of the `etag` header.
    pub etag: Option<String>,
    /// The body.
    pub body: String,
}

impl Answer {
    /// The body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a completion, streamed or not; empty where there is none, which no test expects.
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
            let piece = choice["delta"]["content"].as_str();
            let piece = piece.or_else(|| choice["text"].as_str());
            text.push_str(piece.unwrap_or_default());
        }
        text
    }

    /// Says whether a streamed answer has its end mark.
    #[must_use]
    pub fn is_whole_stream(&self) -> bool {
        self.status == 200 && self.body.ends_with("data: [DONE]\n\n")
    }

    /// Code of an error answer.
    #[must_use]
    pub fn code(&self) -> String {
        let code = self.json()["error"]["code"].as_str().map(ToOwned::to_owned);
        code.unwrap_or_default()
    }

    /// Verdict of an error answer.
    #[must_use]
    pub fn verdict(&self) -> String {
        let verdict = self.json()["error"]["verdict"]
            .as_str()
            .map(ToOwned::to_owned);
        verdict.unwrap_or_default()
    }
}

/// Speaks HTTP to one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    key: String,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Creates a client with a key or token.
    #[must_use]
    pub fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        Self {
            address,
            key: key.into(),
            headers: Vec::new(),
        }
    }

    /// Adds a header to all requests.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, method: Method, path: &str, body: Option<&Value>) -> Answer {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        let url = format!("http://{}{path}", self.address);
        let mut request = http.request(method, url).bearer_auth(&self.key);
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let Ok(mut response) = sent else {
            return broken(String::new());
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.map(ToOwned::to_owned)
        };
        let request_id = header("x-request-id").unwrap_or_default();
        let retry_after = header("retry-after");
        let etag = header("etag");
        let status = response.status().as_u16();
        let Ok(bytes) = response.body().limit(BODY_LIMIT_BYTES).await else {
            return broken(request_id);
        };
        Answer {
            status,
            request_id,
            retry_after,
            etag,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        }
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, None).await
    }

    /// Posts JSON to a path.
    pub async fn post(&self, path: &str, body: &Value) -> Answer {
        self.send(Method::POST, path, Some(body)).await
    }

    /// Asks for a streamed chat completion.
    pub async fn chat(&self, prompt: &str, class: &str) -> Answer {
        let body = json!({
            "model": "small",
            "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let client = self.clone().header("x-class", class);
        client.post("/v1/chat/completions", &body).await
    }
}

const fn broken(request_id: String) -> Answer {
    Answer {
        status: 0,
        request_id,
        retry_after: None,
        etag: None,
        body: String::new(),
    }
}
