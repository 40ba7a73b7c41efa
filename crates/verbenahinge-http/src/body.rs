//! Reading of request bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;

use crate::{HttpRequest, RequestBody};

/// Time within which a client has to send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Error while reading or parsing a request body.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[display("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest allowed size in bytes.
        limit_bytes: usize,
    },
    /// The body was not complete before the timeout.
    #[display("the body did not arrive in time")]
    Timeout,
    /// The connection was lost or the body was encoded incorrectly.
    #[display("the body broke off")]
    ReadFailed,
    /// The body is not valid JSON or does not match the expected type.
    #[display("malformed JSON: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// Reads a request body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns an error if the body is too large, does not arrive in time or cannot be received.
pub async fn read_body(request: &mut HttpRequest, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = RequestBody::new(request);
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::ReadFailed)?;
            if body.len() + chunk.len() > limit_bytes {
                return Err(BodyError::TooLarge { limit_bytes });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match crate::timeout(BODY_TIMEOUT, read).await {
        Ok(body) => body,
        Err(_) => Err(BodyError::Timeout),
    }
}

/// Reads a request body of at most `limit_bytes` and parses it as JSON.
///
/// # Errors
///
/// Returns an error if the body cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut HttpRequest,
    limit_bytes: usize,
) -> Result<T, BodyError> {
    let body = read_body(request, limit_bytes).await?;
    serde_json::from_slice(&body).map_err(|error| BodyError::Malformed(error.to_string()))
}
