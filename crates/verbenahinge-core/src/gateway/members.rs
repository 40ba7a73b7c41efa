//! Fleet membership by gossip: which other VMs are live, and which of them get a digest in a round.
//!
//! Load pattern: fleets of two to five hundred VMs that start at once, lose members and gain them.
//! In a small fleet, each VM sends to all others; in a large one, each sends to a few at a time in
//! rotation, and the time after which a silent VM counts as lost grows with the length of that
//! rotation. VMs that were never contacted come first, so that a starting fleet discovers all its
//! members within seconds. See `docs/design/members.md`.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::hash::{hash64, mix64};
use crate::{Timestamp, VmId};

/// Time between two rounds; several rounds pass while an engine prefills one prompt.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds between full digests, which are sent even if nothing has changed. In a large fleet, live
/// VMs only get those that fall on a multiple of `LARGE_FLEET_ROUNDS`.
const FULL_DIGEST_ROUNDS: u32 = 5;

/// Rounds between two digests of a VM in a large fleet. They carry the versions of its table
/// replicas; its load goes to the VMs that aggregate it instead.
const LARGE_FLEET_ROUNDS: u32 = 3;

/// Maximum number of live VMs that get a digest in one round.
const FANOUT: usize = 16;

/// Maximum number of lost VMs that get a digest in one round: a quarter of `FANOUT`.
const LOST_FANOUT: usize = 4;

/// Maximum number of VMs that are contacted for the first time in one round: five hundred take two
/// seconds.
const FIRST_CONTACT_FANOUT: usize = 32;

/// Addresses of other VMs in one full digest, by which VMs discover each other.
const GOSSIP_ADDRESSES: usize = 6;

/// Minimum silence after which a VM counts as lost: ten full digests.
const MIN_LOST_AFTER: Duration = Duration::from_secs(5);

/// Rotations without a message after which a VM counts as lost: the network may drop two messages
/// in a row.
const MISSED_ROTATIONS: u32 = 3;

/// Minimum silence after which a VM is forgotten: several times the duration of a restart, so that
/// a VM that returns is still known.
const MIN_FORGET_AFTER: Duration = Duration::from_secs(40);

/// VMs of a large fleet that keep one record. With four, most records outlive the loss of six in ten VMs
/// at once.
const RECORD_HOLDERS: usize = 4;

/// Hash seed of the order in which VMs are picked to watch the store; it makes that order
/// independent of other hash orders.
const WATCHER_ORDER_SEED: u64 = 0x7761_7463;

/// Hash seed of the choice of the VM that keeps records in the store.
const KEEPER_SEED: u64 = 0x6b65_6570;

/// Hash seed of the position at which a VM begins its rotation.
const ROTATION_SEED: u64 = 0x726f_7461;

#[derive(Clone, Copy, Debug)]
struct Member {
    last_heard: Option<Timestamp>,
    added_at: Timestamp,
    is_contacted: bool,
    /// ID of the VM, which is a new one after each start.
    vm: Option<VmId>,
}

/// Digest type and receivers of one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GossipRound {
    /// Whether the digest is full rather than only what has changed.
    pub is_full: bool,
    /// Addresses that get the digest.
    pub receivers: Vec<IpAddr>,
}

/// Other VMs of the fleet that a VM knows.
#[derive(Clone, Debug)]
pub struct Members {
    own_address: IpAddr,
    round: u32,
    live_cursor: u64,
    lost_cursor: u64,
    by_address: BTreeMap<IpAddr, Member>,
}

impl Members {
    /// Creates an empty list.
    #[must_use]
    pub const fn new(own_address: IpAddr) -> Self {
        Self {
            own_address,
            round: 0,
            live_cursor: 0,
            lost_cursor: 0,
            by_address: BTreeMap::new(),
        }
    }

    /// Address of this VM.
    #[must_use]
    pub const fn own_address(&self) -> IpAddr {
        self.own_address
    }

    /// Adds an address that may belong to a VM.
    pub fn add(&mut self, now: Timestamp, ip: IpAddr) {
        if ip != self.own_address {
            let member = Member {
                last_heard: None,
                added_at: now,
                is_contacted: false,
                vm: None,
            };
            self.by_address.entry(ip).or_insert(member);
        }
    }

    /// Removes a VM that is shutting down.
    pub fn remove(&mut self, ip: IpAddr) {
        self.by_address.remove(&ip);
    }

    /// Records a message from a VM; returns whether the VM did not count as live before.
    pub fn record_message(&mut self, now: Timestamp, ip: IpAddr) -> bool {
        let member = Member {
            last_heard: Some(now),
            added_at: now,
            is_contacted: true,
            vm: self.by_address.get(&ip).and_then(|member| member.vm),
        };
        let lost_after = self.lost_after();
        let old = self.by_address.insert(ip, member);
        old.is_none_or(|old| !is_live(&old, now, lost_after))
    }

    /// Notes the ID of a known VM; returns whether the VM has started again since its last message.
    pub fn note_start(&mut self, ip: IpAddr, vm: VmId) -> bool {
        let member = self.by_address.get_mut(&ip);
        let old = member.and_then(|member| member.vm.replace(vm));
        old.is_some_and(|old| old != vm)
    }

    /// Silence after which a VM counts as lost.
    #[must_use]
    pub fn lost_after(&self) -> Duration {
        let batches = u32::try_from(self.by_address.len().div_ceil(FANOUT)).unwrap_or(u32::MAX);
        let batch_interval = DIGEST_INTERVAL * LARGE_FLEET_ROUNDS;
        MIN_LOST_AFTER.max(batch_interval.saturating_mul(batches.saturating_mul(MISSED_ROTATIONS)))
    }

    /// Starts the next round; `has_changed` tells whether the load on servers has changed.
    pub fn next_round(&mut self, now: Timestamp, has_changed: bool) -> GossipRound {
        self.round = self.round.wrapping_add(1);
        self.forget_expired(now);
        let is_large = self.is_large(now);
        let is_full = self.round.is_multiple_of(FULL_DIGEST_ROUNDS);
        let mut receivers = self.take_uncontacted();
        let is_due = if is_large {
            self.round.is_multiple_of(LARGE_FLEET_ROUNDS)
        } else {
            is_full || has_changed
        };
        if is_due {
            let live: Vec<IpAddr> = self.live_addresses(now).collect();
            let offset = self.rotation_offset();
            receivers.extend(next_batch(&live, FANOUT, offset, &mut self.live_cursor));
        }
        if is_due && (is_full || is_large) {
            let lost = self.lost_addresses(now);
            let offset = self.rotation_offset();
            receivers.extend(next_batch(
                &lost,
                LOST_FANOUT,
                offset,
                &mut self.lost_cursor,
            ));
        }
        GossipRound { is_full, receivers }
    }

    /// Offset that spreads the rotations of VMs that start together. Otherwise all of them would
    /// write to the same few VMs in each round.
    fn rotation_offset(&self) -> u64 {
        mix64(address_number(self.own_address), ROTATION_SEED)
    }

    fn forget_expired(&mut self, now: Timestamp) {
        let forget_after = MIN_FORGET_AFTER.max(self.lost_after() * 2);
        self.by_address.retain(|_, member| {
            let last = member
                .last_heard
                .map_or(member.added_at, |heard| heard.max(member.added_at));
            last + forget_after > now
        });
    }

    /// Returns VMs that were never contacted, up to the fanout, and marks them as contacted.
    fn take_uncontacted(&mut self) -> Vec<IpAddr> {
        let mut uncontacted = Vec::new();
        for (&ip, member) in &mut self.by_address {
            if member.is_contacted {
                continue;
            }
            if uncontacted.len() == FIRST_CONTACT_FANOUT {
                break;
            }
            member.is_contacted = true;
            uncontacted.push(ip);
        }
        uncontacted
    }

    /// Addresses that were contacted and do not count as live.
    fn lost_addresses(&self, now: Timestamp) -> Vec<IpAddr> {
        let lost_after = self.lost_after();
        let lost = self.by_address.iter();
        let lost =
            lost.filter(|(_, member)| member.is_contacted && !is_live(member, now, lost_after));
        lost.map(|(&ip, _)| ip).collect()
    }

    /// Addresses to send along with a digest; they differ by round and sender, so that every VM
    /// discovers all others.
    #[must_use]
    pub fn gossip_addresses(&self) -> Vec<IpAddr> {
        let count = self.by_address.len();
        let round_hash = hash64(&self.round.to_be_bytes());
        let skip = mix64(round_hash, address_number(self.own_address)) % (count.max(1) as u64);
        let addresses = self.by_address.keys().copied().cycle();
        let skip = usize::try_from(skip).unwrap_or(0);
        addresses
            .skip(skip)
            .take(GOSSIP_ADDRESSES.min(count))
            .collect()
    }

    /// Addresses to send to a VM that did not count as live: all if it knows fewer, else none.
    #[must_use]
    pub fn addresses_for_new(&self, known_count: usize) -> Vec<IpAddr> {
        if known_count < self.by_address.len() {
            self.by_address.keys().copied().collect()
        } else {
            Vec::new()
        }
    }

    /// Addresses of other live VMs, in ascending order.
    pub fn live_addresses(&self, now: Timestamp) -> impl Iterator<Item = IpAddr> {
        let lost_after = self.lost_after();
        let live = self.by_address.iter();
        live.filter_map(move |(&ip, member)| is_live(member, now, lost_after).then_some(ip))
    }

    /// Time of the last message from any VM; `None` if there was none.
    #[must_use]
    pub fn last_heard(&self) -> Option<Timestamp> {
        let members = self.by_address.values();
        members.filter_map(|member| member.last_heard).max()
    }

    /// Whether the fleet has too many live VMs for each to send its load to all others.
    #[must_use]
    pub fn is_large(&self, now: Timestamp) -> bool {
        self.live_addresses(now).count() > FANOUT
    }

    /// Live VMs that keep a record with the given key for the whole fleet: all in a small fleet, else a
    /// few that VMs with the same live VMs agree on.
    #[must_use]
    pub fn holders(&self, now: Timestamp, key: u64) -> Vec<IpAddr> {
        let mut holders: Vec<IpAddr> = self.live_addresses(now).collect();
        if self.is_large(now) {
            holders.sort_unstable_by_key(|&ip| mix64(key, address_number(ip)));
            holders.truncate(RECORD_HOLDERS);
        }
        holders
    }

    /// Live VM that keeps a ring of records in the store, or `None` if it is this one.
    ///
    /// VMs that count the same VMs as live pick the same one.
    #[must_use]
    pub fn keeper(&self, now: Timestamp, ring: usize) -> Option<IpAddr> {
        let weight = |ip: IpAddr| mix64(ring as u64 ^ KEEPER_SEED, address_number(ip));
        let mut best = (weight(self.own_address), None);
        for ip in self.live_addresses(now) {
            if weight(ip) > best.0 {
                best = (weight(ip), Some(ip));
            }
        }
        best.1
    }

    /// Position of this VM in the order in which live VMs are picked to watch the store.
    ///
    /// VMs that count the same VMs as live agree on that order.
    #[must_use]
    pub fn watcher_rank(&self, now: Timestamp) -> usize {
        let order = |ip: IpAddr| mix64(address_number(ip), WATCHER_ORDER_SEED);
        let own = order(self.own_address);
        self.live_addresses(now)
            .filter(|&ip| order(ip) < own)
            .count()
    }

    /// Addresses of the first live VMs in the order of [`Self::watcher_rank`], this one included.
    #[must_use]
    pub fn first_watchers(&self, now: Timestamp, count: usize) -> Vec<IpAddr> {
        let mut watchers: Vec<IpAddr> = self.live_addresses(now).collect();
        watchers.push(self.own_address);
        watchers.sort_unstable_by_key(|&ip| mix64(address_number(ip), WATCHER_ORDER_SEED));
        watchers.truncate(count);
        watchers
    }

    /// Addresses of all other known VMs, live or not, in ascending order.
    pub fn known_addresses(&self) -> impl Iterator<Item = IpAddr> {
        self.by_address.keys().copied()
    }

    /// Number of other known VMs, live or not.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.by_address.len()
    }
}

fn is_live(member: &Member, now: Timestamp, lost_after: Duration) -> bool {
    member
        .last_heard
        .is_some_and(|heard| heard + lost_after > now)
}

/// Picks the next batch of a rotation through `addresses`.
fn next_batch(
    addresses: &[IpAddr],
    batch_size: usize,
    offset: u64,
    cursor: &mut u64,
) -> Vec<IpAddr> {
    let batches = addresses.len().div_ceil(batch_size).max(1);
    let position = cursor.wrapping_add(offset) % batches as u64;
    let first = usize::try_from(position).unwrap_or(0);
    *cursor = cursor.wrapping_add(1);
    addresses
        .iter()
        .copied()
        .skip(first)
        .step_by(batches)
        .collect()
}

/// Number of an address, by which all VMs order addresses alike without communication.
#[must_use]
pub fn address_number(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => hash64(&ip.octets()),
    }
}
