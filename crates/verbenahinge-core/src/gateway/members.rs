//! Which other VMs live, and to which of them a VM writes in a round.
//!
//! Load pattern: fleets of two to five hundred VMs that start at once, lose members and gain them.
//! Where VMs are few, each writes to all; where they are many, each writes to a few in turn, and
//! the time after which a silent VM counts as lost grows with the time that a turn takes. A VM
//! that was never written to comes first, so that a fleet that starts finds itself within
//! seconds. See `docs/design/members.md`.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::hash::{hash64, mix64};

/// Time between two rounds; a few of them fit into the time that an engine takes for one prompt.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds after which a complete digest is sent, also when nothing has changed.
const FULL_EVERY: u32 = 5;

/// Rounds after which VMs that are many tell each other what they know of the store.
const GOSSIP_EVERY: u32 = 3;

/// VMs that a VM sends its digests to at most.
const FANOUT: usize = 16;

/// VMs that count as lost and are tried in one round: a quarter of the others.
const LOST_FANOUT: usize = 4;

/// VMs that are written to for the first time in one round: five hundred in two seconds.
const FIRST_FANOUT: usize = 32;

/// VMs that one digest names, so that all learn of all.
const MEMBERS_NAMED: usize = 6;

/// Shortest time after which a VM that was not heard of counts as lost: ten full digests.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// Turns that a VM may miss before it counts as lost: two in a row may be lost on the way.
const TURNS_MISSED: u32 = 3;

/// Shortest time after which a VM that was not heard of is forgotten: several times that of a
/// restart, so that a VM which returns is still known.
const FORGET_AFTER: Duration = Duration::from_secs(40);

/// Sets the order by which VMs agree on who watches the store apart from other orders.
const WATCH_ORDER: u64 = 0x7761_7463;

#[derive(Clone, Copy, Debug)]
struct Member {
    heard: Option<Timestamp>,
    added: Timestamp,
    is_tried: bool,
}

/// What a VM sends in one round, and to whom.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Round {
    /// Whether the digest says all that is known, and not only what has changed.
    pub is_full: bool,
    /// VMs that get the digest.
    pub receivers: Vec<IpAddr>,
}

/// The other VMs that a VM knows of.
#[derive(Clone, Debug)]
pub struct Members {
    own: IpAddr,
    round: u32,
    live_turn: usize,
    lost_turn: usize,
    by_address: BTreeMap<IpAddr, Member>,
}

impl Members {
    /// Creates the list of a VM that knows of no other one.
    #[must_use]
    pub const fn new(own: IpAddr) -> Self {
        Self {
            own,
            round: 0,
            live_turn: 0,
            lost_turn: 0,
            by_address: BTreeMap::new(),
        }
    }

    /// Address of this VM.
    #[must_use]
    pub const fn own(&self) -> IpAddr {
        self.own
    }

    /// Takes note of a VM that may exist.
    pub fn add(&mut self, now: Timestamp, ip: IpAddr) {
        if ip != self.own {
            let member = Member {
                heard: None,
                added: now,
                is_tried: false,
            };
            self.by_address.entry(ip).or_insert(member);
        }
    }

    /// Forgets a VM that is about to end.
    pub fn remove(&mut self, ip: IpAddr) {
        self.by_address.remove(&ip);
    }

    /// Takes note of a word from a VM; says whether it did not count as live.
    pub fn hear(&mut self, now: Timestamp, ip: IpAddr) -> bool {
        let member = Member {
            heard: Some(now),
            added: now,
            is_tried: true,
        };
        let lost_after = self.lost_after();
        let old = self.by_address.insert(ip, member);
        old.is_none_or(|old| !is_live(&old, now, lost_after))
    }

    /// Time after which a VM that was not heard of counts as lost.
    #[must_use]
    pub fn lost_after(&self) -> Duration {
        let turns = u32::try_from(self.by_address.len().div_ceil(FANOUT)).unwrap_or(u32::MAX);
        let turn_time = DIGEST_INTERVAL * GOSSIP_EVERY;
        LOST_AFTER.max(turn_time.saturating_mul(turns.saturating_mul(TURNS_MISSED)))
    }

    /// Begins a round; `has_changed` says whether the load on servers has changed.
    pub fn next_round(&mut self, now: Timestamp, has_changed: bool) -> Round {
        self.round = self.round.wrapping_add(1);
        self.forget_old(now);
        let is_large = self.is_large(now);
        let is_full = self.round.is_multiple_of(FULL_EVERY);
        let mut receivers = self.untried();
        let is_due = if is_large {
            self.round.is_multiple_of(GOSSIP_EVERY)
        } else {
            is_full || has_changed
        };
        if is_due {
            let live: Vec<IpAddr> = self.live(now).collect();
            receivers.extend(take_turn(&live, FANOUT, &mut self.live_turn));
        }
        if is_due && (is_full || is_large) {
            let lost = self.lost(now);
            receivers.extend(take_turn(&lost, LOST_FANOUT, &mut self.lost_turn));
        }
        Round { is_full, receivers }
    }

    fn forget_old(&mut self, now: Timestamp) {
        let forget_after = FORGET_AFTER.max(self.lost_after() * 2);
        self.by_address.retain(|_, member| {
            let last = member
                .heard
                .map_or(member.added, |heard| heard.max(member.added));
            last + forget_after > now
        });
    }

    /// VMs that are written to for the first time.
    fn untried(&mut self) -> Vec<IpAddr> {
        let mut untried = Vec::new();
        for (&ip, member) in &mut self.by_address {
            if member.is_tried {
                continue;
            }
            if untried.len() == FIRST_FANOUT {
                break;
            }
            member.is_tried = true;
            untried.push(ip);
        }
        untried
    }

    /// VMs that were written to and do not count as live.
    fn lost(&self, now: Timestamp) -> Vec<IpAddr> {
        let lost_after = self.lost_after();
        let lost = self.by_address.iter();
        let lost = lost.filter(|(_, member)| member.is_tried && !is_live(member, now, lost_after));
        lost.map(|(&ip, _)| ip).collect()
    }

    /// Addresses of some VMs, other ones in each round and from each VM, so that all learn of all.
    #[must_use]
    pub fn named(&self) -> Vec<IpAddr> {
        let count = self.by_address.len();
        let turn = hash64(&self.round.to_be_bytes());
        let skip = mix64(turn, address_number(self.own)) % (count.max(1) as u64);
        let addresses = self.by_address.keys().copied().cycle();
        let skip = usize::try_from(skip).unwrap_or(0);
        addresses
            .skip(skip)
            .take(MEMBERS_NAMED.min(count))
            .collect()
    }

    /// Addresses that a VM is told which did not count as live: all of them if it knows of fewer.
    #[must_use]
    pub fn told_to_new(&self, known: usize) -> Vec<IpAddr> {
        if known < self.by_address.len() {
            self.by_address.keys().copied().collect()
        } else {
            Vec::new()
        }
    }

    /// Addresses of other VMs that live, in order.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = IpAddr> {
        let lost_after = self.lost_after();
        let live = self.by_address.iter();
        live.filter_map(move |(&ip, member)| is_live(member, now, lost_after).then_some(ip))
    }

    /// Says whether there are too many VMs for each to tell each other one its load.
    #[must_use]
    pub fn is_large(&self, now: Timestamp) -> bool {
        self.live(now).count() > FANOUT
    }

    /// Place of this VM among those that live, the same on all of them.
    #[must_use]
    pub fn rank(&self, now: Timestamp) -> usize {
        let order = |ip: IpAddr| mix64(address_number(ip), WATCH_ORDER);
        let own = order(self.own);
        self.live(now).filter(|&ip| order(ip) < own).count()
    }

    /// Addresses of all VMs that are known of, in order.
    pub fn all(&self) -> impl Iterator<Item = IpAddr> {
        self.by_address.keys().copied()
    }

    /// Number of VMs that are known of.
    #[must_use]
    pub fn known(&self) -> usize {
        self.by_address.len()
    }
}

fn is_live(member: &Member, now: Timestamp, lost_after: Duration) -> bool {
    member.heard.is_some_and(|heard| heard + lost_after > now)
}

/// Takes the next addresses of those that are written to in turn.
fn take_turn(addresses: &[IpAddr], at_once: usize, turn: &mut usize) -> Vec<IpAddr> {
    let turns = addresses.len().div_ceil(at_once).max(1);
    let first = *turn % turns;
    *turn = first + 1;
    addresses
        .iter()
        .copied()
        .skip(first)
        .step_by(turns)
        .collect()
}

/// Number of an address, by which VMs agree on an order without a word.
#[must_use]
pub fn address_number(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => hash64(&ip.octets()),
    }
}
