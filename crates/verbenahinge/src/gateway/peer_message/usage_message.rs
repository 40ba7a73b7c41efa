//! Wire format of the requests that began at a VM.

use std::collections::BTreeMap;

use verbenahinge_core::gateway::{ServiceDemand, UsageBatch, UsageCount};

/// Requests that began at a VM, by window and client account, and its demand for services.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct UsageMessage {
    /// Number of the oldest batch that the sender keeps.
    #[prost(uint64, tag = "1")]
    pub(in crate::gateway) first_batch: u64,
    #[prost(message, repeated, tag = "2")]
    pub(in crate::gateway) batches: Vec<BatchMessage>,
    /// Number of the demand, which grows.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) demand_number: u64,
    /// Demand since the sender started.
    #[prost(message, repeated, tag = "4")]
    pub(in crate::gateway) demand: Vec<DemandMessage>,
}

/// Requests that began between two batches.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct BatchMessage {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, repeated, tag = "2")]
    windows: Vec<WindowMessage>,
}

/// Requests in one window, by client account.
#[derive(Clone, PartialEq, prost::Message)]
struct WindowMessage {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(string, repeated, tag = "2")]
    accounts: Vec<String>,
    #[prost(uint64, repeated, tag = "3")]
    counts: Vec<u64>,
}

/// Demand for one service.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(in crate::gateway) struct DemandMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) service: u64,
    #[prost(uint64, tag = "2")]
    requests: u64,
    #[prost(uint64, tag = "3")]
    prompt_tokens: u64,
    #[prost(uint64, tag = "4")]
    prefill_tokens: u64,
    #[prost(uint64, tag = "5")]
    in_flight: u64,
}

impl BatchMessage {
    pub(in crate::gateway) fn from_batch(batch: &UsageBatch) -> Self {
        let mut windows: BTreeMap<u64, WindowMessage> = BTreeMap::new();
        for entry in &batch.counts {
            let message = windows.entry(entry.window).or_default();
            message.window = entry.window;
            message.accounts.push(entry.account.to_string());
            message.counts.push(entry.count);
        }
        Self {
            number: batch.number,
            windows: windows.into_values().collect(),
        }
    }

    pub(in crate::gateway) fn into_batch(self) -> UsageBatch {
        let mut counts = Vec::new();
        for message in self.windows {
            for (account, count) in message.accounts.into_iter().zip(message.counts) {
                counts.push(UsageCount {
                    window: message.window,
                    account: account.into(),
                    count,
                });
            }
        }
        UsageBatch {
            number: self.number,
            counts,
        }
    }
}

impl DemandMessage {
    pub(in crate::gateway) const fn from_demand(service: u64, demand: ServiceDemand) -> Self {
        Self {
            service,
            requests: demand.requests,
            prompt_tokens: demand.prompt_tokens,
            prefill_tokens: demand.prefill_tokens,
            in_flight: demand.in_flight,
        }
    }

    pub(in crate::gateway) const fn into_demand(self) -> ServiceDemand {
        ServiceDemand {
            requests: self.requests,
            prompt_tokens: self.prompt_tokens,
            prefill_tokens: self.prefill_tokens,
            in_flight: self.in_flight,
        }
    }
}
