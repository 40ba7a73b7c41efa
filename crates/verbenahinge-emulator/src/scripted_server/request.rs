//! Reading and parsing of requests.

use std::io;

use hyper::header::HeaderName;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use verbenahinge_platform::http_headers;

use super::{ExecutedRequest, ServerFault};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Request with the headers that the server uses.
#[derive(Clone, Debug, Default)]
pub(super) struct ParsedRequest {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) request_id: String,
    pub(super) expected_server: String,
    pub(super) body: Vec<u8>,
    pub(super) is_stream: bool,
    pub(super) last_event: u64,
    /// Identifiers of the prompt parts, in order.
    pub(super) prompt_parts: Vec<u64>,
    /// Source and handle of the run that the request continues; empty if it begins one.
    pub(super) moved_from: String,
    account: String,
    api_key: String,
    deadline_ms: u64,
}

impl ParsedRequest {
    /// Creates the record of this request, without a complete response.
    pub(super) fn to_executed_request(&self) -> ExecutedRequest {
        ExecutedRequest {
            request_id: self.request_id.clone(),
            target: format!("{} {}", self.method, self.target),
            body: String::from_utf8_lossy(&self.body).into_owned(),
            account: self.account.clone(),
            api_key: self.api_key.clone(),
            deadline_ms: self.deadline_ms,
            last_event: self.last_event,
            moved_from: self.moved_from.clone(),
            is_complete: false,
            was_closed: false,
            endless_bytes: 0,
            arrived_ms: 0,
            fault: ServerFault::None,
            connection: 0,
        }
    }
}

/// Reads the next request, or returns `None` if the connection is closed.
///
/// Bytes after the request stay in `buffer`.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ParsedRequest>> {
    loop {
        if let Some((request, request_length)) = parse_request(buffer)? {
            buffer.drain(..request_length);
            return Ok(Some(request));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse_request(buffer: &[u8]) -> io::Result<Option<(ParsedRequest, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_length) = status else {
        return Ok(None);
    };
    let header_value = |name: &HeaderName| {
        let mut found = String::new();
        for header in parsed.headers.iter() {
            if header.name.eq_ignore_ascii_case(name.as_str()) {
                found = String::from_utf8_lossy(header.value).into_owned();
            }
        }
        found
    };
    let body_length: usize = header_value(&hyper::header::CONTENT_LENGTH)
        .parse()
        .unwrap_or(0);
    let Some(body) = buffer.get(head_length..head_length + body_length) else {
        return Ok(None);
    };
    let request = ParsedRequest {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        request_id: header_value(&http_headers::REQUEST_ID),
        expected_server: header_value(&http_headers::EXPECTED_SERVER),
        body: body.to_vec(),
        is_stream: !header_value(&http_headers::TOKEN_COUNTS).is_empty(),
        last_event: header_value(&http_headers::LAST_EVENT_ID)
            .parse()
            .unwrap_or(0),
        prompt_parts: parse_prompt_parts(&header_value(&http_headers::PROMPT_PARTS)),
        moved_from: header_value(&http_headers::MOVED_FROM),
        account: header_value(&http_headers::ACCOUNT),
        api_key: header_value(&http_headers::API_KEY),
        deadline_ms: header_value(&http_headers::DEADLINE_MS)
            .parse()
            .unwrap_or(0),
    };
    Ok(Some((request, head_length + body_length)))
}

fn parse_prompt_parts(text: &str) -> Vec<u64> {
    let mut ids = Vec::new();
    for part in text.split(',') {
        let id = part.trim().split(':').next().unwrap_or("");
        ids.extend(u64::from_str_radix(id, 16));
    }
    ids
}
