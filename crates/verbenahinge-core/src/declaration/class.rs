//! Request classes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Tier;

/// Priority and latency targets of a class of requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Priority; 0 is the highest.
    pub tier: Tier,
    /// Target time to the first token, or to the whole answer of a plain service.
    pub first_token_ms: u64,
    /// Target mean time between tokens.
    pub per_token_ms: u64,
    /// Maximum time for which a VM with waiting requests of the class may dispatch none.
    pub max_starvation_ms: u64,
}

impl Class {
    /// Target time to the first token.
    #[must_use]
    pub const fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Target mean time between tokens.
    #[must_use]
    pub const fn per_token(&self) -> Duration {
        Duration::from_millis(self.per_token_ms)
    }

    /// Maximum time between dispatches while requests of the class are waiting.
    #[must_use]
    pub const fn max_starvation(&self) -> Duration {
        Duration::from_millis(self.max_starvation_ms)
    }
}
