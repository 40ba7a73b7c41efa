//! Load of a server, as it tells it and as VMs tell each other.

use std::collections::BTreeMap;

use crate::gateway::{PartId, PartState, Priority};

/// Load of a server as its answers tell it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Requests of one priority at an engine, and what it has yet to read of their prompts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// Requests in flight.
    pub running: u32,
    /// Those among them without a first token.
    pub prompts: u32,
    /// Cost of reading them, in tokens.
    pub tokens: u32,
}

impl Reading {
    /// Cost of what is left to be read, in tokens.
    ///
    /// Prompts are read one after the other, so that the first one is taken to be half read.
    pub(super) fn left(self) -> f64 {
        if self.prompts == 0 {
            return 0.0;
        }
        f64::from(self.tokens) * (1.0 - 0.5 / f64::from(self.prompts))
    }

    pub(super) const fn add(&mut self, other: Self) {
        self.running += other.running;
        self.prompts += other.prompts;
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// Load that another VM puts on a server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub running: u32,
    /// Streams in flight that long reads of others would make late.
    pub interactive: u32,
    /// Tokens that its requests hold in memory.
    pub memory_tokens: u32,
    /// Requests and what is yet to be read of them, by priority.
    pub reading: BTreeMap<Priority, Reading>,
    /// Shared parts of prompts that the server has, of those that the teller knows to matter.
    pub parts: BTreeMap<PartId, PartState>,
    /// Load that the server told it last, if that was since the digest before.
    pub report: Option<LoadReport>,
}

impl PeerLoad {
    pub(super) fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.interactive += other.interactive;
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        for (&priority, &reading) in &other.reading {
            self.reading.entry(priority).or_default().add(reading);
        }
    }
}
