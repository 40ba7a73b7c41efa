//! Splits a stream of server-sent events into complete events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Maximum size of the buffer, and so of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event in its original encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RawEvent {
    /// Encoded event, including the blank line that terminates it.
    pub(crate) bytes: Bytes,
    /// Event ID, if it is a number.
    pub(crate) id: Option<u64>,
}

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes; returns `false` if the buffer exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<RawEvent> {
        let end = find_blank_line(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = find_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Returns whether the buffer holds the start of an incomplete event.
    pub(crate) fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the end of the first blank line that follows another line.
fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, &byte) in buffer.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        let is_blank = line.is_empty() || line == b"\r";
        if is_blank && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Returns the numeric ID of an event; an event with another ID is forwarded, but cannot mark the
/// position at which a stream resumes.
fn find_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|&byte| byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}
