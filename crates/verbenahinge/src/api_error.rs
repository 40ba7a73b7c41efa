//! Error responses in the JSON format that client libraries expect.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use serde::Serialize;
use strum::{Display, IntoStaticStr};
use verbenahinge_core::{Refusal, RefusalReason, RequestId, Verdict};
use verbenahinge_http::{HttpResponse, json};

/// Stable error codes of requests that are rejected before they reach the core.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ErrorCode {
    InvalidKey,
    UnknownModel,
    UnknownService,
    ClassNotAllowed,
    MalformedRequest,
    BodyTooLarge,
    BodyTimeout,
    NotFound,
    NotReady,
    NoRoom,
}

impl ErrorCode {
    const fn status(self) -> u16 {
        match self {
            Self::InvalidKey => 401,
            Self::ClassNotAllowed => 403,
            Self::UnknownModel | Self::UnknownService | Self::NotFound => 404,
            Self::BodyTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::MalformedRequest => 400,
            Self::NotReady | Self::NoRoom => 503,
        }
    }

    const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoom => Some(NO_ROOM_RETRY_DELAY),
            _ => None,
        }
    }
}

/// Time after which a caller should repeat a request whose body found no room.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorObject,
}

#[derive(Debug, Serialize)]
struct ErrorObject {
    message: String,
    r#type: &'static str,
    code: String,
    verdict: Verdict,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// Header with the request ID, on responses and on requests to backend servers.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Formats a request ID as 32 hexadecimal digits.
pub(crate) fn format_request_id(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Creates the response to a request that is rejected before it reaches the core.
pub(crate) fn rejection_response(
    request: RequestId,
    code: ErrorCode,
    message: &str,
) -> HttpResponse {
    let body = ErrorBody {
        error: ErrorObject {
            message: message.to_owned(),
            r#type: "invalid_request_error",
            code: code.to_string(),
            verdict: Verdict::NotRun,
            request_id: format_request_id(request),
            retry_after_ms: code.retry_after().map(|delay| delay.as_millis()),
        },
    };
    with_headers(json(code.status(), &body), request, code.retry_after())
}

/// Creates the response to a request that the core refused.
pub(crate) fn refusal_response(request: RequestId, refusal: &Refusal) -> HttpResponse {
    let body = refusal_body(request, refusal);
    let status = refusal_status(refusal.reason);
    with_headers(json(status, &body), request, refusal.retry_after)
}

/// Creates the response to a duplicate whose stored outcome cannot be decoded. The first request
/// was accepted, so it may have run.
pub(crate) fn unreadable_outcome_response(request: RequestId) -> HttpResponse {
    log::warn!(
        "request {}: the stored outcome cannot be decoded",
        format_request_id(request)
    );
    let refusal = Refusal::new(RefusalReason::Duplicate).verdict(Verdict::MayHaveRun);
    refusal_response(request, &refusal)
}

/// Creates the JSON body of a refusal.
pub(crate) fn refusal_body(request: RequestId, refusal: &Refusal) -> ErrorBody {
    ErrorBody {
        error: ErrorObject {
            message: refusal_message(refusal.reason).to_owned(),
            r#type: "service_error",
            code: refusal.reason.to_string(),
            verdict: refusal.verdict,
            request_id: format_request_id(request),
            retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis()),
        },
    }
}

const fn refusal_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::Overloaded | RefusalReason::AccountLimit => 429,
        RefusalReason::ServerFailed => 502,
        RefusalReason::Duplicate => 409,
        RefusalReason::Quarantined => 422,
        RefusalReason::Unknown => 404,
        RefusalReason::NoServer
        | RefusalReason::Suspect
        | RefusalReason::StoreUnavailable
        | RefusalReason::Draining => 503,
    }
}

const fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "the class's target cannot be met now",
        RefusalReason::AccountLimit => "the account has too many requests in flight",
        RefusalReason::NoServer => "no backend server can be reached",
        RefusalReason::ServerFailed => "the backend server failed",
        RefusalReason::Quarantined => "the request crashes backend servers and is not run again",
        RefusalReason::Suspect => "the same content was running at a crash and is being tried",
        RefusalReason::Duplicate => "another request with this idempotency key was accepted",
        RefusalReason::StoreUnavailable => "the idempotency key could not be claimed",
        RefusalReason::Draining => "this process is shutting down",
        RefusalReason::Unknown => "the pool, class or account is not declared",
    }
}

fn with_headers(
    mut response: HttpResponse,
    request: RequestId,
    retry_after: Option<Duration>,
) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&format_request_id(request)) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            let name = actix_http::header::RETRY_AFTER;
            response.headers_mut().insert(name, value);
        }
    }
    response
}
