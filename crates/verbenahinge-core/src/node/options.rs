//! Startup options of a node.

use std::net::SocketAddr;

use crate::VmId;

/// Identity, address and initial peers of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeOptions {
    pub(super) vm: VmId,
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
}

impl NodeOptions {
    /// Creates options without initial peers, for a VM that listens for peers at `address`.
    #[must_use]
    pub const fn new(vm: VmId, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            seeds: Vec::new(),
        }
    }

    /// Sets the addresses of peers to use until the platform's VM list has arrived.
    #[must_use]
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }
}
