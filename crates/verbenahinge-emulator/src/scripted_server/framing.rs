//! How a response tells its end.

use serde::{Deserialize, Serialize};

use super::response;

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Framing {
    /// A plain response has a length, and a stream has chunks.
    #[default]
    Declared,
    /// Plain responses and streams have chunks.
    Chunked,
    /// The body ends when the connection closes, which no header announces.
    UntilClose,
    /// The body ends when the connection closes, which a `Connection` header announces.
    UntilAnnouncedClose,
}

impl Framing {
    /// Header lines for a plain response whose body has `length` bytes.
    pub(super) fn plain_headers(self, length: usize) -> String {
        match self {
            Self::Declared => format!("content-length: {length}\r\n"),
            Self::Chunked => self.stream_headers().to_owned(),
            Self::UntilClose => String::new(),
            Self::UntilAnnouncedClose => "connection: close\r\n".to_owned(),
        }
    }

    /// Header lines for a stream.
    pub(super) const fn stream_headers(self) -> &'static str {
        match self {
            Self::Declared | Self::Chunked => "transfer-encoding: chunked\r\n",
            Self::UntilClose => "",
            Self::UntilAnnouncedClose => "connection: close\r\n",
        }
    }

    /// Encodes bytes of a stream, of which there must be at least one.
    pub(super) fn encode(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Declared | Self::Chunked => response::chunk(bytes),
            Self::UntilClose | Self::UntilAnnouncedClose => bytes.to_vec(),
        }
    }

    /// Encodes the body of a plain response.
    pub(super) fn encode_plain(self, body: &[u8]) -> Vec<u8> {
        if self != Self::Chunked {
            return body.to_vec();
        }
        let mut bytes = Vec::new();
        for part in body.chunks(body.len().div_ceil(2).max(1)) {
            bytes.extend_from_slice(&self.encode(part));
        }
        bytes.extend_from_slice(self.stream_end());
        bytes
    }

    /// Bytes that end a stream.
    pub(super) const fn stream_end(self) -> &'static [u8] {
        match self {
            Self::Declared | Self::Chunked => response::LAST_CHUNK,
            Self::UntilClose | Self::UntilAnnouncedClose => b"",
        }
    }

    /// Whether the connection has to close after a response.
    pub(super) const fn ends_connection(self) -> bool {
        match self {
            Self::Declared | Self::Chunked => false,
            Self::UntilClose | Self::UntilAnnouncedClose => true,
        }
    }
}
