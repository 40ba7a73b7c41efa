//! Calls that have arrived at the duty interface, and which rules they broke.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenahinge_platform::duty_api::{ScaleOrder, UsageReport};

/// Subject of all usage reports.
const USAGE_SUBJECT: &str = "usage";

/// A call as it arrived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyCall {
    /// Time since the start of the emulator.
    pub at_ms: u64,
    /// Machine that made the call.
    pub machine: IpAddr,
    /// Name that the caller gave itself.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
}

/// Calls that have arrived, and which rules they broke.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyRecord {
    /// Calls by subject, in the order of arrival.
    pub calls: BTreeMap<String, Vec<DutyCall>>,
    /// Accepted usage reports by window.
    pub usage: BTreeMap<u64, BTreeMap<String, u64>>,
    /// Reports that repeated an accepted one exactly.
    pub repeats: usize,
    /// Orders in the order of arrival.
    pub orders: Vec<ScaleOrder>,
    /// Descriptions of calls that broke a rule.
    pub violations: Vec<String>,
}

impl DutyRecord {
    /// Takes a usage report.
    pub(super) fn take_report(&mut self, lease: Duration, call: DutyCall, report: UsageReport) {
        self.take_call(lease, USAGE_SUBJECT, call);
        let window = report.window_id;
        match self.usage.get(&window) {
            None => {
                self.usage.insert(window, report.counts);
            }
            Some(old) if *old == report.counts => self.repeats += 1,
            Some(_) => self
                .violations
                .push(format!("two reports of window {window} differ")),
        }
    }

    /// Takes an order of servers.
    pub(super) fn take_order(&mut self, lease: Duration, call: DutyCall, order: ScaleOrder) {
        let subject = format!("{}/{}", order.service, order.zone);
        self.take_call(lease, &subject, call);
        self.orders.push(order);
    }

    fn take_call(&mut self, lease: Duration, subject: &str, call: DutyCall) {
        let calls = self.calls.entry(subject.to_owned()).or_default();
        let problem = broken_rule(lease, calls, &call);
        if let Some(problem) = problem {
            self.violations
                .push(format!("{subject}: {problem}: {call:?}"));
        }
        calls.push(call);
    }
}

/// Rule that a call breaks after the earlier ones of its subject.
fn broken_rule(lease: Duration, earlier: &[DutyCall], call: &DutyCall) -> Option<&'static str> {
    let mut others_since = false;
    for old in earlier.iter().rev() {
        if old.token > call.token {
            return Some("a lower token arrives");
        }
        if old.token == call.token && old.machine != call.machine {
            return Some("one token of two holders");
        }
        if old.machine != call.machine {
            others_since = true;
            continue;
        }
        let gap = Duration::from_millis(call.at_ms.saturating_sub(old.at_ms));
        if others_since && gap < lease {
            return Some("holders alternate within a lease");
        }
        if others_since {
            break;
        }
    }
    None
}
