//! HTTP interface for callers: completions, plain services, the model list and health checks.

mod answer;
mod body;
mod completion;
mod request_headers;
mod service;

use std::rc::Rc;

use serde_json::json as object;
use verbenahinge_core::RequestId;
use verbenahinge_http::{HttpRequest, HttpResponse, empty, json};

use self::completion::CompletionKind;
use self::request_headers::{Caller, authenticate};
use crate::api_error::{ErrorCode, rejection_response};
use crate::shell::Shell;

/// Error response to a request that is rejected before it reaches the core.
pub(crate) struct Rejection {
    code: ErrorCode,
    message: String,
}

impl Rejection {
    fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle(shell: Rc<Shell>, request: HttpRequest) -> HttpResponse {
    let id = shell.new_request_id();
    match route(&shell, id, request).await {
        Ok(response) => response,
        Err(rejection) => rejection_response(id, rejection.code, &rejection.message),
    }
}

async fn route(
    shell: &Rc<Shell>,
    id: RequestId,
    request: HttpRequest,
) -> Result<HttpResponse, Rejection> {
    let path = request.path().to_owned();
    if path == "/healthz" {
        return Ok(empty(200));
    }
    if path == "/readyz" {
        let ready = shell.with_node(verbenahinge_core::Node::is_ready);
        return Ok(empty(if ready { 200 } else { 503 }));
    }
    let caller = authenticate(shell, &request)?;
    match (request.method().as_str(), path.as_str()) {
        ("GET", "/v1/models") => Ok(list_models(&caller)),
        ("POST", "/v1/chat/completions") => {
            completion::handle(shell, id, &caller, request, CompletionKind::Chat).await
        }
        ("POST", "/v1/completions") => {
            completion::handle(shell, id, &caller, request, CompletionKind::Text).await
        }
        (_, path) if path.starts_with(service::PATH_PREFIX) => {
            service::handle(shell, id, &caller, request).await
        }
        _ => Err(Rejection::new(ErrorCode::NotFound, "no such path")),
    }
}

fn list_models(caller: &Caller) -> HttpResponse {
    let mut data = Vec::new();
    for (pool, declared) in &caller.config.declaration.pools {
        for model in &declared.models {
            data.push(object!({"id": model, "object": "model", "owned_by": pool}));
        }
    }
    json(200, &object!({"object": "list", "data": data}))
}
