//! Benchmark of routing policies against simulated backend servers in virtual time.
//!
//! A [`Scenario`] specifies a deployment, its load and its faults; [`Trace`] generates the requests
//! from a seed; [`run`] simulates them under one [`Policy`] and returns a [`Summary`]. Nothing waits
//! for the system clock: the same scenario and seed give the same summary on every machine.
//!
//! ```
//! use verbenahinge_bench::{Policy, Scenario, run};
//!
//! let scenario = Scenario::steady("tuul", 0.5).seconds(12);
//! let summary = run(&scenario, Policy::Shares);
//! assert!(summary.violations.is_empty());
//! ```

#![expect(
    clippy::cast_precision_loss,
    reason = "counts and sizes of a run are small enough for f64 to represent exactly"
)]

mod config_costs;
mod core_costs;
mod deployment;
mod dispatch_record;
mod fake_engine;
mod fake_service;
mod fake_table;
mod gateway_costs;
mod outcome;
mod plot;
mod policy;
mod preemption_record;
mod report;
mod request_record;
mod router;
mod scenario;
mod simulation;
mod summary;
mod trace;

pub use self::config_costs::{
    ConfigCosts, ServerTableCosts, generate_config, measure_config, measure_server_table,
};
pub use self::core_costs::{CoreCosts, CoreSizes, measure_core, measure_memory, resident_bytes};
pub use self::deployment::{ClassLoad, Deployment, DeploymentName};
pub use self::dispatch_record::DispatchRecord;
pub use self::gateway_costs::{GatewayCosts, measure_gateway};
pub use self::outcome::Outcome;
pub use self::plot::draw_chart;
pub use self::policy::Policy;
pub use self::preemption_record::PreemptionRecord;
pub use self::report::{format_table, to_json};
pub use self::request_record::{RefusalRecord, RequestRecord, TargetMiss};
pub use self::scenario::{Fault, LoadPattern, Scenario};
pub use self::simulation::{run, simulate};
pub use self::summary::{AccountSummary, ClassSummary, Summary};
pub use self::trace::{Arrival, Trace};
