//! Handler for calls to plain services.

use std::rc::Rc;

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{HttpMessage, Response};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{Request, RequestId};
use verbenahinge_http::{HttpRequest, HttpResponse, empty};

use super::answer::DisconnectGuard;
use super::completion::with_request_id;
use super::request_headers::{self, Caller};
use super::{ErrorCode, Rejection, body};
use crate::api_error::{refusal_response, unreadable_outcome_response};
use crate::backend::{DecodedOutcome, decode_outcome};
use crate::shell::{AnswerPart, BackendCall, ServiceAnswer, ServiceCall, Shell};

/// Prefix of the path of a service call: `/services/<pool>/<path>`.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Request headers that end at this hop and are not forwarded to the backend server.
const UNFORWARDED_HEADERS: [HeaderName; 5] = [
    header::AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::CONNECTION,
];

/// Handles a call to a plain service.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    id: RequestId,
    caller: &Caller,
    mut request: HttpRequest,
) -> Result<HttpResponse, Rejection> {
    let class = caller.class(&request)?;
    let key = request_headers::idempotency_key(&request)?;
    let target = request.path()[PATH_PREFIX.len()..].to_owned();
    let (name, rest) = target.split_once('/').unwrap_or((&target, ""));
    let path = format!("/{rest}");
    let Some((pool, declared)) = caller.config.declaration.pools.get_key_value(name) else {
        let message = format!("unknown service {name:?}");
        return Err(Rejection::new(ErrorCode::UnknownService, message));
    };
    let method = request.method().clone();
    let repeatable = declared.is_repeatable(method.as_str(), &path)
        && !request_headers::marked_not_repeatable(&request);
    let query = request.uri().query().map(|query| format!("?{query}"));
    let path_and_query = format!("{path}{}", query.unwrap_or_default());
    let headers = forwarded_headers(request.headers());
    let (body, hold) = body::receive(shell, caller, &mut request).await?;
    let content_hash = hash64(format!("{method} {name}{path_and_query}").as_bytes());
    let mut core_request = Request::new(id, caller.account.clone(), class, pool.clone())
        .fingerprint(mix64(content_hash, hash64(&body)));
    let keep_outcome = !repeatable && key.is_some();
    if !repeatable {
        core_request = core_request.not_repeatable(key);
    }
    request_headers::record_request(shell, caller, id, &core_request);
    let call = BackendCall::Service(Rc::new(ServiceCall {
        method,
        path_and_query,
        headers,
        body,
        _hold: hold,
        keep_outcome,
    }));
    let mut guard = DisconnectGuard::new(Rc::clone(shell), id);
    let mut receiver = shell.submit(core_request, call);
    let part = receiver.recv().await;
    guard.mark_ended();
    Ok(match part {
        Some(AnswerPart::Whole(answer)) => service_response(id, answer),
        Some(AnswerPart::Refused(refusal)) => refusal_response(id, &refusal),
        Some(AnswerPart::Replayed(outcome)) => match decode_outcome(&outcome) {
            Some(DecodedOutcome::Service(answer)) => service_response(id, answer),
            _ => unreadable_outcome_response(id),
        },
        Some(AnswerPart::Frame(_) | AnswerPart::End) | None => with_request_id(empty(502), id),
    })
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if UNFORWARDED_HEADERS.contains(name) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

fn service_response(id: RequestId, answer: ServiceAnswer) -> HttpResponse {
    let mut builder = Response::build(answer.status);
    if let Some(content_type) = answer.content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type));
    }
    with_request_id(builder.body(answer.body).map_into_boxed_body(), id)
}
