//! Known VMs, and the ones among them to which this VM sends digests.
//!
//! The platform's list of VMs lags behind, so a VM that sends digests counts as a peer even if
//! it is not listed. Large fleets are split into cells with a bounded mean size, and each backend
//! server belongs to one cell. A VM sends its digests to the VMs of its cell, which share its
//! backend servers and thus need its demand, and over a few cross-cell links, which spread
//! configuration versions and crash records through the fleet. See `docs/design/membership.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::{hash64, mix64};
use crate::{ConfigVersion, Timestamp, VmId};

/// Upper bound on the mean number of VMs per cell.
pub const MAX_MEAN_CELL_SIZE: usize = 16;

/// Maximum number of links from a VM to VMs of other cells.
const CROSS_CELL_LINKS: u64 = 2;

/// Time without a digest after which a peer is removed.
pub const PEER_TTL: Duration = Duration::from_secs(3);

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub struct VmEntry {
    /// Address on which the VM listens for peers.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// A VM from which digests have been received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Configuration version in force on the peer.
    pub config_version: ConfigVersion,
    /// Time at which its last digest arrived.
    pub last_seen: Timestamp,
    /// Sequence number of its last digest.
    pub seq: u64,
}

/// The listed VMs, the live peers and the links, as seen by one VM.
#[derive(Clone, Debug)]
pub struct Membership {
    own_address: SocketAddr,
    listed: BTreeSet<SocketAddr>,
    peers: BTreeMap<VmId, Peer>,
    links: Vec<SocketAddr>,
    cell_count: u64,
}

impl Membership {
    /// Creates the membership of a VM with `seeds` as the initial list of VMs.
    #[must_use]
    pub fn new(own_address: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut membership = Self {
            own_address,
            listed: seeds.into_iter().collect(),
            peers: BTreeMap::new(),
            links: Vec::new(),
            cell_count: 1,
        };
        membership.rebuild_links();
        membership
    }

    /// Replaces the list of VMs and returns whether the number of cells has changed.
    pub fn set_vm_list(&mut self, entries: &[VmEntry]) -> bool {
        let before = self.cell_count;
        self.listed = entries
            .iter()
            .filter(|entry| entry.state == VmState::Live)
            .map(|entry| entry.address)
            .collect();
        self.rebuild_links();
        self.cell_count != before
    }

    fn rebuild_links(&mut self) {
        self.listed.insert(self.own_address);
        let cells = self
            .listed
            .len()
            .div_ceil(MAX_MEAN_CELL_SIZE)
            .next_power_of_two();
        self.cell_count = cells as u64;
        let cell = cell_of(&self.own_address, self.cell_count);
        let mut links: Vec<SocketAddr> = Vec::new();
        for address in &self.listed {
            if *address != self.own_address && cell_of(address, self.cell_count) == cell {
                links.push(*address);
            }
        }
        links.extend(self.cross_cell_links(&links));
        self.links = links;
    }

    fn cross_cell_links(&self, in_cell: &[SocketAddr]) -> Vec<SocketAddr> {
        let candidates: Vec<SocketAddr> = self
            .listed
            .iter()
            .filter(|address| **address != self.own_address && !in_cell.contains(address))
            .copied()
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let seed = address_hash(&self.own_address);
        (0..CROSS_CELL_LINKS)
            .map(|link| {
                let index = mix64(seed, link) % candidates.len() as u64;
                candidates[usize::try_from(index).unwrap_or(0)]
            })
            .collect()
    }

    /// Addresses of the VMs to which digests are sent.
    #[must_use]
    pub fn links(&self) -> &[SocketAddr] {
        &self.links
    }

    /// Number of live VMs in the platform's list, including this one.
    #[must_use]
    pub fn vm_count(&self) -> u32 {
        u32::try_from(self.listed.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a backend server belongs to this VM's cell.
    #[must_use]
    pub fn is_server_in_cell(&self, server: &str) -> bool {
        let cell = cell_of(&self.own_address, self.cell_count);
        hash64(server.as_bytes()) % self.cell_count == cell
    }

    /// Records a digest, unless it is older than the last one of that VM or the same, and
    /// returns whether it was recorded.
    pub fn record_digest(
        &mut self,
        now: Timestamp,
        vm: VmId,
        seq: u64,
        config_version: ConfigVersion,
    ) -> bool {
        if self.peers.get(&vm).is_some_and(|peer| peer.seq >= seq) {
            return false;
        }
        let peer = Peer {
            config_version,
            last_seen: now,
            seq,
        };
        self.peers.insert(vm, peer);
        true
    }

    /// Removes a peer that has announced its shutdown.
    pub fn remove_peer(&mut self, vm: VmId) {
        self.peers.remove(&vm);
    }

    /// Removes and returns the peers that have sent no digest for [`PEER_TTL`].
    pub fn expire_peers(&mut self, now: Timestamp) -> Vec<VmId> {
        let expired: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_seen + PEER_TTL <= now)
            .map(|(&vm, _)| vm)
            .collect();
        for vm in &expired {
            self.peers.remove(vm);
        }
        expired
    }

    /// Peers by VM id, without those that have been removed or have expired.
    #[must_use]
    pub const fn peers(&self) -> &BTreeMap<VmId, Peer> {
        &self.peers
    }
}

fn address_hash(address: &SocketAddr) -> u64 {
    hash64(address.to_string().as_bytes())
}

fn cell_of(address: &SocketAddr, cell_count: u64) -> u64 {
    address_hash(address) % cell_count
}
