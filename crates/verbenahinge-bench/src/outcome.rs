//! What a run leaves behind.

use crate::dispatch_record::DispatchRecord;
use crate::preemption_record::PreemptionRecord;
use crate::request_record::RequestRecord;

/// All that happened in a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests in the order of their arrival; returns of callers come behind.
    pub records: Vec<RequestRecord>,
    /// Dispatches in the order of their decision.
    pub dispatches: Vec<DispatchRecord>,
    /// Requests that were stopped for higher tiers.
    pub preemptions: Vec<PreemptionRecord>,
    /// Digests sent, counted once for each peer.
    pub digests: u64,
}
