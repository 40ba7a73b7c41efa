//! Starts the binary and the emulators as child processes of a test.
//!
//! A [`Fleet`] runs a platform, engines, a plain service and VMs on loopback. Dropping the fleet
//! kills each process by its own ID.
//!
//! ```no_run
//! use verbenahinge_testkit::{Fleet, FleetOptions};
//!
//! # async fn example() {
//! let fleet = Fleet::start("target/debug/verbenahinge", FleetOptions::new()).await;
//! let response = fleet.vm(0).chat("hello", "ping").await;
//! assert_eq!(response.status, 200);
//! # }
//! ```

mod client;
mod duty_interface;
mod fleet;
mod gateway_caller;
mod gateway_fleet;
mod options;
mod process;
mod proxy;

pub use self::client::{Client, Response};
pub use self::duty_interface::DutyInterface;
pub use self::fleet::{Fleet, Vm};
pub use self::gateway_caller::{CallerConnection, GatewayRequest, GatewayResponse};
pub use self::gateway_fleet::{GatewayFleet, GatewayFleetOptions};
pub use self::options::FleetOptions;
pub use self::process::{Process, free_address};
pub use self::proxy::{LinkFault, Proxy};
