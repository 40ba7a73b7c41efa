//! Chat and text completions.

use std::fmt::Display;
use std::rc::Rc;

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use serde_json::{Map, Value, json as object};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{Refusal, RefusalReason, Request, RequestId, Verdict};
use verbenahinge_http::{HttpRequest, HttpResponse, json, read_json};

use super::admit::{self, Caller};
use super::answer::{CallerGuard, Parts, stream};
use super::{ErrorCode, Rejection};
use crate::api_error::{REQUEST_ID_HEADER, format_id, refused, unreadable_replay};
use crate::backend::{Replay, decode_outcome};
use crate::shell::{Call, EngineCall, Part, Shell};

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a text prompt that later prompts of the conversation share.
const PREFIX_BYTES: usize = 512;

/// Shape of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shape {
    Chat,
    Text,
}

impl Shape {
    const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    const fn object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }
}

/// Answers a completion.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    id: RequestId,
    caller: &Caller,
    mut request: HttpRequest,
    shape: Shape,
) -> Result<HttpResponse, Rejection> {
    let class = caller.class(&request)?;
    let key = admit::idempotency_key(&request)?;
    let once = admit::asks_once(&request) || key.is_some();
    let limit = shell.settings.max_body_bytes;
    let body: Map<String, Value> = read_json(&mut request, limit).await?;
    // A model that is missing is as unknown as the empty one.
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .unwrap_or_default();
    let Some((pool, _)) = caller.config.declaration.pool_for_model(model) else {
        let message = format!("unknown model {model:?}");
        return Err(Rejection::new(ErrorCode::UnknownModel, message));
    };
    let streaming = body.get("stream").and_then(Value::as_bool) == Some(true);
    let prompt = Prompt::read(&body, shape)?;
    let mut decided = Request::new(id, caller.account.clone(), class, pool.clone())
        .prompt(prompt.tokens, prompt.prefix_hash)
        .fingerprint(prompt.fingerprint);
    let keep_outcome = key.is_some();
    if once {
        decided = decided.not_repeatable(key);
    }
    let model = model.to_owned();
    admit::note(shell, caller, id, &decided);
    let call = Call::Engine(Rc::new(EngineCall {
        path: shape.path(),
        body,
        keep_outcome,
    }));
    let guard = CallerGuard::new(Rc::clone(shell), id);
    let mut receiver = shell.submit(decided, call);
    let first = receiver.recv().await;
    if let Some(Part::Refused(refusal)) = &first {
        let response = refused(id, refusal);
        let mut guard = guard;
        guard.ended();
        return Ok(response);
    }
    if let Some(Part::Replayed(outcome)) = &first {
        let mut guard = guard;
        guard.ended();
        let Some(Replay::Frames(frames)) = decode_outcome(outcome) else {
            return Ok(unreadable_replay(id));
        };
        return Ok(whole_answer(id, &model, shape, &frames));
    }
    let parts = Parts::new(receiver, guard, first);
    if streaming {
        return Ok(stream(id, parts));
    }
    Ok(gather(id, &model, shape, parts).await)
}

/// What the core needs to know of a prompt.
struct Prompt {
    tokens: u32,
    prefix_hash: u64,
    fingerprint: u64,
}

impl Prompt {
    fn read(body: &Map<String, Value>, shape: Shape) -> Result<Self, Rejection> {
        let (text, prefix) = match shape {
            Shape::Chat => chat_text(body)?,
            Shape::Text => completion_text(body)?,
        };
        let tokens = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .unwrap_or_default();
        Ok(Self {
            tokens,
            prefix_hash: hash64(prefix.as_bytes()),
            fingerprint: mix64(hash64(text.as_bytes()), hash64(model.as_bytes())),
        })
    }
}

/// Text of a chat and the part that its later turns begin with.
fn chat_text(body: &Map<String, Value>) -> Result<(String, String), Rejection> {
    let messages = body.get("messages").and_then(Value::as_array);
    let Some(messages) = messages.filter(|messages| !messages.is_empty()) else {
        let message = "a chat completion needs messages";
        return Err(Rejection::new(ErrorCode::MalformedRequest, message));
    };
    let mut text = String::new();
    let mut prefix = None;
    for message in messages {
        let content = &message["content"];
        match content.as_str() {
            Some(content) => text.push_str(content),
            None => text.push_str(&content.to_string()),
        }
        text.push('\n');
        if prefix.is_none() && message["role"] == "user" {
            prefix = Some(text.clone());
        }
    }
    let prefix = prefix.unwrap_or_else(|| text.clone());
    Ok((text, prefix))
}

fn completion_text(body: &Map<String, Value>) -> Result<(String, String), Rejection> {
    let text = match body.get("prompt") {
        Some(Value::String(prompt)) => prompt.clone(),
        Some(Value::Array(prompt)) => Value::from(prompt.clone()).to_string(),
        _ => {
            let message = "a completion needs a prompt";
            return Err(Rejection::new(ErrorCode::MalformedRequest, message));
        }
    };
    let end = (0..=PREFIX_BYTES.min(text.len()))
        .rev()
        .find(|&end| text.is_char_boundary(end))
        .unwrap_or(0);
    let prefix = text[..end].to_owned();
    Ok((text, prefix))
}

/// Collects the frames of an answer into one.
async fn gather(id: RequestId, model: &str, shape: Shape, mut parts: Parts) -> HttpResponse {
    let mut frames = Vec::new();
    loop {
        match parts.next().await {
            Some(Part::Frame(data)) => frames.push(data),
            Some(Part::Refused(refusal)) => return refused(id, &refusal),
            Some(Part::End) => return whole_answer(id, model, shape, &frames),
            Some(Part::Whole(_) | Part::Replayed(_)) | None => {
                return failed(id, &"the answer has no end");
            }
        }
    }
}

/// Answers a request whose answer cannot be shown to be whole.
fn failed(id: RequestId, cause: &dyn Display) -> HttpResponse {
    log::warn!("request {}: no whole answer: {cause}", format_id(id));
    let refusal = Refusal::new(RefusalReason::ServerFailed).verdict(Verdict::MayHaveRun);
    refused(id, &refusal)
}

fn whole_answer(id: RequestId, model: &str, shape: Shape, frames: &[Bytes]) -> HttpResponse {
    let mut text = String::new();
    let mut reason = Value::Null;
    for frame in frames {
        let chunk: Value = match serde_json::from_slice(frame) {
            Ok(chunk) => chunk,
            Err(error) => return failed(id, &error),
        };
        let choice = &chunk["choices"][0];
        let piece = match shape {
            Shape::Chat => &choice["delta"]["content"],
            Shape::Text => &choice["text"],
        };
        // The first and the last frame may carry no text.
        text.push_str(piece.as_str().unwrap_or_default());
        if !choice["finish_reason"].is_null() {
            reason = choice["finish_reason"].clone();
        }
    }
    let choice = match shape {
        Shape::Chat => object!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": reason,
        }),
        Shape::Text => object!({"index": 0, "text": text, "finish_reason": reason}),
    };
    let body = object!({
        "id": format_id(id),
        "object": shape.object(),
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": frames.len()},
    });
    with_id(json(200, &body), id)
}

/// Adds the request id to an answer.
pub(super) fn with_id(mut response: HttpResponse, id: RequestId) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&format_id(id)) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}
