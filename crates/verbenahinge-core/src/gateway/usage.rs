//! Counts of the requests that each client account began, over all VMs.
//!
//! Load pattern: each of up to five hundred VMs begins up to some hundred requests a second; any of them, a
//! rack or all may be lost at any moment. Counts travel in numbered batches, which each receiver keeps, so
//! that the holder of the lease can add to the sums that it or its predecessor has saved exactly what they
//! lack. See `docs/design/usage.md`.

mod batch;
mod demand_log;
mod fleet_time;
mod ledger;
mod log;
mod report;
mod row;
mod save;
mod sender;
mod service_demand;

use std::collections::BTreeMap;

pub use self::batch::{UsageBatch, UsageCount};
pub use self::demand_log::DemandLog;
pub use self::fleet_time::FleetTime;
pub use self::ledger::{UsageLedger, window_at};
pub use self::log::UsageLog;
pub use self::report::FixedReport;
pub use self::row::UsageRow;
pub use self::save::UsageSave;
pub use self::sender::UsageSender;
pub use self::service_demand::ServiceDemand;
use crate::AccountName;

/// Number of a window: windows have a fixed length and are counted from the start of 1970.
pub type WindowId = u64;

/// Requests by client account.
pub type AccountCounts = BTreeMap<AccountName, u64>;
