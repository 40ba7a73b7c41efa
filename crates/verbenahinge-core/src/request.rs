//! Properties of a request that routing decisions depend on.

use std::sync::Arc;

use crate::{AccountName, ClassName, Fingerprint, PoolName, RequestId};

/// Metadata of a request; the body stays with the driver of the core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Request identifier.
    pub id: RequestId,
    /// Client account to which the request is charged.
    pub account: AccountName,
    /// Class that determines the latency targets and the tier.
    pub class: ClassName,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Estimated number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Hash of the prompt prefix shared by later turns of the conversation.
    pub prefix_hash: u64,
    /// Hash of the request's content.
    pub fingerprint: Fingerprint,
    /// Whether the request can safely run more than once.
    pub repeatable: bool,
    /// Idempotency key; a request that is not repeatable runs at most once per key.
    pub idempotency_key: Option<Arc<str>>,
}

impl Request {
    /// Creates a repeatable request without a prompt or idempotency key.
    #[must_use]
    pub fn new(
        id: RequestId,
        account: impl Into<AccountName>,
        class: impl Into<ClassName>,
        pool: impl Into<PoolName>,
    ) -> Self {
        Self {
            id,
            account: account.into(),
            class: class.into(),
            pool: pool.into(),
            prompt_tokens: 0,
            prefix_hash: hash_id(id),
            fingerprint: hash_id(id),
            repeatable: true,
            idempotency_key: None,
        }
    }

    /// Sets the number of prompt tokens and the hash of the shared prefix.
    #[must_use]
    pub const fn prompt(mut self, prompt_tokens: u32, prefix_hash: u64) -> Self {
        self.prompt_tokens = prompt_tokens;
        self.prefix_hash = prefix_hash;
        self
    }

    /// Sets the hash of the request's content.
    #[must_use]
    pub const fn fingerprint(mut self, fingerprint: Fingerprint) -> Self {
        self.fingerprint = fingerprint;
        self
    }

    /// Marks the request as not repeatable, with its idempotency key if it has one.
    #[must_use]
    pub fn not_repeatable(mut self, key: Option<Arc<str>>) -> Self {
        self.repeatable = false;
        self.idempotency_key = key;
        self
    }
}

fn hash_id(id: RequestId) -> u64 {
    crate::hash::hash64(&id.to_le_bytes())
}
