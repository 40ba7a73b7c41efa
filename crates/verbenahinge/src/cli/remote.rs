//! Connection of the operator's tool to one VM.

use std::time::Duration;

use awc::Client;
use getopts::{Matches, Options};
use serde_json::Value;
use verbenahinge_core::Declaration;

use super::environment;
use super::error::CliError;

const TIMEOUT: Duration = Duration::from_secs(15);

const BODY_LIMIT_BYTES: usize = 64 << 20;

/// An answer of the operator interface.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) etag: Option<String>,
    pub(super) body: Value,
}

impl Answer {
    /// Turns an answer other than success into an error.
    pub(super) fn success(self) -> Result<Self, CliError> {
        match self.status {
            200..=299 => Ok(self),
            412 | 422 => Err(CliError::Rejected(self.describe())),
            _ => Err(CliError::Failed(self.describe())),
        }
    }

    fn describe(&self) -> String {
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

/// One VM's operator interface.
pub(super) struct Remote {
    client: Client,
    address: String,
    token: String,
}

impl Remote {
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
        let env = environment();
        let setting = |flag: &str, variable: &str| {
            let own = matches.opt_str(flag);
            own.or_else(|| env.get(variable).cloned())
        };
        let address = setting("vm", "VERBENAHINGE_VM").unwrap_or("127.0.0.1:8081".to_owned());
        let token = setting("token", "VERBENAHINGE_TOKEN").ok_or_else(|| {
            CliError::Usage("--token: missing; set it or VERBENAHINGE_TOKEN".to_owned())
        })?;
        Ok(Self {
            client: Client::builder().timeout(TIMEOUT).finish(),
            address,
            token,
        })
    }

    pub(super) async fn get(&self, path: &str) -> Result<Answer, CliError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.get(url).bearer_auth(&self.token);
        Self::read(request.send().await).await
    }

    pub(super) async fn post(&self, path: &str) -> Result<Answer, CliError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.post(url).bearer_auth(&self.token);
        Self::read(request.send().await).await
    }

    pub(super) async fn patch(
        &self,
        base: &str,
        patch_id: &str,
        patch: &Value,
    ) -> Result<Answer, CliError> {
        let url = format!("http://{}/v1/config", self.address);
        let request = self
            .client
            .patch(url)
            .bearer_auth(&self.token)
            .insert_header(("if-match", base))
            .insert_header(("idempotency-key", patch_id));
        Self::read(request.send_json(patch).await).await
    }

    async fn read(
        sent: Result<awc::ClientResponse, awc::error::SendRequestError>,
    ) -> Result<Answer, CliError> {
        let mut response = sent.map_err(|error| CliError::Failed(error.to_string()))?;
        let etag = response
            .headers()
            .get("etag")
            .and_then(|value| value.to_str().ok())
            .map(ToOwned::to_owned);
        let body = response
            .body()
            .limit(BODY_LIMIT_BYTES)
            .await
            .map_err(|error| CliError::Failed(error.to_string()))?;
        Ok(Answer {
            status: response.status().as_u16(),
            etag,
            body: decode_body(&body)?,
        })
    }

    /// The declaration in force and its version, quoted as an entity tag.
    pub(super) async fn config(&self) -> Result<(Declaration, String), CliError> {
        let answer = self.get("/v1/config").await?.success()?;
        let declaration = serde_json::from_value(answer.body)
            .map_err(|error| CliError::Failed(error.to_string()))?;
        let version = answer
            .etag
            .ok_or_else(|| CliError::Failed("the answer names no version (etag)".to_owned()))?;
        Ok((declaration, version))
    }
}

/// Decodes the body of an answer, which may be empty.
fn decode_body(body: &[u8]) -> Result<Value, CliError> {
    if body.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(body).map_err(|error| {
        let text = String::from_utf8_lossy(body);
        CliError::Failed(format!("the answer is no JSON ({error}): {text}"))
    })
}
