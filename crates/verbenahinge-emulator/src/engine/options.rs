//! Engine options.

/// Capacity, timing and crash trigger of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOptions {
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Time to generate one token, in milliseconds.
    pub token_ms: u64,
    /// Prefill time per 1000 prompt tokens, in milliseconds.
    pub prefill_ms_per_1000: u64,
    /// Text that makes the process exit when a prompt contains it, to emulate a crash.
    pub crash_on: Option<String>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            token_ms: 10,
            prefill_ms_per_1000: 20,
            crash_on: None,
        }
    }
}
