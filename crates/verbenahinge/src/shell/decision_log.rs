//! Log of the latest routing decisions, in which operators look up why a request was refused.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use verbenahinge_core::{Refusal, RequestId};

/// Maximum number of requests in the log.
const MAX_TRACES: usize = 10_000;

/// Routing decisions about one request.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DecisionTrace {
    pub(crate) account: String,
    pub(crate) class: String,
    pub(crate) pool: String,
    pub(crate) config_version: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) steps: Vec<DecisionStep>,
}

/// Routing decision with the time since the arrival of its request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DecisionStep {
    pub(crate) after_ms: u64,
    pub(crate) step: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) server: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) refusal: Option<Refusal>,
}

/// Traces by request. At the limit, the oldest request is dropped.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    traces: BTreeMap<RequestId, DecisionTrace>,
    order: VecDeque<RequestId>,
}

impl DecisionLog {
    pub(crate) fn add(&mut self, request: RequestId, trace: DecisionTrace) {
        if self.order.len() == MAX_TRACES
            && let Some(oldest) = self.order.pop_front()
        {
            self.traces.remove(&oldest);
        }
        self.order.push_back(request);
        self.traces.insert(request, trace);
    }

    pub(crate) fn push_step(&mut self, request: RequestId, step: DecisionStep) {
        if let Some(trace) = self.traces.get_mut(&request) {
            trace.steps.push(step);
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&DecisionTrace> {
        self.traces.get(&request)
    }
}
