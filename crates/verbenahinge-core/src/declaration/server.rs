//! Backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// One backend server of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Availability zone in which the server runs.
    pub availability_zone: ZoneName,
    /// Number of requests that the server can run concurrently within the latency targets.
    pub slots: u32,
    /// Whether the server rejects commands with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}
