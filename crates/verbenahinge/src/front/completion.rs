//! Handler for chat and text completions.

use std::fmt::Display;
use std::rc::Rc;

use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use serde_json::{Map, Value, json as object};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{Refusal, RefusalReason, Request, RequestId, Verdict};
use verbenahinge_http::{HttpRequest, HttpResponse, json};

use super::answer::{AnswerParts, DisconnectGuard, stream_response};
use super::request_headers::{self, Caller};
use super::{ErrorCode, Rejection, body};
use crate::api_error::{
    REQUEST_ID_HEADER, format_request_id, refusal_response, unreadable_outcome_response,
};
use crate::backend::{DecodedOutcome, decode_outcome};
use crate::shell::{AnswerPart, BackendCall, EngineCall, Shell};

/// Assumed number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum length of the text prompt prefix that later prompts of the conversation are assumed to
/// share.
const MAX_PREFIX_BYTES: usize = 512;

/// Kind of completion, which determines the path and the JSON format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CompletionKind {
    Chat,
    Text,
}

impl CompletionKind {
    const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    const fn object_type(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }
}

/// Handles a completion request.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    id: RequestId,
    caller: &Caller,
    mut request: HttpRequest,
    kind: CompletionKind,
) -> Result<HttpResponse, Rejection> {
    let class = caller.class(&request)?;
    let key = request_headers::idempotency_key(&request)?;
    let at_most_once = request_headers::marked_not_repeatable(&request) || key.is_some();
    let (body, hold) = body::receive(shell, caller, &mut request).await?;
    let body: Map<String, Value> = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("malformed JSON: {error}");
        Rejection::new(ErrorCode::MalformedRequest, message)
    })?;
    // A missing model is reported as an unknown model with an empty name.
    let model = body
        .get("model")
        .and_then(Value::as_str)
        .unwrap_or_default();
    let Some((pool, _)) = caller.config.declaration.pool_for_model(model) else {
        let message = format!("unknown model {model:?}");
        return Err(Rejection::new(ErrorCode::UnknownModel, message));
    };
    let streaming = body.get("stream").and_then(Value::as_bool) == Some(true);
    let prompt = PromptMetadata::parse(&body, kind)?;
    let mut core_request = Request::new(id, caller.account.clone(), class, pool.clone())
        .prompt(prompt.tokens, prompt.prefix_hash)
        .fingerprint(prompt.fingerprint);
    let keep_outcome = key.is_some();
    if at_most_once {
        core_request = core_request.not_repeatable(key);
    }
    let model = model.to_owned();
    request_headers::record_request(shell, caller, id, &core_request);
    let call = BackendCall::Engine(Rc::new(EngineCall {
        path: kind.path(),
        body,
        _hold: hold,
        keep_outcome,
    }));
    let guard = DisconnectGuard::new(Rc::clone(shell), id);
    let mut receiver = shell.submit(core_request, call);
    let first = receiver.recv().await;
    if let Some(AnswerPart::Refused(refusal)) = &first {
        let response = refusal_response(id, refusal);
        let mut guard = guard;
        guard.mark_ended();
        return Ok(response);
    }
    if let Some(AnswerPart::Replayed(outcome)) = &first {
        let mut guard = guard;
        guard.mark_ended();
        let Some(DecodedOutcome::Frames(frames)) = decode_outcome(outcome) else {
            return Ok(unreadable_outcome_response(id));
        };
        return Ok(completion_response(id, &model, kind, &frames));
    }
    let parts = AnswerParts::new(receiver, guard, first);
    if streaming {
        return Ok(stream_response(id, parts));
    }
    Ok(collect_answer(id, &model, kind, parts).await)
}

/// Properties of a prompt that routing decisions depend on.
struct PromptMetadata {
    tokens: u32,
    prefix_hash: u64,
    fingerprint: u64,
}

impl PromptMetadata {
    fn parse(body: &Map<String, Value>, kind: CompletionKind) -> Result<Self, Rejection> {
        let (text, prefix) = match kind {
            CompletionKind::Chat => chat_prompt(body)?,
            CompletionKind::Text => text_prompt(body)?,
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

/// Returns the text of a chat and its prefix through the first user message, which later turns of
/// the conversation share.
fn chat_prompt(body: &Map<String, Value>) -> Result<(String, String), Rejection> {
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

fn text_prompt(body: &Map<String, Value>) -> Result<(String, String), Rejection> {
    let text = match body.get("prompt") {
        Some(Value::String(prompt)) => prompt.clone(),
        Some(Value::Array(prompt)) => Value::from(prompt.clone()).to_string(),
        _ => {
            let message = "a completion needs a prompt";
            return Err(Rejection::new(ErrorCode::MalformedRequest, message));
        }
    };
    let end = (0..=MAX_PREFIX_BYTES.min(text.len()))
        .rev()
        .find(|&end| text.is_char_boundary(end))
        .unwrap_or(0);
    let prefix = text[..end].to_owned();
    Ok((text, prefix))
}

/// Receives all parts of an answer and returns it as one response.
async fn collect_answer(
    id: RequestId,
    model: &str,
    kind: CompletionKind,
    mut parts: AnswerParts,
) -> HttpResponse {
    let mut frames = Vec::new();
    loop {
        match parts.next().await {
            Some(AnswerPart::Frame(data)) => frames.push(data),
            Some(AnswerPart::Refused(refusal)) => return refusal_response(id, &refusal),
            Some(AnswerPart::End) => return completion_response(id, model, kind, &frames),
            Some(AnswerPart::Whole(_) | AnswerPart::Replayed(_)) | None => {
                return incomplete_answer_response(id, &"the answer ended without its end marker");
            }
        }
    }
}

/// Creates the response for an answer that is incomplete or cannot be parsed.
fn incomplete_answer_response(id: RequestId, cause: &dyn Display) -> HttpResponse {
    log::warn!(
        "request {}: answer incomplete or unreadable: {cause}",
        format_request_id(id)
    );
    let refusal = Refusal::new(RefusalReason::ServerFailed).verdict(Verdict::MayHaveRun);
    refusal_response(id, &refusal)
}

fn completion_response(
    id: RequestId,
    model: &str,
    kind: CompletionKind,
    frames: &[Bytes],
) -> HttpResponse {
    let mut text = String::new();
    let mut finish_reason = Value::Null;
    for frame in frames {
        let chunk: Value = match serde_json::from_slice(frame) {
            Ok(chunk) => chunk,
            Err(error) => return incomplete_answer_response(id, &error),
        };
        let choice = &chunk["choices"][0];
        let piece = match kind {
            CompletionKind::Chat => &choice["delta"]["content"],
            CompletionKind::Text => &choice["text"],
        };
        // The first and the last frame may carry no text.
        text.push_str(piece.as_str().unwrap_or_default());
        if !choice["finish_reason"].is_null() {
            finish_reason = choice["finish_reason"].clone();
        }
    }
    let choice = match kind {
        CompletionKind::Chat => object!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }),
        CompletionKind::Text => object!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    let body = object!({
        "id": format_request_id(id),
        "object": kind.object_type(),
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": frames.len()},
    });
    with_request_id(json(200, &body), id)
}

/// Adds the request ID header to a response.
pub(super) fn with_request_id(mut response: HttpResponse, id: RequestId) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&format_request_id(id)) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}
