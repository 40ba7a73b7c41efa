//! Wire format of what a VM knows of a server's rate limit.

use std::time::Duration;

use verbenahinge_core::gateway::LimitReport;

/// Rate limit of one server, and the sender's demand for it.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct LimitMessage {
    /// Hash of the server's name.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) server: u64,
    /// Thousandths of requests per second, 0 if the server has stopped naming a limit; absent if the
    /// sender has seen no answer lately.
    #[prost(uint64, optional, tag = "2")]
    pub(in crate::gateway) limit_milli_per_s: Option<u64>,
    /// Time since the sender saw that.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
    #[prost(uint32, tag = "4")]
    pub(in crate::gateway) demand: u32,
}

impl LimitMessage {
    pub(in crate::gateway) fn from_report(report: LimitReport) -> Self {
        let milli_per_s = Duration::try_from_secs_f64(report.limit_per_s.unwrap_or(0.0))
            .map_or(u128::MAX, |milli| milli.as_millis());
        Self {
            server: report.server,
            limit_milli_per_s: report
                .is_observed
                .then(|| u64::try_from(milli_per_s).unwrap_or(u64::MAX)),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
            demand: report.demand,
        }
    }

    pub(in crate::gateway) fn into_report(self) -> LimitReport {
        let limit = self.limit_milli_per_s.filter(|&milli| milli > 0);
        LimitReport {
            server: self.server,
            is_observed: self.limit_milli_per_s.is_some(),
            limit_per_s: limit.map(|milli| Duration::from_millis(milli).as_secs_f64()),
            age: Duration::from_millis(u64::from(self.age_ms)),
            demand: self.demand,
        }
    }
}
