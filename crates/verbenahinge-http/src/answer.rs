//! Whole answers.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode, header};
use serde::Serialize;

/// An answer to an HTTP request.
pub type HttpResponse = Response<BoxBody>;

fn with_type(status: u16, content_type: &'static str, body: String) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .body(body)
        .map_into_boxed_body()
}

/// Creates an answer with a JSON body; 500 if the value has no JSON form.
#[must_use]
pub fn json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(body) => with_type(status, "application/json", body),
        Err(error) => {
            log::error!("an answer could not be encoded: {error}");
            text(500, "the answer could not be encoded")
        }
    }
}

/// Creates an answer with a text body.
#[must_use]
pub fn text(status: u16, body: impl Into<String>) -> HttpResponse {
    with_type(status, "text/plain; charset=utf-8", body.into())
}

/// Creates an answer without a body.
#[must_use]
pub fn empty(status: u16) -> HttpResponse {
    text(status, "")
}
