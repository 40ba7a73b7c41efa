//! Access to request headers.

use actix_http::HttpMessage;

use crate::HttpRequest;

/// Returns the value of a header, or `None` if it is absent or is not visible ASCII.
#[must_use]
pub fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
