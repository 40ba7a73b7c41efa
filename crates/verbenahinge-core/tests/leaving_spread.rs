//! All VMs stop using a server that leaves, soon after one of them is told in an answer, though the
//! store is away; in virtual time.

#[path = "support/services.rs"]
mod services;

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{GatewayState, LeavingNews};
use verbenahinge_core::hash::mix64;

use self::services::{plain_call, plain_state, server_entry, server_name};

/// Fleet sizes of today and of the sweep.
const SIZES: [u32; 2] = [9, 300];

const SERVERS: usize = 4;

const STEP: Duration = Duration::from_millis(1);

/// Time that a server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(40);

/// Time that a datagram takes to another VM.
const DATAGRAM_TIME: Duration = Duration::from_millis(3);

/// Share of datagrams that are lost, in thousandths.
const LOST_PER_THOUSAND: u64 = 30;

/// Requests of each VM's callers.
const REQUESTS_PER_S: u64 = 10;

const PLAYED_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy)]
enum Arrival {
    /// Answer to a request of the VM.
    Answer,
    /// Datagram from another VM.
    Datagram,
}

struct Fleet {
    now: Timestamp,
    seed: u64,
    draws: u64,
    vms: Vec<GatewayState>,
    /// What arrives at which VM and when, from or about the leaving server.
    pending: Vec<(Timestamp, usize, Arrival)>,
    /// Time at which each VM learned that the server leaves.
    told_at: Vec<Option<Timestamp>>,
    /// Requests to the leaving server: the time, and the VM.
    sent: Vec<(Timestamp, usize)>,
    datagrams: usize,
}

impl Fleet {
    fn new(size: u32, seed: u64) -> Self {
        let size = size as usize;
        let vms = (0..size).map(|vm| plain_state(vm as u64, SERVERS));
        Self {
            now: Duration::from_secs(1),
            seed,
            draws: 0,
            vms: vms.collect(),
            pending: Vec::new(),
            told_at: vec![None; size],
            sent: Vec::new(),
            datagrams: 0,
        }
    }

    /// Returns a number that depends on the seed and on the numbers drawn before.
    fn draw(&mut self) -> u64 {
        self.draws += 1;
        mix64(self.seed, self.draws)
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for vm in 0..self.vms.len() {
                if self.draw() % 1000 < REQUESTS_PER_S {
                    self.send_request(vm);
                }
            }
        }
    }

    fn send_request(&mut self, vm: usize) {
        let id = self.draw();
        let call = plain_call(id, self.now, 2);
        let choice = self.vms[vm].choose_server(self.now, &call, &[]);
        if *choice.expect("free servers").server == *server_name(0) {
            self.sent.push((self.now, vm));
            let answered_at = self.now + ANSWER_TIME;
            self.pending.push((answered_at, vm, Arrival::Answer));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, vm, arrival) in due {
            let news = self.vms[vm].note_leaving(now, &server_entry(0).start());
            self.told_at[vm].get_or_insert(now);
            if news == LeavingNews::Stopped && matches!(arrival, Arrival::Answer) {
                self.tell_others(vm);
            }
        }
    }

    fn tell_others(&mut self, from: usize) {
        for to in (0..self.vms.len()).filter(|&to| to != from) {
            self.datagrams += 1;
            if self.draw() % 1000 >= LOST_PER_THOUSAND {
                let at = self.now + DATAGRAM_TIME;
                self.pending.push((at, to, Arrival::Datagram));
            }
        }
    }
}

/// Guards against VMs that each send a request to a server that leaves before they know.
#[test]
fn each_vm_asks() {
    for size in SIZES {
        for seed in 0..5 {
            let mut fleet = Fleet::new(size, seed);
            fleet.run_for(PLAYED_TIME);
            let told = fleet.told_at.iter().flatten();
            let first_told = *told.min().expect("a VM was told");
            for &(at, vm) in &fleet.sent {
                assert!(fleet.told_at[vm].is_none_or(|told_at| at <= told_at));
            }
            let late = fleet
                .sent
                .iter()
                .filter(|(at, _)| *at > first_told + DATAGRAM_TIME);
            let late = late.count();
            println!(
                "{size} VMs, seed {seed}: {late} late requests, {} datagrams",
                fleet.datagrams
            );
            // VMs whose datagram is lost ask the server themselves.
            let allowed = 1 + fleet.vms.len() / 20;
            assert!(late <= allowed, "{size} VMs, seed {seed}: {late} requests");
        }
    }
}
