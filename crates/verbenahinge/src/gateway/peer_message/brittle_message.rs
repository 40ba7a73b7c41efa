//! Wire format of services whose servers are brittle.

use std::time::Duration;

use verbenahinge_core::gateway::BrittleReport;

/// Service whose servers fall over if they reject too many requests.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(in crate::gateway) struct BrittleMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) service: u64,
    /// Rejections in a second that a server bears.
    #[prost(double, tag = "2")]
    pub(in crate::gateway) rejections_per_s: f64,
    /// Time since a server said so.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
}

impl BrittleMessage {
    pub(in crate::gateway) fn from_report(report: BrittleReport) -> Self {
        Self {
            service: report.service,
            rejections_per_s: report.rejections_per_s,
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    pub(in crate::gateway) fn into_report(self) -> BrittleReport {
        BrittleReport {
            service: self.service,
            rejections_per_s: self.rejections_per_s,
            age: Duration::from_millis(u64::from(self.age_ms)),
        }
    }
}
