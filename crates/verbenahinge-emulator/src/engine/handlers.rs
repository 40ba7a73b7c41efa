//! HTTP API of an engine.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodyStream;
use actix_http::{Response, StatusCode, header};
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use serde::Deserialize;
use serde_json::{Value, json as object};
use verbenahinge_http::{HttpRequest, HttpResponse, empty, header_text, json, read_json, text};

use super::faults::EngineFaults;
use super::generation::{Endpoint, GenerationRequest, generate};
use super::state::EngineState;
use super::stream::StreamState;

const MAX_BODY_BYTES: usize = 8 << 20;

/// Sleep interval of a silenced reader, which never sends anything again.
const SILENCED_POLL_INTERVAL: Duration = Duration::from_mins(5);

#[derive(Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: u64,
    #[serde(default)]
    priority: u8,
}

pub(super) async fn handle(state: Rc<EngineState>, mut request: HttpRequest) -> HttpResponse {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    match (method.as_str(), path.as_str()) {
        ("POST", "/v1/chat/completions") => complete(state, &mut request, Endpoint::Chat).await,
        ("POST", "/v1/completions") => complete(state, &mut request, Endpoint::Text).await,
        ("GET", "/load") => json(200, &state.load_report()),
        ("GET", "/ran") => json(200, &*state.records.borrow()),
        ("POST", "/faults") => set_faults(&state, &mut request).await,
        ("GET", path) if path.starts_with("/v1/streams/") => resume_stream(&state, &request),
        ("DELETE", path) if path.starts_with("/v1/streams/") => cancel_stream(&state, path),
        _ => empty(404),
    }
}

async fn set_faults(state: &EngineState, request: &mut HttpRequest) -> HttpResponse {
    match read_json::<EngineFaults>(request, MAX_BODY_BYTES).await {
        Ok(faults) => {
            state.set_faults(faults);
            empty(204)
        }
        Err(error) => text(400, error.to_string()),
    }
}

async fn complete(
    state: Rc<EngineState>,
    request: &mut HttpRequest,
    endpoint: Endpoint,
) -> HttpResponse {
    let id = header_text(request, "x-request-id")
        .unwrap_or_default()
        .to_owned();
    let first_index = header_text(request, "x-continue-from")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let stream_id = header_text(request, "x-stream-id")
        .unwrap_or(&id)
        .to_owned();
    let body = match read_json::<CompletionRequest>(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text(400, error.to_string()),
    };
    let generation_request = GenerationRequest {
        request_id: id,
        stream_id: stream_id.clone(),
        prompt: prompt_text(&body),
        model: body.model,
        max_tokens: body.max_tokens,
        priority: body.priority,
        endpoint,
    };
    let stream = Rc::new(StreamState::new(first_index));
    state
        .streams
        .borrow_mut()
        .insert(stream_id, Rc::clone(&stream));
    actix_rt::spawn(generate(
        Rc::clone(&state),
        generation_request,
        Rc::clone(&stream),
    ));
    stream_response(&state, stream, first_index)
}

fn prompt_text(body: &CompletionRequest) -> String {
    let mut prompt = match &body.prompt {
        Some(Value::String(prompt)) => prompt.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    };
    for message in &body.messages {
        let content = &message["content"];
        prompt.push_str(content.as_str().unwrap_or_default());
        prompt.push('\n');
    }
    prompt
}

fn stream_id_in(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or_default()
}

fn resume_stream(state: &Rc<EngineState>, request: &HttpRequest) -> HttpResponse {
    let found = state
        .streams
        .borrow()
        .get(stream_id_in(request.path()))
        .map(Rc::clone);
    let Some(stream) = found else {
        return json(404, &object!({"error": {"code": "unknown_stream"}}));
    };
    let first_index = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("from="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    stream_response(state, stream, first_index)
}

fn cancel_stream(state: &EngineState, path: &str) -> HttpResponse {
    match state.streams.borrow_mut().remove(stream_id_in(path)) {
        Some(stream) => {
            stream.cancel();
            empty(204)
        }
        None => empty(404),
    }
}

fn stream_response(
    state: &Rc<EngineState>,
    stream: Rc<StreamState>,
    first_index: u64,
) -> HttpResponse {
    let reader = StreamReader {
        state: Rc::clone(state),
        stream,
        next_index: first_index,
        silence_epoch: state.silence_epoch.get(),
        ended: false,
    };
    let body: Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>>>> =
        Box::pin(unfold(reader, StreamReader::read));
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .body(BodyStream::new(body))
        .map_into_boxed_body()
}

struct StreamReader {
    state: Rc<EngineState>,
    stream: Rc<StreamState>,
    next_index: u64,
    silence_epoch: u64,
    ended: bool,
}

impl StreamReader {
    async fn read(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        loop {
            if self.ended {
                return None;
            }
            if self.silence_epoch != self.state.silence_epoch.get() {
                actix_rt::time::sleep(SILENCED_POLL_INTERVAL).await;
                continue;
            }
            let stream = Rc::clone(&self.stream);
            let changed = stream.changed.notified();
            if let Some(frame) = self.stream.frame(self.next_index) {
                let bytes = self.apply_faults(frame);
                self.next_index += 1;
                return Some((Ok(bytes), self));
            }
            if self.stream.finished.get() {
                self.ended = true;
                return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
            }
            changed.await;
        }
    }

    fn apply_faults(&self, frame: String) -> Bytes {
        let faults = self.state.faults.get();
        if faults.double_frames {
            return Bytes::from(frame.repeat(2));
        }
        if faults.cut_frames {
            let end = frame.trim_end().len() - 1;
            return Bytes::from(format!("{}\n\n", &frame[..end]));
        }
        if faults.foreign_frames {
            let foreign_frame =
                "id: ffffffffffffffffffffffffffffffff:0\ndata: {\"foreign\":true}\n\n";
            return Bytes::from(format!("{foreign_frame}{frame}"));
        }
        Bytes::from(frame)
    }
}
