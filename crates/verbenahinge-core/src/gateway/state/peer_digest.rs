//! Digests of load and demand that VMs exchange with each other.

use super::{GatewayState, Peer};
use crate::gateway::number::to_u32;
use crate::gateway::{CrashRecord, PaceReport, PartId, PeerLoad};
use crate::hash::hash64;
use crate::{Fingerprint, Timestamp, VmId};

/// Load that one VM puts on one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerDigest {
    /// Hash of the server's name.
    pub server: u64,
    /// Load on the server.
    pub load: PeerLoad,
}

/// Pace of one engine, as one VM tells others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EnginePaceReport {
    /// Hash of the engine's name.
    pub server: u64,
    /// Pace of the engine.
    pub pace: PaceReport,
}

/// State that one VM sends to the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerDigest {
    /// VM process that sends the digest.
    pub vm: VmId,
    /// Prompt tokens per second of interactive streams from callers of the sender.
    pub interactive_tokens_per_s: u32,
    /// Interactive streams of the sender's callers that are in flight.
    pub interactive_streams: u32,
    /// As `interactive_tokens_per_s`, of streams with tight gap targets alone.
    pub tight_tokens_per_s: u32,
    /// As `interactive_streams`, of streams with tight gap targets alone.
    pub tight_streams: u32,
    /// Load that the sender puts on servers.
    pub servers: Vec<ServerDigest>,
    /// Pace of engines by the streams that pass the sender.
    pub paces: Vec<EnginePaceReport>,
    /// Pace of engines by the streams of all VMs, as the sender has pooled it.
    pub pooled_paces: Vec<EnginePaceReport>,
    /// Requests that were running when servers crashed, with those crashes.
    pub crashes: Vec<CrashRecord>,
}

impl GatewayState {
    /// Load that all VMs except `vm` put on a server, and the state of some prompt parts there;
    /// `None` if the server is unknown.
    #[must_use]
    pub fn aggregated_load_for(
        &self,
        now: Timestamp,
        vm: VmId,
        server: u64,
        parts: &[PartId],
    ) -> Option<ServerDigest> {
        let backend = self.backends.get(self.names_by_hash.get(&server)?)?;
        Some(ServerDigest {
            server,
            load: backend.aggregated_load_for(now, vm, parts),
        })
    }

    /// Records the load on a server that another VM has aggregated.
    pub fn note_aggregated_load(&mut self, now: Timestamp, digest: ServerDigest) {
        let Some(name) = self.names_by_hash.get(&digest.server) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(name) {
            backend.note_aggregated_load(now, digest.load);
        }
    }

    /// Load that this VM puts on one server.
    #[must_use]
    pub fn own_load(&self, server: &str) -> Option<ServerDigest> {
        let backend = self.backends.get(server)?;
        Some(ServerDigest {
            server: hash64(server.as_bytes()),
            load: backend.own_load(),
        })
    }

    /// Full digest of this VM; omits servers without load or report.
    #[must_use]
    pub fn full_digest(&self, now: Timestamp) -> PeerDigest {
        let mut servers = Vec::new();
        for (id, backend) in &self.backends {
            let load = backend.own_load();
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
            ..self.digest_without_load(now)
        }
    }

    /// Digest of this VM without the load on servers and without crashes.
    #[must_use]
    pub fn digest_without_load(&self, now: Timestamp) -> PeerDigest {
        let tokens_per_s = self.own_interactive_tokens_per_s(now);
        PeerDigest {
            vm: self.vm,
            interactive_tokens_per_s: to_u32(tokens_per_s),
            interactive_streams: self.own_interactive_streams(),
            tight_tokens_per_s: to_u32(self.own_tight_tokens_per_s(now)),
            tight_streams: self.own_tight_streams(),
            ..PeerDigest::default()
        }
    }

    /// Removes a VM that has shut down, with the load that it reported.
    pub fn forget_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
        self.paces.forget_peer(vm);
        for backend in self.backends.values_mut() {
            backend.forget_peer(vm);
        }
    }

    /// Applies a digest of another VM; returns the fingerprints for which it names new crashes.
    pub fn apply_digest(&mut self, now: Timestamp, digest: &PeerDigest) -> Vec<Fingerprint> {
        let learned = self.merge_crash_records(now, &digest.crashes);
        for server in &digest.servers {
            let Some(name) = self.names_by_hash.get(&server.server) else {
                continue;
            };
            if let Some(backend) = self.backends.get_mut(name) {
                backend.note_peer(now, digest.vm, server.load.clone());
            }
        }
        self.merge_paces(now, digest);
        let peer = Peer {
            last_digest_at: now,
            interactive_tokens_per_s: digest.interactive_tokens_per_s,
            interactive_streams: digest.interactive_streams,
            tight_tokens_per_s: digest.tight_tokens_per_s,
            tight_streams: digest.tight_streams,
        };
        self.peers.insert(digest.vm, peer);
        learned
    }
}
