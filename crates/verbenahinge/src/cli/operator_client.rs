//! HTTP client for the operator API.

use std::time::Duration;

use bytes::Bytes;
use getopts::{Matches, Options};
use http_body_util::Full;
use hyper::{Method, Request, header};
use serde_json::Value;
use verbenahinge_core::Declaration;
use verbenahinge_http::HttpClient;

use super::environment_variables;
use super::error::CliError;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

const MAX_BODY_BYTES: usize = 64 << 20;

/// A response of the operator API with its body decoded.
pub(super) struct OperatorResponse {
    pub(super) status: u16,
    pub(super) etag: Option<String>,
    pub(super) body: Value,
}

impl OperatorResponse {
    /// Returns an error unless the status is a success.
    pub(super) fn require_success(self) -> Result<Self, CliError> {
        match self.status {
            200..=299 => Ok(self),
            412 | 422 => Err(CliError::Rejected(self.error_message())),
            _ => Err(CliError::Failed(self.error_message())),
        }
    }

    fn error_message(&self) -> String {
        let error = self.body["error"].as_str().unwrap_or("no reason given");
        let mut text = format!("{} ({})", error, self.status);
        for problem in self.body["problems"].as_array().into_iter().flatten() {
            let path = problem["path"].as_str().unwrap_or_default();
            let message = problem["message"].as_str().unwrap_or_default();
            text.push_str("\n  ");
            text.push_str(path);
            text.push_str(": ");
            text.push_str(message);
        }
        text
    }
}

/// Client for the operator API of one VM.
pub(super) struct OperatorClient {
    client: HttpClient,
    address: String,
    token: String,
}

impl OperatorClient {
    pub(super) fn add_options(options: &mut Options) {
        options
            .optopt(
                "",
                "vm",
                "operator address of any VM [VERBENAHINGE_VM, default 127.0.0.1:8081]",
                "IP:PORT",
            )
            .optopt("", "token", "operator token [VERBENAHINGE_TOKEN]", "TOKEN")
            .optflag("", "json", "print JSON");
    }

    pub(super) fn new(matches: &Matches) -> Result<Self, CliError> {
        let env = environment_variables();
        let option = |flag: &str, variable: &str| {
            let flag_value = matches.opt_str(flag);
            flag_value.or_else(|| env.get(variable).cloned())
        };
        let address = option("vm", "VERBENAHINGE_VM").unwrap_or("127.0.0.1:8081".to_owned());
        let token = option("token", "VERBENAHINGE_TOKEN").ok_or_else(|| {
            CliError::Usage("--token: missing; set it or VERBENAHINGE_TOKEN".to_owned())
        })?;
        Ok(Self {
            client: HttpClient::new(CONNECT_TIMEOUT),
            address,
            token,
        })
    }

    pub(super) async fn get(&self, path: &str) -> Result<OperatorResponse, CliError> {
        self.send(self.request(Method::GET, path).body(Full::default()))
            .await
    }

    pub(super) async fn post(&self, path: &str) -> Result<OperatorResponse, CliError> {
        self.send(self.request(Method::POST, path).body(Full::default()))
            .await
    }

    pub(super) async fn patch(
        &self,
        base: &str,
        patch_id: &str,
        patch: &Value,
    ) -> Result<OperatorResponse, CliError> {
        let request = self
            .request(Method::PATCH, "/v1/config")
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::IF_MATCH, base)
            .header("idempotency-key", patch_id)
            .body(Full::new(Bytes::from(patch.to_string())));
        self.send(request).await
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn send(
        &self,
        request: hyper::http::Result<Request<Full<Bytes>>>,
    ) -> Result<OperatorResponse, CliError> {
        let request = request.map_err(|error| CliError::Usage(error.to_string()))?;
        let fetched = self
            .client
            .fetch(request, MAX_BODY_BYTES, REQUEST_TIMEOUT)
            .await;
        let response = fetched.map_err(|error| CliError::Failed(error.to_string()))?;
        let etag = response
            .headers()
            .get(header::ETAG)
            .and_then(|value| value.to_str().ok())
            .map(ToOwned::to_owned);
        Ok(OperatorResponse {
            status: response.status().as_u16(),
            etag,
            body: decode_body(response.body())?,
        })
    }

    /// Fetches the active declaration and its version, quoted as an entity tag.
    pub(super) async fn active_config(&self) -> Result<(Declaration, String), CliError> {
        let response = self.get("/v1/config").await?.require_success()?;
        let declaration = serde_json::from_value(response.body)
            .map_err(|error| CliError::Failed(error.to_string()))?;
        let version = response
            .etag
            .ok_or_else(|| CliError::Failed("the response has no version (etag)".to_owned()))?;
        Ok((declaration, version))
    }
}

/// Decodes a JSON body. An empty body becomes null.
fn decode_body(body: &[u8]) -> Result<Value, CliError> {
    if body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(body).map_err(|error| {
        let text = String::from_utf8_lossy(body);
        CliError::Failed(format!("the response is not valid JSON ({error}): {text}"))
    })
}
