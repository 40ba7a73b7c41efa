//! The state that a VM sends to its peers.

use crate::shares::Demand;
use crate::{ConfigVersion, CrashId, Fingerprint, PoolName, VmId};

/// Short identifier of a pool, derived from its name and thus stable across configuration versions.
pub type PoolTag = u32;

/// State of one VM, as sent to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// VM that sent the digest.
    pub vm: VmId,
    /// Sequence number of the VM's digests; one that arrives after a newer one is dropped.
    pub seq: u64,
    /// Configuration version in force on the VM.
    pub config_version: ConfigVersion,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// Demand by pool; pools without demand are omitted.
    pub demands: Vec<PoolDemand>,
    /// Recent crashes, by the fingerprints of the requests that were running.
    pub crashes: Vec<CrashRecord>,
}

/// Demand of one VM for the slots of one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolDemand {
    /// Pool that the demand is for.
    pub pool: PoolTag,
    /// Running and queued requests by tier.
    pub demand: Demand,
    /// Number of requests running on each backend server of the cell, ordered by server name;
    /// empty in a digest that is sent early.
    pub by_server: Vec<u32>,
}

/// Crashes of backend servers while a request with a given fingerprint was running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes during which it was running.
    pub crashes: Vec<CrashId>,
}

/// Returns the tag of a pool.
#[must_use]
pub fn pool_tag(pool: &PoolName) -> PoolTag {
    let [a, b, c, d, ..] = crate::hash::hash64(pool.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
