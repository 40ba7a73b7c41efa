//! Calls to engines that copy the memory of a run or free a copy.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use verbenahinge_core::ServerName;
use verbenahinge_core::gateway::{CopyOutcome, MoveOrder, ServerEntry};
use verbenahinge_platform::kv_moves::{self, MOVE_PATH, MoveRequestJson};

use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Time within which an engine frees a copy.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallError {
    /// The engine has not received the call.
    NotSent,
    /// The engine may have received the call.
    Lost,
}

/// Has the memory of a run copied.
pub(super) async fn copy_run(
    gateway: &Rc<Gateway>,
    source: &ServerEntry,
    request_id: &str,
    order: &MoveOrder,
    timeout: Duration,
) -> CopyOutcome {
    let target = gateway
        .state
        .borrow()
        .registry()
        .get(&order.target)
        .cloned();
    let Some(target) = target else {
        return CopyOutcome::NotSent;
    };
    let call = MoveRequestJson {
        id: request_id.to_owned(),
        to: target.address,
        last: order.is_last,
    };
    let body = match serde_json::to_vec(&call) {
        Ok(body) => body,
        Err(error) => {
            log::warn!("failed to encode a call to move a stream: {error}");
            return CopyOutcome::NotSent;
        }
    };
    let sent = send(gateway, source, Method::POST, MOVE_PATH, body.into());
    match verbenahinge_http::timeout(timeout, sent).await {
        Ok(Ok((status, body))) => kv_moves::decode_move_response(status, &body),
        Ok(Err(CallError::NotSent)) => CopyOutcome::NotSent,
        Ok(Err(CallError::Lost)) | Err(_) => CopyOutcome::Lost,
    }
}

/// Frees the copies that are not needed any more.
pub(super) fn free_unused(gateway: &Rc<Gateway>) {
    let unused = gateway.stream_mover.moves.borrow_mut().take_unused();
    for copy in unused {
        let path = kv_moves::handle_path(&copy.handle);
        actix_rt::spawn(free(Rc::clone(gateway), copy.source, path));
    }
}

async fn free(gateway: Rc<Gateway>, server: ServerName, path: String) {
    let entry = gateway.state.borrow().registry().get(&server).cloned();
    let cause = match entry {
        None => "the engine has left".to_owned(),
        Some(entry) => {
            let sent = send(&gateway, &entry, Method::DELETE, &path, Bytes::new());
            match verbenahinge_http::timeout(FREE_TIMEOUT, sent).await {
                // An engine that does not know the handle has used or freed it.
                Ok(Ok((status, _))) if status.is_success() || status == StatusCode::NOT_FOUND => {
                    gateway.metrics.count_move("free", "freed");
                    return;
                }
                Ok(Ok((status, _))) => format!("status {status}"),
                Ok(Err(error)) => format!("{error:?}"),
                Err(_) => "no response".to_owned(),
            }
        }
    };
    gateway.metrics.count_move("free", "failed");
    LogEvent::CopyNotFreed.log(&[("server", &server), ("cause", &cause)]);
}

/// Sends a call on a connection of its own, so that it is never sent twice.
async fn send(
    gateway: &Gateway,
    server: &ServerEntry,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    let connected = gateway.connections.connect(&server.id, server.address);
    let mut connection = connected.await.map_err(|error| {
        log::debug!("failed to connect to server {}: {error}", server.id);
        CallError::NotSent
    })?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|error| {
        log::warn!("invalid path of a call to an engine: {path:?}: {error}");
        CallError::NotSent
    })?;
    *request.headers_mut() = kv_moves::encode_call_headers(&server.id, server.address);
    let sender = connection.sender().ok_or(CallError::NotSent)?;
    let response = sender.send_request(request).await.map_err(|error| {
        log::debug!("a call to server {} failed: {error}", server.id);
        CallError::Lost
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|error| {
        log::debug!("a response of server {} was cut off: {error}", server.id);
        CallError::Lost
    })?;
    Ok((status, body.to_bytes()))
}
