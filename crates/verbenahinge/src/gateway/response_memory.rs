//! Memory for response bodies that are read completely before they are forwarded.
//!
//! A server in trouble may send a body without end, to many requests at once.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};

/// Maximum size of one response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Fraction of the VM's memory that all response bodies together may use.
const MEMORY_DIVISOR: usize = 8;

/// Bytes of all response bodies that are being read.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    used_bytes: Cell<usize>,
    max_bytes: usize,
}

impl ResponseMemory {
    /// Creates the count of a VM with an amount of memory.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let memory_mb = usize::try_from(memory_mb).unwrap_or(usize::MAX >> 20);
        Self {
            used_bytes: Cell::new(0),
            max_bytes: (memory_mb << 20) / MEMORY_DIVISOR,
        }
    }
}

/// Body of one response while it is read; its memory counts until it is dropped.
pub(crate) struct ResponseBuffer<'a> {
    memory: &'a ResponseMemory,
    bytes: BytesMut,
}

impl<'a> ResponseBuffer<'a> {
    pub(crate) fn new(memory: &'a ResponseMemory) -> Self {
        Self {
            memory,
            bytes: BytesMut::new(),
        }
    }

    /// Appends received bytes; returns `false` if this body or all of them together are too large.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        let used_bytes = self.memory.used_bytes.get() + data.len();
        let length = self.bytes.len() + data.len();
        if used_bytes > self.memory.max_bytes || length > MAX_RESPONSE_BYTES {
            return false;
        }
        self.memory.used_bytes.set(used_bytes);
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the complete body, whose memory no longer counts.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        self.release();
        std::mem::take(&mut self.bytes).freeze()
    }

    fn release(&self) {
        let used_bytes = &self.memory.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes.len());
    }
}

impl Drop for ResponseBuffer<'_> {
    fn drop(&mut self) {
        self.release();
    }
}
