//! Memory for response bodies that are read completely before they are forwarded.
//!
//! A server in trouble may send a body without end, to many requests at once.

use bytes::{Bytes, BytesMut};
use verbenahinge_core::gateway::HoldId;

use super::Gateway;

/// Maximum size of one response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Body of one response while it is read; its memory counts until it is dropped.
pub(crate) struct ResponseBuffer<'a> {
    gateway: &'a Gateway,
    id: HoldId,
    bytes: BytesMut,
}

impl<'a> ResponseBuffer<'a> {
    pub(crate) fn new(gateway: &'a Gateway) -> Self {
        Self {
            gateway,
            id: gateway.callers.memory().begin_response(),
            bytes: BytesMut::new(),
        }
    }

    /// Appends received bytes; returns `false` if this body or all of them together are too large.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        if self.bytes.len() + data.len() > MAX_RESPONSE_BYTES {
            return false;
        }
        let now = self.gateway.arrival_time();
        let memory = self.gateway.callers.memory();
        let admitted = memory.grow_response(now, self.id, data.len());
        if admitted {
            self.bytes.extend_from_slice(data);
        }
        admitted
    }

    /// Returns the complete body, whose memory no longer counts.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for ResponseBuffer<'_> {
    fn drop(&mut self) {
        self.gateway.callers.memory().end(self.id);
    }
}
