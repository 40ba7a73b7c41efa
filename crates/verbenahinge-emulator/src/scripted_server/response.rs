//! Bytes of HTTP responses.

use hyper::header::RETRY_AFTER;
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

/// Response to a call that moves a request.
pub(super) fn with_status(status: u16, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Builds the responses to one request.
#[derive(Clone, Copy)]
pub(super) struct Responder<'a> {
    pub(super) request: &'a ParsedRequest,
    pub(super) faults: ServerFaults,
}

impl Responder<'_> {
    fn head(self, status: &str, headers: &str) -> String {
        let id = http_headers::REQUEST_ID;
        self.anonymous_head(
            status,
            &format!("{id}: {}\r\n{headers}", self.request.request_id),
        )
    }

    /// Head of a response that names no request.
    fn anonymous_head(self, status: &str, headers: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\n{}{}{headers}\r\n",
            self.leaving_header(),
            self.brittle_header(),
        )
    }

    fn signature_header(self) -> String {
        format!(
            "{}: signed-{}\r\n",
            http_headers::SIGNATURE,
            self.request.request_id
        )
    }

    /// Header line of a server that leaves; empty if it stays.
    fn leaving_header(self) -> String {
        if self.faults.is_leaving {
            format!("{}: 1\r\n", http_headers::LEAVING)
        } else {
            String::new()
        }
    }

    /// Header line of a brittle server; empty if it is not.
    fn brittle_header(self) -> String {
        match self.faults.max_rejections_per_s {
            0 => String::new(),
            number => format!("{}: {number}\r\n", http_headers::BRITTLE),
        }
    }

    /// Header line with a rate limit; empty if there is none.
    fn limit_header(self) -> String {
        let limit_per_s = self.faults.limit_per_s;
        if limit_per_s > 0.0 {
            format!("{}: {limit_per_s}\r\n", http_headers::RATE_LIMIT)
        } else {
            String::new()
        }
    }

    /// Header line with the idle timeout of the connection; empty if there is none.
    fn keep_alive_header(self) -> String {
        match self.faults.keep_alive_s {
            0 => String::new(),
            seconds => format!("keep-alive: timeout={seconds}\r\n"),
        }
    }

    /// Header line with the time that the client is asked to wait; empty if there is none.
    fn retry_after_header(self) -> String {
        let retry_after_s = self.faults.retry_after_s;
        if retry_after_s > 0.0 {
            format!("{RETRY_AFTER}: {retry_after_s}\r\n")
        } else {
            String::new()
        }
    }

    /// Complete response whose body contains the request ID.
    pub(super) fn complete(self, load: [u32; 3]) -> Vec<u8> {
        let body = format!("answer to {}", self.request.request_id);
        let [running, waiting, slots] = load;
        let headers = format!(
            "{}{}{}{}: {running},{waiting},{slots}\r\n{}",
            self.signature_header(),
            self.limit_header(),
            self.keep_alive_header(),
            http_headers::LOAD,
            self.faults.framing.plain_headers(body.len()),
        );
        let status = match self.faults.status {
            0 | 200 => "200 OK".to_owned(),
            status => format!("{status} Status"),
        };
        let mut bytes = self.head(&status, &headers).into_bytes();
        if self.request.method != "HEAD" && !matches!(self.faults.status, 204 | 304) {
            bytes.extend_from_slice(&self.faults.framing.encode_plain(body.as_bytes()));
        }
        bytes
    }

    /// Complete stream of events, after the last one that the client has received.
    pub(super) fn complete_stream(self, server: &str) -> Vec<u8> {
        let mut bytes = self.stream_head();
        for id in self.request.last_event + 1..=self.faults.events {
            bytes.extend_from_slice(&self.faults.framing.encode(&event(id, server)));
        }
        bytes.extend_from_slice(self.faults.framing.stream_end());
        bytes
    }

    /// Response without a length, whose body ends only when the connection closes.
    pub(super) fn unframed(self) -> Vec<u8> {
        let headers = format!("{}connection: close\r\n", self.signature_header());
        format!("{}half of an ans", self.head("200 OK", &headers)).into_bytes()
    }

    /// Start of a response whose head, body or first event does not end.
    pub(super) fn endless_start(self, fault: ServerFault) -> Vec<u8> {
        let signature = self.signature_header();
        let (headers, start) = match fault {
            ServerFault::EndlessInterim => return Vec::new(),
            ServerFault::EndlessEvent => {
                let headers = format!("{signature}content-type: text/event-stream\r\n");
                (headers, "id: 1\ndata: ")
            }
            ServerFault::EndlessChunkSize => {
                (format!("{signature}transfer-encoding: chunked\r\n"), "")
            }
            _ => (signature, ""),
        };
        let mut head = self.head("200 OK", &headers);
        if fault == ServerFault::EndlessHead {
            // The blank line that ends the head is left out.
            head.truncate(head.len() - 2);
            head.push_str("endless: ");
        }
        format!("{head}{start}").into_bytes()
    }

    /// Response that states that the request was not executed.
    pub(super) fn not_executed(self) -> Vec<u8> {
        let headers = format!(
            "{}: 1\r\n{}content-length: 0\r\n",
            http_headers::NOT_RUN,
            self.retry_after_header(),
        );
        let status = "503 Service Unavailable";
        let head = if self.faults.are_rejections_anonymous {
            self.anonymous_head(status, &headers)
        } else {
            self.head(status, &headers)
        };
        head.into_bytes()
    }

    /// Response to a request that is addressed to another server.
    pub(super) fn misdirected(self) -> Vec<u8> {
        self.head("421 Misdirected Request", "content-length: 0\r\n")
            .into_bytes()
    }

    /// Response to a request that was executed and failed.
    pub(super) fn failed(self) -> Vec<u8> {
        let headers = format!("{}content-length: 0\r\n", self.signature_header());
        self.head("500 Internal Server Error", &headers)
            .into_bytes()
    }

    /// Status line and headers of an event stream.
    pub(super) fn stream_head(self) -> Vec<u8> {
        let headers = format!(
            "{}{}content-type: text/event-stream\r\n{}",
            self.signature_header(),
            self.limit_header(),
            self.faults.framing.stream_headers(),
        );
        self.head("200 OK", &headers).into_bytes()
    }
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
