//! Sends completions to model engines and reads their event streams.

use std::rc::Rc;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, header};
use serde_json::Value;
use verbenahinge_core::{DispatchMode, Event, FailureKind, Frame, RequestId};

use super::{AttemptSpec, classify_build_error, classify_error, stream_id};
use crate::api_error::{REQUEST_ID_HEADER, format_request_id};
use crate::shell::{EngineCall, Shell};

/// Data of the event that marks the end of an answer.
const END_MARKER: &str = "[DONE]";

/// Runs one attempt of a completion and reports its result to the core.
pub(crate) async fn run_completion(shell: Rc<Shell>, spec: AttemptSpec, call: Rc<EngineCall>) {
    let request = spec.dispatch.request;
    let attempt = spec.dispatch.attempt;
    match exchange(&shell, &spec, &call).await {
        Ok(()) => {
            let outcome = shell.encoded_outcome(request);
            shell.handle(Event::Finished {
                request,
                attempt,
                outcome,
            });
        }
        Err(kind) => shell.handle(Event::Failed {
            request,
            attempt,
            kind,
        }),
    }
}

async fn exchange(
    shell: &Rc<Shell>,
    spec: &AttemptSpec,
    call: &EngineCall,
) -> Result<(), FailureKind> {
    let response = send(shell, spec, call).await?;
    match response.status().as_u16() {
        200 => {}
        500..=599 => return Err(FailureKind::ServerError),
        _ => return Err(FailureKind::Rejected),
    }
    let request = spec.dispatch.request;
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Err(FailureKind::ConnectionLost);
        };
        if event.data == END_MARKER {
            return Ok(());
        }
        let Some(seq) = parse_frame_seq(&event.id, request) else {
            continue;
        };
        let frame = Frame {
            request,
            attempt: spec.dispatch.attempt,
            seq,
            tokens: 1,
        };
        shell.handle_frame(frame, &Bytes::from(event.data));
    }
    Err(FailureKind::ConnectionLost)
}

async fn send(
    shell: &Rc<Shell>,
    spec: &AttemptSpec,
    call: &EngineCall,
) -> Result<Response<Incoming>, FailureKind> {
    let request = build_request(spec, call).map_err(|error| classify_build_error(&error))?;
    let sent = shell.backend.client.send(request).await;
    sent.map_err(|error| classify_error(&error))
}

fn build_request(
    spec: &AttemptSpec,
    call: &EngineCall,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let request = spec.dispatch.request;
    let stream = stream_id(request, spec.stream_attempt);
    let address = spec.address;
    if let DispatchMode::Resume { delivered, .. } = spec.dispatch.mode {
        let url = format!("http://{address}/v1/streams/{stream}?from={delivered}");
        return Request::get(url).body(Full::default());
    }
    let mut body = call.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert("priority".to_owned(), Value::from(spec.dispatch.tier));
    Request::post(format!("http://{address}{}", call.path))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, format_request_id(request))
        .header("x-stream-id", stream)
        .header("x-continue-from", delivered(spec.dispatch.mode))
        .body(Full::new(Value::Object(body).to_string().into()))
}

const fn delivered(mode: DispatchMode) -> u64 {
    match mode {
        DispatchMode::Fresh => 0,
        DispatchMode::Continue { delivered } | DispatchMode::Resume { delivered, .. } => delivered,
    }
}

/// Parses an event ID of the form `<request>:<seq>` and returns the sequence number if the event
/// belongs to the request.
fn parse_frame_seq(id: &str, request: RequestId) -> Option<u64> {
    let (frame_request, seq) = id.split_once(':')?;
    if RequestId::from_str_radix(frame_request, 16).ok()? != request {
        return None;
    }
    seq.parse().ok()
}
