//! Load of a server, as reported by the server and as exchanged between VMs.

use std::collections::BTreeMap;

use crate::gateway::{PartId, PartState, Priority};

/// Load that a server reports in its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment, in percent of the usual time; `None` if
    /// the server does not say.
    pub decode_percent: Option<u32>,
}

impl LoadReport {
    /// How much longer than usual work takes on the server's machine, as a factor of at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.decode_percent
            .map_or(1.0, |percent| (f64::from(percent) / 100.0).max(1.0))
    }
}

/// Requests of one priority at an engine, and the prefill they still need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PrefillLoad {
    /// Requests in flight.
    pub running: u32,
    /// Requests in flight without a first token.
    pub prompts: u32,
    /// Cost of prefilling their prompts, in tokens.
    pub tokens: u32,
}

impl PrefillLoad {
    /// Cost of the remaining prefill, in tokens.
    ///
    /// Prompts are prefilled one after the other, so the first one is assumed to be half done.
    pub(super) fn remaining_tokens(self) -> f64 {
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

/// Load that one VM puts on a server, or several VMs together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub running: u32,
    /// Streams in flight that long prefills of other requests would make late.
    pub interactive: u32,
    /// Tokens that requests in flight hold in engine memory.
    pub memory_tokens: u32,
    /// Requests in flight and their remaining prefill, by priority.
    pub prefill: BTreeMap<Priority, PrefillLoad>,
    /// Shared prompt parts on the server: in a digest, those that the sender's requests wait for;
    /// in aggregated load, those that were queried.
    pub parts: BTreeMap<PartId, PartState>,
    /// Latest load that the server reported: in a digest to the sender, in aggregated load to any
    /// VM. Its age is not sent along; the receiver counts it as new.
    pub report: Option<LoadReport>,
}

impl PeerLoad {
    pub(super) fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.interactive += other.interactive;
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        for (&priority, &prefill) in &other.prefill {
            self.prefill.entry(priority).or_default().add(prefill);
        }
    }
}
