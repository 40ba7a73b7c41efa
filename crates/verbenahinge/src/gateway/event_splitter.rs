//! Splits a stream of server-sent events into whole events, without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is whole.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// One event as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WireEvent {
    /// Its bytes, with the blank line that ends it.
    pub(crate) bytes: Bytes,
    /// Its id, if it has a number for one.
    pub(crate) id: Option<u64>,
}

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes; fails if an event grows beyond all bounds.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_LIMIT_BYTES
    }

    /// Returns the next whole event.
    pub(crate) fn next_event(&mut self) -> Option<WireEvent> {
        let end = find_blank_line(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = find_id(&bytes);
        Some(WireEvent { bytes, id })
    }

    /// Says whether an event has begun and not ended.
    pub(crate) fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

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

/// Id of an event; a stream whose ids are no numbers is passed on, but cannot go on elsewhere.
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
