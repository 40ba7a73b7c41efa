//! Who lives in a fleet, in virtual time: fleets of 30 to 500 VMs that find each other, stay in
//! touch, and learn of losses.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{DIGEST_INTERVAL, Members};

/// Sizes of issue 10 and of the target.
const SIZES: [u32; 4] = [30, 90, 300, 500];

/// VMs whose addresses a VM gets at its start, at most (the platform's pages).
const SEEDS: u32 = 3;

/// Messages that a VM may send in a second: sixteen in each third round.
const MOST_MESSAGES_S: usize = 53;

fn address(index: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0001 + index))
}

/// A fleet whose messages arrive within the round that they are sent in.
struct Fleet {
    now: Timestamp,
    vms: Vec<Option<Members>>,
    messages: usize,
    named: usize,
    links: usize,
}

impl Fleet {
    /// Starts VMs that know the first three at most.
    fn start(size: u32) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            vms: Vec::new(),
            messages: 0,
            named: 0,
            links: 0,
        };
        for index in 0..size {
            let mut members = Members::new(address(index));
            for seed in 0..SEEDS {
                members.add(Duration::ZERO, address(seed));
            }
            fleet.vms.push(Some(members));
        }
        fleet
    }

    fn index(ip: IpAddr) -> usize {
        match ip {
            IpAddr::V4(ip) => (ip.to_bits() - 0x0a00_0001) as usize,
            IpAddr::V6(_) => unreachable!("the fleet has no such address"),
        }
    }

    /// Plays rounds of all VMs.
    fn play(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += DIGEST_INTERVAL;
            for index in 0..self.vms.len() {
                self.send(index);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let Some(members) = &mut self.vms[index] else {
            return;
        };
        let from = members.own();
        let round = members.next_round(self.now, true);
        let mut mail: VecDeque<_> = VecDeque::new();
        for to in round.receivers {
            let named = if round.is_full {
                members.named()
            } else {
                Vec::new()
            };
            mail.push_back((from, to, members.known(), named));
        }
        while let Some((from, to, known, named)) = mail.pop_front() {
            self.messages += 1;
            self.named += named.len();
            let Some(members) = &mut self.vms[Self::index(to)] else {
                continue;
            };
            for ip in named {
                members.add(self.now, ip);
            }
            if members.hear(self.now, from) {
                self.links += 1;
                let told = members.told_to_new(known);
                mail.push_back((to, from, members.known(), told));
            }
        }
    }

    fn live(&self) -> impl Iterator<Item = &Members> {
        self.vms.iter().flatten()
    }

    /// Number of live VMs that the least informed VM counts as live, itself too.
    fn least_known(&self) -> usize {
        let known = self
            .live()
            .map(|members| members.live(self.now).count() + 1);
        known.min().unwrap_or(0)
    }
}

#[test]
fn found_from_seeds() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.play(Duration::from_secs(2));
        assert_eq!(fleet.least_known(), size as usize, "{size} VMs");
        let (messages, named) = (fleet.messages / size as usize, fleet.named / size as usize);
        println!("{size} VMs: {messages} messages a VM, {named} addresses");
    }
}

#[test]
fn none_is_lost() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.play(Duration::from_secs(10));
        fleet.links = 0;
        for _ in 0..40 {
            fleet.play(Duration::from_secs(1));
            assert_eq!(
                fleet.least_known(),
                size as usize,
                "{size} VMs at {:?}",
                fleet.now
            );
        }
        assert_eq!(fleet.links, 0, "{size} VMs link again");
    }
}

#[test]
fn losses_are_noticed() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.play(Duration::from_secs(10));
        for index in (0..size as usize).step_by(3) {
            fleet.vms[index] = None;
        }
        let left = fleet.live().count();
        let lost_after = fleet.live().map(Members::lost_after).max();
        fleet.play(lost_after.expect("a VM lives"));
        fleet.play(DIGEST_INTERVAL);
        let most = fleet.live().map(|vm| vm.live(fleet.now).count() + 1).max();
        assert_eq!(
            (fleet.least_known(), most),
            (left, Some(left)),
            "{size} VMs"
        );
    }
}

#[test]
fn new_one_is_found() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.play(Duration::from_secs(10));
        let mut late = Members::new(address(size));
        late.add(fleet.now, address(1));
        fleet.vms.push(Some(late));
        fleet.named = 0;
        fleet.play(Duration::from_secs(2));
        assert_eq!(fleet.least_known(), size as usize + 1, "{size} VMs");
    }
}

#[test]
fn messages_stay_few() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.play(Duration::from_secs(10));
        fleet.messages = 0;
        fleet.named = 0;
        fleet.play(Duration::from_secs(20));
        let vms_times_s = size as usize * 20;
        let (messages, named) = (fleet.messages / vms_times_s, fleet.named / vms_times_s);
        println!("{size} VMs: {messages} messages a second and VM, {named} addresses");
        assert!(
            messages <= MOST_MESSAGES_S,
            "{size} VMs: {messages} messages a second"
        );
    }
}
