//! Generation of a completion, independent of the connections that read it.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use super::completion::Completion;
use super::state::{EngineState, RunRecord};
use super::stream::StreamState;

/// Time for which a stream can be resumed after generation has ended, unless it was cancelled.
const STREAM_RETENTION: Duration = Duration::from_secs(30);

/// Endpoint of a request, which determines the format of the response frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Completion request with the ID of the stream that receives its tokens.
pub(super) struct GenerationRequest {
    pub(super) request_id: String,
    pub(super) stream_id: String,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    pub(super) priority: u8,
    pub(super) endpoint: Endpoint,
}

/// Waits for a slot, generates the completion into `stream`, and removes the stream after
/// [`STREAM_RETENTION`].
pub(super) async fn generate(
    state: Rc<EngineState>,
    request: GenerationRequest,
    stream: Rc<StreamState>,
) {
    state.acquire_slot(request.priority).await;
    crash_if_triggered(&state, &request);
    let record_index = start_record(&state, &request);
    let prompt_tokens = request.prompt.split_whitespace().count() as u64;
    let prefill_ms = state.options.prefill_ms_per_1000 * prompt_tokens / 1000;
    sleep_ms(prefill_ms).await;
    let completion = Completion::new(&request.prompt, request.max_tokens);
    for index in stream.first_index..completion.token_count() {
        if stream.cancelled.get() {
            break;
        }
        sleep_ms(state.options.token_ms * state.faults.get().slow_factor.max(1)).await;
        stream.push(frame(&request, index, &completion));
        state.records.borrow_mut()[record_index].tokens += 1;
    }
    if !stream.cancelled.get() {
        state.records.borrow_mut()[record_index].finished = true;
    }
    stream.finish();
    state.release_slot();
    actix_rt::time::sleep(STREAM_RETENTION).await;
    state.streams.borrow_mut().remove(&request.stream_id);
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }
}

fn crash_if_triggered(state: &EngineState, request: &GenerationRequest) {
    let trigger = state.options.crash_on.as_ref();
    if trigger.is_some_and(|text| request.prompt.contains(text)) {
        std::process::exit(70);
    }
}

fn start_record(state: &EngineState, request: &GenerationRequest) -> usize {
    let mut records = state.records.borrow_mut();
    records.push(RunRecord {
        request: request.request_id.clone(),
        prompt_tokens: request.prompt.split_whitespace().count() as u64,
        tokens: 0,
        finished: false,
    });
    records.len() - 1
}

fn frame(request: &GenerationRequest, index: u64, completion: &Completion) -> String {
    let token = completion.token(index);
    let is_last = index + 1 == completion.token_count();
    let finish_reason = is_last.then_some("stop");
    let chunk = match request.endpoint {
        Endpoint::Chat => json!({
            "id": request.request_id,
            "object": "chat.completion.chunk",
            "model": request.model,
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish_reason}],
        }),
        Endpoint::Text => json!({
            "id": request.request_id,
            "object": "text_completion",
            "model": request.model,
            "choices": [{"index": 0, "text": token, "finish_reason": finish_reason}],
        }),
    };
    format!("id: {}:{index}\ndata: {chunk}\n\n", request.request_id)
}
