//! Starts the binary and its stand-ins as separate processes, for tests.
//!
//! A [`Fleet`] is a platform, engines, a plain service and VMs on loopback. Every process is
//! ended when the fleet is dropped, by its own id.
//!
//! ```no_run
//! use verbenahinge_testkit::{Fleet, FleetOptions};
//!
//! # async fn example() {
//! let fleet = Fleet::start("target/debug/verbenahinge", FleetOptions::new()).await;
//! let answer = fleet.vm(0).chat("hello", "ping").await;
//! assert_eq!(answer.status, 200);
//! # }
//! ```

mod client;
mod fleet;
mod gateway_caller;
mod gateway_fleet;
mod options;
mod process;
mod proxy;

pub use self::client::{Answer, Client};
pub use self::fleet::{Fleet, Vm};
pub use self::gateway_caller::{CallerConnection, GatewayAnswer, GatewayRequest};
pub use self::gateway_fleet::{GatewayFleet, GatewayOptions};
pub use self::options::FleetOptions;
pub use self::process::{Process, free_address};
pub use self::proxy::{Harm, Proxy};
