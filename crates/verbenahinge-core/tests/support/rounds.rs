//! Rounds of digests in virtual time, between VMs that know each other, over links that lose some
//! datagrams.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::Members;
use verbenahinge_core::hash::mix64;

/// Share of datagrams that are lost, in thousandths.
const LOST_PER_THOUSAND: u64 = 30;

/// Digest that arrives at a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Delivery {
    /// VM that sent it.
    pub(crate) from: usize,
    /// VM that receives it.
    pub(crate) to: usize,
    /// Whether the digest is a full one.
    pub(crate) is_full: bool,
}

/// Members of a fleet, and the links between them.
pub(crate) struct Rounds {
    pub(crate) members: Vec<Members>,
    seed: u64,
    draws: u64,
}

fn address(index: usize) -> IpAddr {
    let index = u32::try_from(index).expect("few VMs");
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + index))
}

pub(crate) fn index(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => (ip.to_bits() - 0x0a00_0001) as usize,
        IpAddr::V6(_) => unreachable!("the simulated fleet uses IPv4 only"),
    }
}

impl Rounds {
    /// Creates a fleet in which each VM has just heard from all others.
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let mut members = Vec::new();
        for own in 0..size {
            let mut list = Members::new(address(own));
            for other in (0..size).filter(|&other| other != own) {
                list.record_message(Duration::ZERO, address(other));
            }
            members.push(list);
        }
        Self {
            members,
            seed,
            draws: 0,
        }
    }

    /// Returns a number that depends on the seed and on the numbers drawn before.
    pub(crate) fn draw(&mut self) -> u64 {
        self.draws += 1;
        mix64(self.seed, self.draws)
    }

    /// Whether a datagram that is sent now arrives.
    pub(crate) fn arrives(&mut self) -> bool {
        self.draw() % 1000 >= LOST_PER_THOUSAND
    }

    /// Runs the round of each VM and returns the digests that arrive.
    pub(crate) fn step(&mut self, now: Timestamp) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        for from in 0..self.members.len() {
            let round = self.members[from].next_round(now, true);
            for receiver in round.receivers {
                let to = index(receiver);
                if self.arrives() {
                    self.members[to].record_message(now, address(from));
                    deliveries.push(Delivery {
                        from,
                        to,
                        is_full: round.is_full,
                    });
                }
            }
        }
        deliveries
    }
}
