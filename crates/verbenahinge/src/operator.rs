//! HTTP interface for operators, health probes and metrics scrapers.

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

/// Operator name recorded for requests that use the bootstrap token.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct OperatorErrorBody<'a> {
    error: &'a str,
}

fn error_response(status: u16, error: &str) -> HttpResponse {
    json(status, &OperatorErrorBody { error })
}

/// Handles a request; only `/metrics`, `/healthz` and `/readyz` need no token.
pub(crate) async fn handle(shell: Rc<Shell>, request: HttpRequest) -> HttpResponse {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    let required_role = match (method.as_str(), path.as_str()) {
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
    let Some(operator) = authorize(&shell, &request, required_role) else {
        return error_response(401, "unknown token, or its role does not reach");
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
        ("GET", path) if path.starts_with("/v1/requests/") => request_trace(&shell, path),
        _ => error_response(404, "no such path"),
    }
}

fn authorize(shell: &Shell, request: &HttpRequest, required_role: Role) -> Option<OperatorName> {
    let token = header_text(request, "authorization").and_then(keys::bearer_token)?;
    let config = shell.config();
    let bootstrap = shell.settings.bootstrap_token.as_deref();
    let bootstrap_allowed = config.declaration.operators.is_empty() || required_role == Role::Read;
    if bootstrap_allowed && bootstrap.is_some_and(|bootstrap| keys::secrets_match(token, bootstrap))
    {
        return Some(OperatorName::from(BOOTSTRAP_OPERATOR));
    }
    keys::find_operator(&config.declaration, token, required_role)
}

fn last_segment(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or_default()
}

fn request_trace(shell: &Shell, path: &str) -> HttpResponse {
    let Ok(request) = RequestId::from_str_radix(last_segment(path), 16) else {
        return error_response(400, "a request id is 32 hexadecimal digits");
    };
    match shell.decision_log.borrow().get(request) {
        Some(trace) => json(200, trace),
        None => error_response(404, "this VM has not seen the request, or has forgotten it"),
    }
}
