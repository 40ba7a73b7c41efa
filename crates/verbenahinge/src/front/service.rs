//! Calls of plain services.

use std::rc::Rc;

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{HttpMessage, Response};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{Request, RequestId};
use verbenahinge_http::{HttpRequest, HttpResponse, empty, read_body};

use super::admit::{self, Caller};
use super::answer::CallerGuard;
use super::completion::with_id;
use super::{ErrorCode, Rejection};
use crate::api_error::{refused, unreadable_replay};
use crate::backend::{Replay, decode_outcome};
use crate::shell::{Call, Part, ServiceAnswer, ServiceCall, Shell};

/// Path under which services are called: `/services/<pool>/<path>`.
pub(super) const PATH_PREFIX: &str = "/services/";

/// Headers that end at this hop, beside the ones of the connection.
const OWN_HEADERS: [HeaderName; 5] = [
    header::AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::CONNECTION,
];

/// Answers a call of a plain service.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    id: RequestId,
    caller: &Caller,
    mut request: HttpRequest,
) -> Result<HttpResponse, Rejection> {
    let class = caller.class(&request)?;
    let key = admit::idempotency_key(&request)?;
    let target = request.path()[PATH_PREFIX.len()..].to_owned();
    let (name, rest) = target.split_once('/').unwrap_or((&target, ""));
    let path = format!("/{rest}");
    let Some((pool, declared)) = caller.config.declaration.pools.get_key_value(name) else {
        let message = format!("unknown service {name:?}");
        return Err(Rejection::new(ErrorCode::UnknownService, message));
    };
    let method = request.method().clone();
    let repeatable = declared.is_repeatable(method.as_str(), &path) && !admit::asks_once(&request);
    let query = request.uri().query().map(|query| format!("?{query}"));
    let path_and_query = format!("{path}{}", query.unwrap_or_default());
    let headers = forwarded(request.headers());
    let body = read_body(&mut request, shell.settings.max_body_bytes).await?;
    let content = hash64(format!("{method} {name}{path_and_query}").as_bytes());
    let mut decided = Request::new(id, caller.account.clone(), class, pool.clone())
        .fingerprint(mix64(content, hash64(&body)));
    let keep_outcome = !repeatable && key.is_some();
    if !repeatable {
        decided = decided.not_repeatable(key);
    }
    admit::note(shell, caller, id, &decided);
    let call = Call::Service(Rc::new(ServiceCall {
        method,
        path_and_query,
        headers,
        body,
        keep_outcome,
    }));
    let mut guard = CallerGuard::new(Rc::clone(shell), id);
    let mut receiver = shell.submit(decided, call);
    let part = receiver.recv().await;
    guard.ended();
    Ok(match part {
        Some(Part::Whole(answer)) => whole(id, answer),
        Some(Part::Refused(refusal)) => refused(id, &refusal),
        Some(Part::Replayed(outcome)) => match decode_outcome(&outcome) {
            Some(Replay::Service(answer)) => whole(id, answer),
            _ => unreadable_replay(id),
        },
        Some(Part::Frame(_) | Part::End) | None => with_id(empty(502), id),
    })
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        if OWN_HEADERS.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

fn whole(id: RequestId, answer: ServiceAnswer) -> HttpResponse {
    let mut builder = Response::build(answer.status);
    if let Some(content_type) = answer.content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type));
    }
    with_id(builder.body(answer.body).map_into_boxed_body(), id)
}
