//! Policy bench: the decision core against plain fakes in virtual time.
//!
//! A [`Scenario`] says which deployment is loaded how; [`Trace`] draws the requests from a seed;
//! [`run`] plays them against one [`Policy`] and returns a [`Summary`]. Nothing waits on a
//! clock: the same scenario and seed give the same summary on every machine.
//!
//! ```
//! use verbenahinge_bench::{Policy, Scenario, run};
//!
//! let scenario = Scenario::named("tuul", 0.5).seconds(12);
//! let summary = run(&scenario, Policy::Shares);
//! assert!(summary.violations.is_empty());
//! ```

#![expect(
    clippy::cast_precision_loss,
    reason = "counts and sizes of a run are far below the precision of a float"
)]

mod deployment;
mod dispatch_record;
mod fake_engine;
mod fake_service;
mod fake_table;
mod gateway_slopes;
mod outcome;
mod plot;
mod policy;
mod preemption_record;
mod record;
mod report;
mod router;
mod scenario;
mod simulation;
mod slopes;
mod summary;
mod trace;

pub use self::deployment::{ClassLoad, Deployment, DeploymentName};
pub use self::dispatch_record::DispatchRecord;
pub use self::gateway_slopes::{GatewayCosts, measure_gateway};
pub use self::outcome::Outcome;
pub use self::plot::draw;
pub use self::policy::Policy;
pub use self::preemption_record::PreemptionRecord;
pub use self::record::{Miss, Record, RefusalRecord};
pub use self::report::{format_table, to_json};
pub use self::scenario::{Fault, Pattern, Scenario};
pub use self::simulation::{run, simulate};
pub use self::slopes::{Costs, Sizes, measure, memory, resident_bytes};
pub use self::summary::{AccountSummary, ClassSummary, Summary};
pub use self::trace::{Arrival, Trace};
