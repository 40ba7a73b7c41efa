//! Requests as they arrive on the socket.

use std::io;

use hyper::header::HeaderName;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use verbenahinge_platform::http_headers;

use super::Run;

/// Headers of one request at most.
const HEADER_LIMIT: usize = 64;

/// One request.
#[derive(Clone, Debug, Default)]
pub(super) struct WireRequest {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) request_id: String,
    pub(super) expected_server: String,
    pub(super) body: Vec<u8>,
    pub(super) is_stream: bool,
    pub(super) last_event: u64,
    account: String,
    api_key: String,
    deadline_ms: u64,
}

impl WireRequest {
    /// Makes the record of a run.
    pub(super) fn to_run(&self) -> Run {
        Run {
            request_id: self.request_id.clone(),
            target: format!("{} {}", self.method, self.target),
            body: String::from_utf8_lossy(&self.body).into_owned(),
            account: self.account.clone(),
            api_key: self.api_key.clone(),
            deadline_ms: self.deadline_ms,
            last_event: self.last_event,
            is_complete: false,
        }
    }
}

/// Reads one request; `None` at the end of the connection.
pub(super) async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<WireRequest>> {
    loop {
        if let Some((request, length)) = parse(buffer)? {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<(WireRequest, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_length) = status else {
        return Ok(None);
    };
    let text = |name: &HeaderName| {
        let mut found = String::new();
        for header in parsed.headers.iter() {
            if header.name.eq_ignore_ascii_case(name.as_str()) {
                found = String::from_utf8_lossy(header.value).into_owned();
            }
        }
        found
    };
    let body_length: usize = text(&hyper::header::CONTENT_LENGTH).parse().unwrap_or(0);
    let Some(body) = buffer.get(head_length..head_length + body_length) else {
        return Ok(None);
    };
    let request = WireRequest {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        request_id: text(&http_headers::REQUEST_ID),
        expected_server: text(&http_headers::EXPECTED_SERVER),
        body: body.to_vec(),
        is_stream: !text(&http_headers::TOKEN_COUNTS).is_empty(),
        last_event: text(&http_headers::LAST_EVENT_ID).parse().unwrap_or(0),
        account: text(&http_headers::ACCOUNT),
        api_key: text(&http_headers::API_KEY),
        deadline_ms: text(&http_headers::DEADLINE_MS).parse().unwrap_or(0),
    };
    Ok(Some((request, head_length + body_length)))
}
