//! HTTP client for the operator API.

use std::time::Duration;

use awc::Client;
use getopts::{Matches, Options};
use serde_json::Value;
use verbenahinge_core::Declaration;

use super::environment_variables;
use super::error::CliError;

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
    client: Client,
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
            client: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            address,
            token,
        })
    }

    pub(super) async fn get(&self, path: &str) -> Result<OperatorResponse, CliError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.get(url).bearer_auth(&self.token);
        Self::read_response(request.send().await).await
    }

    pub(super) async fn post(&self, path: &str) -> Result<OperatorResponse, CliError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.post(url).bearer_auth(&self.token);
        Self::read_response(request.send().await).await
    }

    pub(super) async fn patch(
        &self,
        base: &str,
        patch_id: &str,
        patch: &Value,
    ) -> Result<OperatorResponse, CliError> {
        let url = format!("http://{}/v1/config", self.address);
        let request = self
            .client
            .patch(url)
            .bearer_auth(&self.token)
            .insert_header(("if-match", base))
            .insert_header(("idempotency-key", patch_id));
        Self::read_response(request.send_json(patch).await).await
    }

    async fn read_response(
        result: Result<awc::ClientResponse, awc::error::SendRequestError>,
    ) -> Result<OperatorResponse, CliError> {
        let mut response = result.map_err(|error| CliError::Failed(error.to_string()))?;
        let etag = response
            .headers()
            .get("etag")
            .and_then(|value| value.to_str().ok())
            .map(ToOwned::to_owned);
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|error| CliError::Failed(error.to_string()))?;
        Ok(OperatorResponse {
            status: response.status().as_u16(),
            etag,
            body: decode_body(&body)?,
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
