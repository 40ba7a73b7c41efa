//! HTTP interface for operators and metrics scrapers.

mod patch;
mod status;

use std::rc::Rc;

use serde::Serialize;
use serde_json::json as object;
use verbenahinge_core::declaration::Role;
use verbenahinge_core::{OperatorName, RequestId};
use verbenahinge_http::{HttpRequest, HttpResponse, empty, header_text, json, text};

use crate::keys;
use crate::shell::Shell;

/// Name of the operator that the bootstrap token stands for.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Error answer of the operator interface.
#[derive(Debug, Serialize)]
struct OperatorError<'a> {
    error: &'a str,
}

fn problem(status: u16, error: &str) -> HttpResponse {
    json(status, &OperatorError { error })
}

/// Answers one request of an operator.
pub(crate) async fn handle(shell: Rc<Shell>, request: HttpRequest) -> HttpResponse {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    let role = match (method.as_str(), path.as_str()) {
        ("GET", "/metrics") => return text(200, shell.metrics.encode()),
        ("GET", "/healthz") => return empty(200),
        ("GET", "/readyz") => {
            let ready = shell.with_node(verbenahinge_core::Node::is_ready);
            return empty(if ready { 200 } else { 503 });
        }
        ("PATCH", _) => Role::Patch,
        ("POST", "/v1/drain") => Role::Drain,
        _ => Role::Read,
    };
    let Some(operator) = authorize(&shell, &request, role) else {
        return problem(401, "unknown token, or its role does not reach");
    };
    match (method.as_str(), path.as_str()) {
        ("GET", "/v1/config") => status::config(&shell),
        ("GET", "/v1/history") => status::history(&shell).await,
        ("GET", "/v1/status") => status::status(&shell),
        ("PATCH", "/v1/config") => patch::handle(&shell, operator, request).await,
        ("POST", "/v1/drain") => {
            shell.handle(verbenahinge_core::Event::Drain);
            json(202, &object!({"draining": true}))
        }
        ("GET", path) if path.starts_with("/v1/config/versions/") => {
            status::version(&shell, path).await
        }
        ("GET", path) if path.starts_with("/v1/requests/") => explain(&shell, path),
        _ => problem(404, "no such path"),
    }
}

fn authorize(shell: &Shell, request: &HttpRequest, role: Role) -> Option<OperatorName> {
    let token = header_text(request, "authorization").and_then(keys::bearer_token)?;
    let config = shell.config();
    let bootstrap = shell.settings.bootstrap_token.as_deref();
    let reaches = config.declaration.operators.is_empty() || role == Role::Read;
    if reaches && bootstrap.is_some_and(|bootstrap| keys::secrets_match(token, bootstrap)) {
        return Some(OperatorName::from(BOOTSTRAP_OPERATOR));
    }
    keys::find_operator(&config.declaration, token, role)
}

fn last_segment(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or_default()
}

fn explain(shell: &Shell, path: &str) -> HttpResponse {
    let Ok(request) = RequestId::from_str_radix(last_segment(path), 16) else {
        return problem(400, "a request id is 32 hexadecimal digits");
    };
    match shell.decisions.borrow().get(request) {
        Some(decision) => json(200, decision),
        None => problem(404, "this VM has not seen the request, or has forgotten it"),
    }
}
