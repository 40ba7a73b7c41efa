//! Raw results of a run.

use crate::dispatch_record::DispatchRecord;
use crate::preemption_record::PreemptionRecord;
use crate::request_record::RequestRecord;

/// Everything recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests in order of arrival, followed by retries of refused callers.
    pub records: Vec<RequestRecord>,
    /// Dispatches in the order in which they were decided.
    pub dispatches: Vec<DispatchRecord>,
    /// Requests that were preempted by higher tiers.
    pub preemptions: Vec<PreemptionRecord>,
    /// Number of digests sent, counted once per receiving VM.
    pub digests: u64,
}
