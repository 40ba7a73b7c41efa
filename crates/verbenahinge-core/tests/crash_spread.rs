//! A request that crashes servers becomes known to all VMs within seconds, whatever else they have on
//! record, in virtual time.

#[path = "support/rounds.rs"]
mod rounds;

use std::time::Duration;

use rounds::Rounds;
use verbenahinge_core::gateway::{
    Bounds, DIGEST_INTERVAL, GatewayState, LostRun, ServerEntry, Suspect,
};
use verbenahinge_core::{Fingerprint, Timestamp};

/// Fleet sizes of today and of the sweep.
const SIZES: [usize; 2] = [9, 300];

/// Time within which all VMs must refuse the request.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const CRASHING: Fingerprint = 1;

struct Fleet {
    now: Timestamp,
    rounds: Rounds,
    vms: Vec<GatewayState>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut vms = Vec::new();
        for vm in 0..size {
            let mut state = GatewayState::new(vm as u64, "a".into(), Bounds::default());
            for server in 0..4 {
                let address = "10.0.0.1:80".parse().expect("address");
                let name = format!("server-{server}");
                state.upsert_server(ServerEntry {
                    started_unix_ms: Some(1),
                    ..ServerEntry::new(&name, "service", address)
                });
            }
            vms.push(state);
        }
        Self {
            now: Duration::from_secs(1),
            rounds: Rounds::new(size, seed),
            vms,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += DIGEST_INTERVAL;
            for delivery in self.rounds.step(self.now) {
                if delivery.is_full {
                    let digest = self.vms[delivery.from].full_digest(self.now);
                    self.vms[delivery.to].apply_digest(self.now, &digest);
                }
            }
        }
    }

    fn record_crash(&mut self, vm: usize, server: usize, fingerprint: Fingerprint) {
        let name = format!("server-{server}");
        let crash = self.vms[vm].crash_id(&name);
        self.vms[vm].note_crash(
            self.now,
            crash,
            &[LostRun::new(self.now, [Suspect::request(fingerprint)])],
        );
    }

    fn unaware_vms(&self) -> usize {
        let unaware = self.vms.iter().filter(|vm| !vm.is_quarantined(CRASHING));
        unaware.count()
    }
}

/// Guards against old records that refresh each other and fill every digest.
#[test]
fn old_records_crowd_out_new_ones() {
    let mut fleet = Fleet::new(9, 1);
    for fingerprint in 0..40 {
        let vm = usize::try_from(fingerprint).expect("few") % 9;
        fleet.record_crash(vm, 0, 100 + fingerprint);
    }
    fleet.run_for(Duration::from_secs(20));
    // The VM hears from all others between the crashes and its own digest.
    fleet.record_crash(8, 1, CRASHING);
    fleet.record_crash(8, 2, CRASHING);
    fleet.run_for(STABLE_WINDOW);
    assert_eq!(fleet.unaware_vms(), 0);
}

/// Guards against a quarantined request that is left out because many others were running beside it.
#[test]
fn suspects_crowd_out_quarantined() {
    let mut fleet = Fleet::new(9, 2);
    fleet.record_crash(0, 1, CRASHING);
    fleet.record_crash(0, 2, CRASHING);
    fleet.now += DIGEST_INTERVAL;
    for fingerprint in 0..60 {
        fleet.record_crash(0, 3, 100 + fingerprint);
    }
    fleet.run_for(STABLE_WINDOW);
    assert_eq!(fleet.unaware_vms(), 0);
}

/// Guards against records that VMs send each other for ever.
#[test]
fn records_never_expire() {
    let mut fleet = Fleet::new(9, 3);
    fleet.record_crash(0, 1, CRASHING);
    fleet.record_crash(0, 2, CRASHING);
    for _ in 0..90 {
        fleet.run_for(Duration::from_secs(10));
        for vm in &mut fleet.vms {
            vm.tick(fleet.now, Duration::from_secs(5));
        }
    }
    assert_eq!(fleet.unaware_vms(), 9);
}

/// Guards against records that only full digests carry, which take a rotation in a large fleet.
#[test]
fn records_reach_large_fleets_late() {
    for size in SIZES {
        for seed in 0..3 {
            let mut fleet = Fleet::new(size, seed);
            fleet.record_crash(0, 1, CRASHING);
            fleet.record_crash(0, 2, CRASHING);
            fleet.run_for(STABLE_WINDOW);
            assert_eq!(fleet.unaware_vms(), 0, "{size} VMs, seed {seed}");
        }
    }
}
