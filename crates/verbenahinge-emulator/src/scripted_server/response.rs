//! Bytes of HTTP responses.

use verbenahinge_platform::http_headers;

use super::request::ParsedRequest;
use super::{ServerFault, ServerFaults};

/// Final chunk of a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Response to a request that sets faults or reads records.
pub(super) fn control(body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn response_head(status: &str, request: &ParsedRequest, headers: &str) -> String {
    let id = http_headers::REQUEST_ID;
    format!(
        "HTTP/1.1 {status}\r\n{id}: {}\r\n{headers}\r\n",
        request.request_id
    )
}

fn signature_header(request: &ParsedRequest) -> String {
    format!(
        "{}: signed-{}\r\n",
        http_headers::SIGNATURE,
        request.request_id
    )
}

/// Header line with a rate limit; empty if there is none.
fn limit_header(limit_per_s: f64) -> String {
    if limit_per_s > 0.0 {
        format!("{}: {limit_per_s}\r\n", http_headers::RATE_LIMIT)
    } else {
        String::new()
    }
}

/// Complete response whose body contains the request ID.
pub(super) fn complete(request: &ParsedRequest, load: [u32; 3], faults: &ServerFaults) -> Vec<u8> {
    let body = format!("answer to {}", request.request_id);
    let [running, waiting, slots] = load;
    let headers = format!(
        "{}{}{}: {running},{waiting},{slots}\r\n{}",
        signature_header(request),
        limit_header(faults.limit_per_s),
        http_headers::LOAD,
        faults.framing.plain_headers(body.len()),
    );
    let status = match faults.status {
        0 | 200 => "200 OK".to_owned(),
        status => format!("{status} Status"),
    };
    let mut bytes = response_head(&status, request, &headers).into_bytes();
    if request.method != "HEAD" && !matches!(faults.status, 204 | 304) {
        bytes.extend_from_slice(body.as_bytes());
    }
    bytes
}

/// Response without a length, whose body ends only when the connection closes.
pub(super) fn unframed(request: &ParsedRequest) -> Vec<u8> {
    let headers = format!("{}connection: close\r\n", signature_header(request));
    format!(
        "{}half of an ans",
        response_head("200 OK", request, &headers)
    )
    .into_bytes()
}

/// Start of a response whose head, body or first event does not end.
pub(super) fn endless_start(request: &ParsedRequest, fault: ServerFault) -> Vec<u8> {
    let signature = signature_header(request);
    let (headers, start) = match fault {
        ServerFault::EndlessEvent => {
            let headers = format!("{signature}content-type: text/event-stream\r\n");
            (headers, "id: 1\ndata: ")
        }
        _ => (signature, ""),
    };
    let mut head = response_head("200 OK", request, &headers);
    if fault == ServerFault::EndlessHead {
        // The blank line that ends the head is left out.
        head.truncate(head.len() - 2);
        head.push_str("endless: ");
    }
    format!("{head}{start}").into_bytes()
}

/// Response that states that the request was not executed.
pub(super) fn not_executed(request: &ParsedRequest) -> Vec<u8> {
    let headers = format!("{}: 1\r\ncontent-length: 0\r\n", http_headers::NOT_RUN);
    response_head("503 Service Unavailable", request, &headers).into_bytes()
}

/// Response to a request that is addressed to another server.
pub(super) fn misdirected(request: &ParsedRequest) -> Vec<u8> {
    response_head("421 Misdirected Request", request, "content-length: 0\r\n").into_bytes()
}

/// Response to a request that was executed and failed.
pub(super) fn failed(request: &ParsedRequest) -> Vec<u8> {
    let headers = format!("{}content-length: 0\r\n", signature_header(request));
    response_head("500 Internal Server Error", request, &headers).into_bytes()
}

/// Status line and headers of an event stream.
pub(super) fn stream_head(request: &ParsedRequest, faults: &ServerFaults) -> Vec<u8> {
    let headers = format!(
        "{}{}content-type: text/event-stream\r\n{}",
        signature_header(request),
        limit_header(faults.limit_per_s),
        faults.framing.stream_headers(),
    );
    response_head("200 OK", request, &headers).into_bytes()
}

/// Event of a stream.
pub(super) fn event(id: u64, server: &str) -> Vec<u8> {
    format!("id: {id}\ndata: event {id} of {server}\n\n").into_bytes()
}

/// Encodes bytes as a chunk of a chunked body.
pub(super) fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
    framed.extend_from_slice(bytes);
    framed.extend_from_slice(b"\r\n");
    framed
}
