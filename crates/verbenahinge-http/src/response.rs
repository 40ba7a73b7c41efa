//! Responses with a complete, non-streaming body.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode, header};
use serde::Serialize;

/// HTTP response with a boxed body.
pub type HttpResponse = Response<BoxBody>;

fn with_content_type(status: u16, content_type: &'static str, body: String) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .body(body)
        .map_into_boxed_body()
}

/// Creates a response with a JSON body, or a 500 response if the value cannot be serialized.
#[must_use]
pub fn json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(body) => with_content_type(status, "application/json", body),
        Err(error) => {
            log::error!("failed to serialize a response body: {error}");
            text(500, "the answer could not be encoded")
        }
    }
}

/// Creates a response with a plain-text body.
#[must_use]
pub fn text(status: u16, body: impl Into<String>) -> HttpResponse {
    with_content_type(status, "text/plain; charset=utf-8", body.into())
}

/// Creates a plain-text response with an empty body.
#[must_use]
pub fn empty(status: u16) -> HttpResponse {
    text(status, "")
}
