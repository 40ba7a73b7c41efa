//! Wire format of what VMs tell each other of the pace of engines.

use verbenahinge_core::gateway::{EnginePaceReport, PaceReport};

/// Pace of one engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(in crate::gateway) struct PaceMessage {
    /// Hash of the engine's name.
    #[prost(fixed64, tag = "1")]
    server: u64,
    /// Code of the time for a token, in the upper bits, and of the weight, in the lower eight.
    #[prost(uint32, tag = "2")]
    pace: u32,
}

impl PaceMessage {
    pub(in crate::gateway) fn from_report(report: EnginePaceReport) -> Self {
        let PaceReport {
            time_code,
            weight_code,
        } = report.pace;
        Self {
            server: report.server,
            pace: u32::from(time_code) << 8 | u32::from(weight_code),
        }
    }

    /// Converts the message back; `None` if a later build has encoded it in another way.
    pub(in crate::gateway) fn into_report(self) -> Option<EnginePaceReport> {
        let [weight_code, time_code, 0, 0] = self.pace.to_le_bytes() else {
            return None;
        };
        let pace = PaceReport {
            time_code,
            weight_code,
        };
        Some(EnginePaceReport {
            server: self.server,
            pace,
        })
    }
}
