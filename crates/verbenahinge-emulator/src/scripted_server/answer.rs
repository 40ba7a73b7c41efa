//! Bytes of answers.

use verbenahinge_platform::http_headers;

use super::request::WireRequest;

/// End of a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Makes an answer to a test that asks or sets something.
pub(super) fn control(body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn head_lines(status: &str, request: &WireRequest, lines: &str) -> String {
    let id = http_headers::REQUEST_ID;
    format!(
        "HTTP/1.1 {status}\r\n{id}: {}\r\n{lines}\r\n",
        request.request_id
    )
}

fn signature(request: &WireRequest) -> String {
    format!(
        "{}: signed-{}\r\n",
        http_headers::SIGNATURE,
        request.request_id
    )
}

/// Makes a whole answer to a plain request; its body names the request.
pub(super) fn whole(request: &WireRequest, load: [u32; 3]) -> Vec<u8> {
    let body = format!("answer to {}", request.request_id);
    let [running, waiting, slots] = load;
    let lines = format!(
        "{}{}: {running},{waiting},{slots}\r\ncontent-length: {}\r\n",
        signature(request),
        http_headers::LOAD,
        body.len(),
    );
    format!("{}{body}", head_lines("200 OK", request, &lines)).into_bytes()
}

/// Makes an answer whose end only the end of the connection shows.
pub(super) fn unframed(request: &WireRequest) -> Vec<u8> {
    let lines = format!("{}connection: close\r\n", signature(request));
    format!("{}half of an ans", head_lines("200 OK", request, &lines)).into_bytes()
}

/// Makes an answer that says that the request did not run.
pub(super) fn rejected(request: &WireRequest) -> Vec<u8> {
    let lines = format!("{}: 1\r\ncontent-length: 0\r\n", http_headers::NOT_RUN);
    head_lines("503 Service Unavailable", request, &lines).into_bytes()
}

/// Makes an answer to a request that is meant for another server.
pub(super) fn misdirected(request: &WireRequest) -> Vec<u8> {
    head_lines("421 Misdirected Request", request, "content-length: 0\r\n").into_bytes()
}

/// Makes an answer that says that the request ran and failed.
pub(super) fn failed(request: &WireRequest) -> Vec<u8> {
    let lines = format!("{}content-length: 0\r\n", signature(request));
    head_lines("500 Internal Server Error", request, &lines).into_bytes()
}

/// Makes the head of a stream.
pub(super) fn stream_head(request: &WireRequest) -> Vec<u8> {
    let lines = format!(
        "{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        signature(request),
    );
    head_lines("200 OK", request, &lines).into_bytes()
}

/// Makes one event.
pub(super) fn event(id: u64, server: &str) -> Vec<u8> {
    format!("id: {id}\ndata: event {id} of {server}\n\n").into_bytes()
}

/// Frames bytes as a chunk.
pub(super) fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
    framed.extend_from_slice(bytes);
    framed.extend_from_slice(b"\r\n");
    framed
}
