//! Outcomes of requests that are not repeatable, as they are kept for duplicates.

use std::sync::Arc;

use actix_http::StatusCode;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::shell::ServiceAnswer;

/// Largest outcome that is kept; duplicates of a larger one learn that the first one ran.
const OUTCOME_LIMIT_BYTES: usize = 32 << 10;

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

/// A decoded outcome.
#[derive(Debug)]
pub(crate) enum Replay {
    Service(ServiceAnswer),
    Frames(Vec<Bytes>),
}

/// Encodes an outcome, if it is text of a bounded size.
pub(crate) fn encode_outcome(answer: Option<&ServiceAnswer>, frames: &[Bytes]) -> Option<Arc<str>> {
    // What is no text is not kept, which a duplicate is told as such.
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
    (encoded.len() <= OUTCOME_LIMIT_BYTES).then(|| Arc::from(encoded))
}

/// Decodes an outcome.
pub(crate) fn decode_outcome(encoded: &str) -> Option<Replay> {
    match serde_json::from_str(encoded).ok()? {
        Outcome::Service {
            status,
            content_type,
            body,
        } => Some(Replay::Service(ServiceAnswer {
            status: StatusCode::from_u16(status).ok()?,
            content_type,
            body: Bytes::from(body),
        })),
        Outcome::Frames(frames) => Some(Replay::Frames(
            frames.into_iter().map(Bytes::from).collect(),
        )),
    }
}
