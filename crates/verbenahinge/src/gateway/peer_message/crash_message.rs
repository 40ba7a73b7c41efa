//! Crash records in messages between VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::gateway::{CrashOrder, CrashRecord, SuspectScope};

/// Crashes of servers at which one suspect was running.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) fingerprint: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub(in crate::gateway) crashes: Vec<u64>,
    /// Time since the latest news.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
    /// Number of the suspect's scope; 0 for a request without a prompt.
    #[prost(uint32, tag = "4")]
    pub(in crate::gateway) scope: u32,
    /// Time since each crash, in their order; older builds send none.
    #[prost(uint32, repeated, tag = "5")]
    pub(in crate::gateway) crash_ages_ms: Vec<u32>,
    /// Crashes of which a success has cleared the suspect.
    #[prost(fixed64, repeated, tag = "6")]
    pub(in crate::gateway) refuted: Vec<u64>,
    /// Numbers of the orders of the crashes; older builds send none.
    #[prost(uint32, repeated, tag = "7")]
    pub(in crate::gateway) orders: Vec<u32>,
}

impl CrashMessage {
    /// Encodes a record.
    pub(in crate::gateway) fn from_record(record: CrashRecord) -> Self {
        let ages = record.crashes.values();
        let order_of = |crash| record.orders.get(crash).copied().unwrap_or_default();
        let orders = record.crashes.keys().map(|crash| order_of(crash).number());
        Self {
            fingerprint: record.fingerprint,
            crashes: record.crashes.keys().copied().collect(),
            age_ms: to_ms(record.age),
            scope: record.scope.number(),
            crash_ages_ms: ages.map(|&age| to_ms(age)).collect(),
            orders: orders.collect(),
            refuted: record.refuted,
        }
    }

    /// Decodes a record.
    pub(in crate::gateway) fn into_record(self) -> CrashRecord {
        let from_ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let age = from_ms(self.age_ms);
        let mut ages = self.crash_ages_ms.into_iter();
        let mut numbers = self.orders.into_iter();
        let mut crashes = BTreeMap::new();
        let mut orders = BTreeMap::new();
        for crash in self.crashes {
            crashes.insert(crash, ages.next().map_or(age, from_ms));
            let order = numbers.next().map(CrashOrder::from_number);
            orders.extend(order.map(|order| (crash, order)));
        }
        orders.retain(|_, order| *order != CrashOrder::Unknown);
        CrashRecord {
            fingerprint: self.fingerprint,
            scope: SuspectScope::from_number(self.scope),
            crashes,
            orders,
            refuted: self.refuted,
            age,
        }
    }
}

fn to_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
