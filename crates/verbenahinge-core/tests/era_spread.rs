//! A store that returns from an older copy, in virtual time: how long it takes until all VMs of a
//! fleet have what the operator writes then, and how many calls that costs the store.

#[path = "support/rounds.rs"]
mod rounds;

use std::sync::Arc;
use std::time::Duration;

use rounds::Rounds;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    DIGEST_INTERVAL, FeedDelta, StoreGap, StoreRow, StoreVersion, TableReplica, watches_store,
};
use verbenahinge_core::hash::jitter;

const SIZES: [usize; 2] = [9, 300];

const SEEDS: std::ops::Range<u64> = 0..20;

/// Time within which an accepted configuration must be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Calls of all VMs together that the store takes per second.
const STORE_CALLS_PER_S: usize = 2000;

/// Versions that the store gives out a second time after each return.
const LOST_VERSIONS: u64 = 30;

/// Time for which a push is waited for before changes are fetched from another VM.
const PUSH_WAIT: Duration = Duration::from_millis(120);

#[derive(Clone, Copy)]
struct Store {
    version: StoreVersion,
    config: u64,
    config_version: u64,
}

impl Store {
    fn write(&mut self, config: u64) {
        self.version.number += 1;
        self.config = config;
        self.config_version = self.version.number;
    }

    fn return_from_copy(&mut self, config: u64) {
        self.version.era += 1;
        self.version.number -= LOST_VERSIONS;
        self.config = config;
        self.config_version = self.version.number;
    }

    fn row(&self) -> StoreRow {
        StoreRow {
            key: "config".to_owned(),
            version: self.config_version,
            value: Some(Arc::from(self.config.to_string().as_bytes())),
        }
    }
}

/// Replica of one VM, and the version of another VM that it has heard of and lacks.
#[derive(Clone, Default)]
struct Vm {
    replica: TableReplica,
    newer: Option<(usize, StoreVersion, Timestamp)>,
}

impl Vm {
    fn has(&self, config: u64) -> bool {
        let value = self.replica.value("config");
        value.as_deref() == Some(config.to_string().as_bytes())
    }
}

struct Fleet {
    now: Timestamp,
    rounds: Rounds,
    store: Store,
    vms: Vec<Vm>,
    calls: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let store = Store {
            version: StoreVersion::new(1, 100),
            config: 0,
            config_version: 100,
        };
        let mut fleet = Self {
            now: Duration::ZERO,
            rounds: Rounds::new(size, seed),
            store,
            vms: vec![Vm::default(); size],
            calls: 0,
        };
        fleet.run_for(Duration::from_secs(3));
        fleet
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += DIGEST_INTERVAL;
        for vm in 0..self.vms.len() {
            self.watch(vm);
        }
        for delivery in self.rounds.step(self.now) {
            let sender = &self.vms[delivery.from].replica;
            let (Some(version), Some(age)) = (sender.last_changed_version(), sender.age(self.now))
            else {
                continue;
            };
            self.hear_version(delivery.from, delivery.to, version, age);
        }
        for vm in 0..self.vms.len() {
            self.fetch(vm);
        }
    }

    /// Reads the store, if this VM watches it and the store has changed.
    fn watch(&mut self, vm: usize) {
        let members = &self.rounds.members[vm];
        let rank = members.watcher_rank(self.now);
        let vms = members.live_addresses(self.now).count() + 1;
        let replica = &mut self.vms[vm].replica;
        if !watches_store(rank, vms, replica.age(self.now)) {
            return;
        }
        let applied = replica.applied_until();
        if applied == Some(self.store.version) {
            replica.confirm_current(self.now, self.store.version, Duration::ZERO);
            return;
        }
        self.calls += 1;
        let base = replica.last_changed_version();
        let rows = vec![self.store.row()];
        let version = self.store.version;
        let continues = applied.is_some_and(|applied| applied.era == version.era);
        let changes = if continues {
            replica.apply_changes(self.now, version, rows, StoreGap::None)
        } else {
            // The response of the watch names another era, and the whole table is read.
            self.calls += 1;
            replica.apply_snapshot(self.now, version, rows, StoreGap::None)
        };
        let delta = base.and_then(|base| replica.delta_since(Some(base)));
        if let (false, Some(delta)) = (changes.is_empty(), delta) {
            self.push(vm, &delta);
        }
    }

    fn push(&mut self, from: usize, delta: &FeedDelta) {
        for to in (0..self.vms.len()).filter(|&to| to != from) {
            if self.rounds.arrives() {
                self.vms[to].replica.apply_delta(delta);
                self.hear_version(from, to, delta.version, Duration::ZERO);
            }
        }
    }

    fn hear_version(&mut self, from: usize, to: usize, version: StoreVersion, age: Duration) {
        let wait = PUSH_WAIT + jitter(self.rounds.draw(), PUSH_WAIT);
        let vm = &mut self.vms[to];
        if vm.replica.is_behind(version) {
            vm.newer.get_or_insert((from, version, self.now + wait));
        }
        vm.replica.confirm_current(self.now, version, age);
    }

    /// Fetches from the VM whose replica is newer: the whole table across eras.
    fn fetch(&mut self, vm: usize) {
        let Some((from, version, at)) = self.vms[vm].newer else {
            return;
        };
        if at > self.now {
            return;
        }
        self.vms[vm].newer = None;
        let replica = &self.vms[vm].replica;
        let same_era = |applied: &StoreVersion| applied.era == version.era;
        let since = replica.applied_until().filter(same_era);
        if let Some(delta) = self.vms[from].replica.delta_since(since) {
            self.vms[vm].replica.apply_delta(&delta);
        }
    }

    /// Time until all VMs have a configuration.
    fn time_until_all_have(&mut self, config: u64) -> Duration {
        let started = self.now;
        while !self.vms.iter().all(|vm| vm.has(config)) {
            self.step();
            let passed = self.now.saturating_sub(started);
            assert!(passed < Duration::from_mins(1), "some VMs never learn it");
        }
        self.now.saturating_sub(started)
    }
}

#[test]
fn config_spreads_after_rollback() {
    for size in SIZES {
        let mut times = Vec::new();
        for seed in SEEDS {
            let mut fleet = Fleet::new(size, seed);
            fleet.store.write(1);
            fleet.run_for(Duration::from_secs(4));
            // The second return follows before the first has reached all VMs.
            fleet.store.return_from_copy(0);
            fleet.run_for(DIGEST_INTERVAL);
            fleet.store.return_from_copy(0);
            fleet.store.write(2);
            fleet.calls = 0;
            let time = fleet.time_until_all_have(2);
            assert!(time <= CONFIG_APPLY, "{size} VMs, seed {seed}: {time:?}");
            assert!(
                fleet.calls <= STORE_CALLS_PER_S / 3,
                "{size} VMs: {} calls",
                fleet.calls
            );
            times.push((time, fleet.calls));
        }
        times.sort_unstable();
        println!(
            "{size} VMs: slowest {:?}, median {:?} (time, calls)",
            times[times.len() - 1],
            times[times.len() / 2]
        );
    }
}
