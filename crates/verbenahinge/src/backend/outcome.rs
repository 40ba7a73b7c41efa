//! Encoding of the outcome of a request that is not repeatable, for replay to its duplicates.

use std::sync::Arc;

use actix_http::StatusCode;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::shell::ServiceAnswer;

/// Maximum size of an encoded outcome. A larger one is not stored, and duplicates are refused with
/// the verdict "may have run".
const MAX_OUTCOME_BYTES: usize = 32 << 10;

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Service {
        status: u16,
        content_type: Option<String>,
        body: String,
    },
    Frames(Vec<String>),
}

/// Stored outcome of an earlier request.
#[derive(Debug)]
pub(crate) enum DecodedOutcome {
    Service(ServiceAnswer),
    Frames(Vec<Bytes>),
}

/// Encodes an outcome; returns `None` if it is not UTF-8 or larger than [`MAX_OUTCOME_BYTES`].
pub(crate) fn encode_outcome(answer: Option<&ServiceAnswer>, frames: &[Bytes]) -> Option<Arc<str>> {
    // The outcome is stored as JSON text. Without a stored outcome, a duplicate is refused.
    let text = |bytes: &Bytes| String::from_utf8(bytes.to_vec()).ok();
    let outcome = match answer {
        Some(answer) => Outcome::Service {
            status: answer.status.as_u16(),
            content_type: answer.content_type.clone(),
            body: text(&answer.body)?,
        },
        None => Outcome::Frames(frames.iter().map(text).collect::<Option<_>>()?),
    };
    let encoded = serde_json::to_string(&outcome).ok()?;
    (encoded.len() <= MAX_OUTCOME_BYTES).then(|| Arc::from(encoded))
}

/// Decodes a stored outcome; returns `None` if it cannot be parsed.
pub(crate) fn decode_outcome(encoded: &str) -> Option<DecodedOutcome> {
    match serde_json::from_str(encoded).ok()? {
        Outcome::Service {
            status,
            content_type,
            body,
        } => Some(DecodedOutcome::Service(ServiceAnswer {
            status: StatusCode::from_u16(status).ok()?,
            content_type,
            body: Bytes::from(body),
        })),
        Outcome::Frames(frames) => Some(DecodedOutcome::Frames(
            frames.into_iter().map(Bytes::from).collect(),
        )),
    }
}
