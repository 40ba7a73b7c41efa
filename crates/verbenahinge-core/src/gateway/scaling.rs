//! Orders of backend servers: how many of which kind a service has in each availability zone.
//!
//! See `docs/design/scaling.md`.

mod demand_history;
mod demand_meter;
mod demand_sample;
mod demand_sums;
mod goal;
mod learned_demand;
mod order_outcome;
mod order_reason;
mod order_record;
mod scaling_inputs;
mod scaling_limits;
mod scaling_plan;
mod server_capacity;
mod server_counts;
mod server_kind;
mod subject_state;
mod survival;
mod worker_order;
mod worker_subject;

pub use self::demand_meter::DemandMeter;
pub use self::demand_sample::DemandSample;
pub use self::demand_sums::DemandSums;
pub use self::learned_demand::LearnedDemand;
pub use self::order_outcome::OrderOutcome;
pub use self::order_reason::OrderReason;
pub use self::order_record::OrderRecord;
pub use self::scaling_inputs::ScalingInputs;
pub use self::scaling_limits::ScalingLimits;
pub use self::scaling_plan::ScalingPlan;
pub use self::server_capacity::ServerCapacity;
pub use self::server_counts::ServerCounts;
pub use self::server_kind::ServerKind;
pub use self::worker_order::WorkerOrder;
pub use self::worker_subject::WorkerSubject;
