//! Sizes and rates of a simulated fleet, and what is counted in it.

use std::time::Duration;

use verbenahinge_core::Timestamp;

/// Sizes and rates of a simulated fleet.
#[derive(Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) vms: usize,
    pub(crate) engines: usize,
    pub(crate) sound_per_s: u64,
    pub(crate) deadly_per_s: u64,
    /// From when on requests with a deadly part come.
    pub(crate) deadly_from: Timestamp,
    /// End of the run.
    pub(crate) ends_at: Timestamp,
    /// Number of deadly parts.
    pub(crate) deadly_parts: u64,
    /// Time between two crashes for reasons outside, if any.
    pub(crate) outside_crashes: Option<Duration>,
}

/// What was counted.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// When each engine crashed.
    pub(crate) crashes: Vec<Timestamp>,
    /// When each request with the deadly part was sent to an engine.
    pub(crate) deadly_sent: Vec<Timestamp>,
    /// Sound requests with the same first part: when they came, and whether they began at the first
    /// attempt.
    pub(crate) related: Vec<(Timestamp, bool)>,
    /// Sound requests, and those of them that were refused.
    pub(crate) sound: usize,
    pub(crate) sound_refused: usize,
    /// Records in messages that were sent at once, counted for each receiver.
    pub(crate) records_pushed: usize,
    /// Messages that were sent at once, counted for each receiver.
    pub(crate) messages_pushed: usize,
    /// When the last VM came to refuse the part.
    pub(crate) all_refuse_at: Option<Timestamp>,
}
