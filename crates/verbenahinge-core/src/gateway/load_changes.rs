//! Load on servers that has changed since a VM last told other VMs.

use std::collections::{BTreeMap, BTreeSet};

use super::{PeerLoad, ServerDigest};

/// Remembers the load that a VM has told others, so that only what has changed is sent again.
#[derive(Clone, Debug, Default)]
pub struct LoadChanges {
    last_told: BTreeMap<u64, ServerDigest>,
}

impl LoadChanges {
    /// Creates the state of a VM that has told nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            last_told: BTreeMap::new(),
        }
    }

    /// Takes the present load on all servers in use; returns what has changed.
    ///
    /// Servers that are no longer in use are told once without load, since others would count their last
    /// load until it expires.
    pub fn take(&mut self, servers: &[ServerDigest]) -> Vec<ServerDigest> {
        let in_use: BTreeSet<u64> = servers.iter().map(|server| server.server).collect();
        let mut changed = Vec::new();
        self.last_told.retain(|&server, _| {
            let is_in_use = in_use.contains(&server);
            if !is_in_use {
                let load = PeerLoad::default();
                changed.push(ServerDigest { server, load });
            }
            is_in_use
        });
        for server in servers {
            if self.last_told.get(&server.server) != Some(server) {
                self.last_told.insert(server.server, server.clone());
                changed.push(server.clone());
            }
        }
        changed
    }
}
