//! What one VM tells the others, and takes in of what they tell.

use super::{GatewayState, Peer};
use crate::gateway::number::to_u32;
use crate::gateway::{PartId, PeerLoad};
use crate::hash::hash64;
use crate::{CrashId, Fingerprint, Timestamp, VmId};

/// Load that one VM puts on one server, as it tells other VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerDigest {
    /// Hash of the server's name.
    pub server: u64,
    /// Its load.
    pub load: PeerLoad,
}

/// What one VM tells the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerDigest {
    /// Process that sends it.
    pub vm: VmId,
    /// Tokens a second that interactive streams of its callers bring.
    pub interactive_tokens_s: u32,
    /// Load that it puts on servers.
    pub servers: Vec<ServerDigest>,
    /// Requests that crashed servers.
    pub crashes: Vec<(Fingerprint, Vec<CrashId>)>,
}

impl GatewayState {
    /// Load that all VMs but one put on a server, and what it has of some parts of prompts;
    /// `None` if the server is not known.
    #[must_use]
    pub fn gathered_for(
        &self,
        now: Timestamp,
        vm: VmId,
        server: u64,
        parts: &[PartId],
    ) -> Option<ServerDigest> {
        let backend = self.backends.get(self.names.get(&server)?)?;
        Some(ServerDigest {
            server,
            load: backend.gathered_for(now, vm, parts),
        })
    }

    /// Takes in the load that another VM has gathered for a server.
    pub fn note_gathered(&mut self, now: Timestamp, digest: ServerDigest) {
        let Some(name) = self.names.get(&digest.server) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(name) {
            backend.note_gathered(now, digest.load);
        }
    }

    /// Load that this VM puts on one server.
    #[must_use]
    pub fn own_load(&self, server: &str) -> Option<ServerDigest> {
        let backend = self.backends.get(server)?;
        Some(ServerDigest {
            server: hash64(server.as_bytes()),
            load: backend.local_load(),
        })
    }

    /// What this VM tells the others.
    #[must_use]
    pub fn digest(&self, now: Timestamp) -> PeerDigest {
        let mut servers = Vec::new();
        for (id, backend) in &self.backends {
            let load = backend.local_load();
            if load.running == 0 && load.report.is_none() {
                continue;
            }
            servers.push(ServerDigest {
                server: hash64(id.as_bytes()),
                load,
            });
        }
        PeerDigest {
            servers,
            crashes: self.crash_guard.recent_records(now),
            ..self.own_digest(now)
        }
    }

    /// What identifies this VM to the others, without its load.
    #[must_use]
    pub fn own_digest(&self, now: Timestamp) -> PeerDigest {
        let own = self.own_interactive_tokens_s(now);
        PeerDigest {
            vm: self.vm,
            interactive_tokens_s: to_u32(own),
            ..PeerDigest::default()
        }
    }

    /// Drops what a VM that has ended told.
    pub fn forget_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
        for backend in self.backends.values_mut() {
            backend.forget_peer(vm);
        }
    }

    /// Takes in what another VM tells; says whether the VM is new.
    pub fn note_digest(&mut self, now: Timestamp, digest: &PeerDigest) -> bool {
        for (&fingerprint, crashes) in digest.crashes.iter().map(|(print, ids)| (print, ids)) {
            for &crash in crashes {
                self.crash_guard.note_crash(now, fingerprint, crash);
            }
        }
        for server in &digest.servers {
            let Some(name) = self.names.get(&server.server) else {
                continue;
            };
            if let Some(backend) = self.backends.get_mut(name) {
                backend.note_peer(now, digest.vm, server.load.clone());
            }
        }
        let peer = Peer {
            seen: now,
            interactive_tokens_s: digest.interactive_tokens_s,
        };
        self.peers.insert(digest.vm, peer).is_none()
    }
}
