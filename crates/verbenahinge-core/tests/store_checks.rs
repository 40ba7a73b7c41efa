//! A VM has what was changed within three seconds of a disturbance of its connections to the store, whatever
//! it was waiting for, and checks nothing in calm.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    StoreCheck, StoreGap, StoreRow, StoreVersion, TableReplica, needs_read_at_once, watch_timeout,
    watches_store,
};

/// Time after a disturbance at which a VM must have what was changed meanwhile.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(10);

/// Time of a call on a new connection.
const RESPONSE_TIME: Duration = Duration::from_millis(20);

/// Time after its wait at which a call without a response is given up.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(750);

/// Time between two digests of a VM.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

const fn at(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

/// Store that answers no call that was sent in a span of time, or on a connection that was open then.
#[derive(Clone, Copy)]
struct Store {
    silent_from: Timestamp,
    silent_until: Timestamp,
    /// Calls of each VM after the return that are not answered either.
    lost_calls: u32,
    changed_at: Timestamp,
}

impl Store {
    fn version(&self, now: Timestamp) -> StoreVersion {
        StoreVersion::from(if now >= self.changed_at { 2 } else { 1 })
    }

    fn rows(&self, now: Timestamp) -> Vec<StoreRow> {
        let version = self.version(now).number;
        vec![StoreRow {
            key: "config".to_owned(),
            version,
            value: Some(version.to_string().into_bytes().into()),
        }]
    }

    /// Whether a call that is sent at a time is answered.
    fn answers(&self, sent_at: Timestamp, lost: &mut u32) -> bool {
        if sent_at < self.silent_from {
            return true;
        }
        if sent_at < self.silent_until {
            return false;
        }
        *lost += 1;
        *lost > self.lost_calls
    }
}

/// Call that has not been answered.
#[derive(Clone, Copy)]
struct PendingCall {
    sent_at: Timestamp,
    wait: Duration,
    is_answered: bool,
}

impl PendingCall {
    fn response_at(&self, store: &Store) -> Option<Timestamp> {
        let ends_at = self.sent_at + self.wait;
        let is_change_seen = self.sent_at < store.changed_at && store.changed_at < ends_at;
        let at = if is_change_seen {
            store.changed_at
        } else {
            ends_at
        } + RESPONSE_TIME;
        // The connection of a call that is still pending goes silent, too.
        let breaks = self.sent_at < store.silent_from && at >= store.silent_from;
        (self.is_answered && !breaks).then_some(at)
    }
}

/// One VM: its watch and the checks beside it.
struct Vm {
    replica: TableReplica,
    watch: Option<PendingCall>,
    checks: Vec<PendingCall>,
    check: StoreCheck,
    paused_until: Timestamp,
    /// Whether the watch was given up while checks are pending.
    is_watch_over: bool,
    is_failing: bool,
    lost: u32,
    check_count: u32,
    call_count: u32,
}

impl Vm {
    fn new() -> Self {
        Self {
            replica: TableReplica::default(),
            watch: None,
            checks: Vec::new(),
            check: StoreCheck::new(at(0)),
            paused_until: at(0),
            is_watch_over: false,
            is_failing: false,
            lost: 0,
            check_count: 0,
            call_count: 0,
        }
    }

    fn apply(&mut self, now: Timestamp, store: &Store) {
        let version = store.version(now);
        self.replica
            .apply_snapshot(now, version, store.rows(now), StoreGap::None);
        self.watch = None;
        self.checks.clear();
        self.is_watch_over = false;
        self.is_failing = false;
        self.paused_until = now;
    }

    /// Does what is due at a time.
    fn step(&mut self, now: Timestamp, rank: usize, vms: usize, store: &Store) {
        let calls = self.watch.iter().chain(&self.checks);
        let is_answered = calls
            .filter_map(|call| call.response_at(store))
            .any(|at| at <= now);
        if is_answered {
            self.apply(now, store);
        }
        self.checks.retain(|check| check.sent_at + PATIENCE > now);
        if let Some(watch) = self.watch
            && watch.sent_at + watch.wait + PATIENCE <= now
            && !self.is_watch_over
        {
            self.is_watch_over = true;
            self.is_failing = true;
        }
        if self.is_watch_over && self.checks.is_empty() {
            self.watch = None;
            self.is_watch_over = false;
            self.paused_until = now + MAX_BACKOFF;
        }
        let age = self.replica.age(now);
        let may_call = self.watch.is_none() && self.paused_until <= now;
        if may_call && watches_store(rank, vms, age) {
            let wait = if self.is_failing || needs_read_at_once(age) {
                Duration::ZERO
            } else {
                watch_timeout(rank, vms)
            };
            self.watch = Some(PendingCall {
                sent_at: now,
                wait,
                is_answered: store.answers(now, &mut self.lost),
            });
            self.check = StoreCheck::new(now).watcher(rank, vms);
            self.call_count += 1;
        }
        let is_due = self.check.wait(now, age, self.checks.len()).is_zero();
        if self.watch.is_some() && is_due {
            self.check.record_check(now);
            self.check_count += 1;
            self.call_count += 1;
            self.checks.push(PendingCall {
                sent_at: now,
                wait: Duration::ZERO,
                is_answered: store.answers(now, &mut self.lost),
            });
        }
    }

    fn has_change(&self) -> bool {
        self.replica.value("config").as_deref() == Some(b"2")
    }
}

/// Plays a fleet until `until`; returns when the last VM had the change, and the number of checks.
fn play(vms: usize, store: &Store, are_peers_heard: bool, until: Timestamp) -> (Timestamp, u32) {
    let (known_at, fleet) = play_fleet(vms, store, are_peers_heard, until);
    (known_at, fleet.iter().map(|vm| vm.check_count).sum())
}

/// Plays a fleet until `until`; returns when the last VM had the change, and the VMs.
fn play_fleet(
    vms: usize,
    store: &Store,
    are_peers_heard: bool,
    until: Timestamp,
) -> (Timestamp, Vec<Vm>) {
    let mut fleet: Vec<Vm> = (0..vms).map(|_| Vm::new()).collect();
    let mut now = at(0);
    let mut known_at = None;
    while now < until {
        for (rank, vm) in fleet.iter_mut().enumerate() {
            vm.step(now, rank, vms, store);
        }
        let round = now.as_millis() % DIGEST_INTERVAL.as_millis();
        if are_peers_heard && round == 0 {
            exchange_digests(&mut fleet, now);
        }
        if known_at.is_none() && fleet.iter().all(Vm::has_change) {
            known_at = Some(now);
        }
        now += STEP;
    }
    (known_at.expect("the change is never known"), fleet)
}

fn exchange_digests(fleet: &mut [Vm], now: Timestamp) {
    let mut news = Vec::new();
    for vm in fleet.iter() {
        let version = vm.replica.last_changed_version();
        if let (Some(version), Some(age)) = (version, vm.replica.age(now)) {
            news.push((version, age, vm.replica.delta_since(None)));
        }
    }
    for vm in fleet {
        for (version, age, delta) in &news {
            if let Some(delta) = delta {
                drop(vm.replica.apply_delta(delta));
            }
            vm.replica.confirm_current(now, *version, *age);
        }
    }
}

/// Guards against a VM that waits for a watch on a connection that has gone silent, for longer than a change
/// may take: alone, cut off from the others, or in step with all of them.
#[test]
fn silent_connections_hide_change() {
    for vms in [1, 2, 9, 16] {
        for are_peers_heard in [false, true] {
            for silent_ms in (20_000..24_500).step_by(90) {
                let store = Store {
                    silent_from: at(silent_ms),
                    silent_until: at(silent_ms),
                    lost_calls: 0,
                    changed_at: at(silent_ms + 100),
                };
                let (known_at, _) = play(vms, &store, are_peers_heard, at(32_000));
                let delay = known_at.saturating_sub(store.silent_from);
                assert!(
                    delay < STABLE_WINDOW,
                    "{vms} VMs, {silent_ms}: after {delay:?}"
                );
            }
        }
    }
}

/// Guards against calls that are lost with a store that is away, one after the other, until a VM notices its
/// return too late.
#[test]
fn lost_calls_add_up() {
    for vms in [1, 9] {
        for lost_calls in 0..=2 {
            for away_ms in (500..9_000).step_by(170) {
                let store = Store {
                    silent_from: at(20_000),
                    silent_until: at(20_000 + away_ms),
                    lost_calls,
                    changed_at: at(20_050 + away_ms),
                };
                let (known_at, _) = play(vms, &store, false, at(36_000));
                let delay = known_at.saturating_sub(store.silent_until);
                assert!(
                    delay < STABLE_WINDOW,
                    "{vms} VMs, {lost_calls} lost, away for {away_ms} ms: after {delay:?}"
                );
            }
        }
    }
}

/// Guards against calls that a fleet makes in calm to confirm what its watches already do.
#[test]
fn calm_fleet_checks_nothing() {
    for vms in [1, 2, 9, 16] {
        let store = Store {
            silent_from: at(600_000),
            silent_until: at(600_000),
            lost_calls: 0,
            changed_at: at(10_000),
        };
        let (_, checks) = play(vms, &store, true, at(120_000));
        assert_eq!(checks, 0, "{vms} VMs");
    }
}

/// Guards against calls to a silent store that grow with the number of VMs, and against a large fleet that
/// notices its return later than a small one.
#[test]
fn silent_store_calls_grow() {
    let silent = Store {
        silent_from: at(6_000),
        silent_until: at(14_000),
        lost_calls: 0,
        changed_at: at(14_050),
    };
    let calls_of = |vms: usize, store: &Store| {
        let (known_at, fleet) = play_fleet(vms, store, true, at(17_000));
        let calls: u32 = fleet.iter().map(|vm| vm.call_count).sum();
        (known_at.saturating_sub(store.changed_at), calls)
    };
    let (_, most) = calls_of(16, &silent);
    for vms in [90, 295] {
        let (delay, calls) = calls_of(vms, &silent);
        assert!(delay < STABLE_WINDOW, "{vms} VMs: known after {delay:?}");
        // Each VM of a large fleet reads the table once when it starts.
        let starts = u32::try_from(vms).expect("a small fleet");
        assert!(
            calls <= most + starts,
            "{vms} VMs: {calls} calls, 16 VMs: {most}"
        );
    }
}

/// Guards against a fleet whose watchers have all lost the store, and that keeps an old configuration though
/// other VMs reach it.
#[test]
fn lost_watchers_hide_change() {
    let store = Store {
        silent_from: at(6_000),
        silent_until: at(60_000),
        lost_calls: 0,
        changed_at: at(6_100),
    };
    let vms = 295;
    let mut fleet: Vec<Vm> = (0..vms).map(|_| Vm::new()).collect();
    let sound = Store {
        silent_from: at(60_000),
        ..store
    };
    let mut now = at(0);
    while !fleet.iter().all(Vm::has_change) {
        for (rank, vm) in fleet.iter_mut().enumerate() {
            // The watchers, and every second VM beside them, get no response.
            let is_cut_off = rank < 10 || rank % 2 == 0;
            vm.step(now, rank, vms, if is_cut_off { &store } else { &sound });
        }
        if now.as_millis().is_multiple_of(DIGEST_INTERVAL.as_millis()) {
            exchange_digests(&mut fleet, now);
        }
        now += STEP;
        assert!(now < at(12_100), "the change is not known after 6 s");
    }
}
