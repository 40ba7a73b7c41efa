//! Servers that name a limit for all VMs together, in virtual time: the limit is kept, and most of it
//! is used, however callers are spread over the VMs.

#[path = "support/rounds.rs"]
mod rounds;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rounds::Rounds;
use verbenahinge_core::gateway::{
    Bounds, Call, DIGEST_INTERVAL, GatewayState, PlacementError, Route, RouteKind, ServerEntry,
    TrafficShare,
};
use verbenahinge_core::hash::hash64;
use verbenahinge_core::{ServerName, Timestamp};

/// Interval between two looks for arrivals.
const STEP: Duration = Duration::from_millis(20);

/// Time that a server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Time after the first naming from which the limit holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const WINDOW: Duration = Duration::from_secs(4);

const PLAYED_TIME: Duration = Duration::from_secs(30);

const SERVERS: usize = 4;

/// Number of VMs above which one VM hands out permits for each server.
const LARGE_FLEET: usize = 17;

/// How callers are spread over the VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Spread {
    Even,
    /// One VM gets three requests in four.
    OneVm,
}

struct Fleet {
    now: Timestamp,
    rounds: Rounds,
    vms: Vec<GatewayState>,
    limit_per_s: Option<f64>,
    next_call: u64,
    pending: Vec<(Timestamp, usize, u64, ServerName, Timestamp)>,
    sent: BTreeMap<ServerName, Vec<Timestamp>>,
    refused: usize,
}

fn call(id: u64, now: Timestamp, priority: u8) -> Call {
    let route = Route {
        name: "read".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(150),
        gap_target: None,
        priority,
        shares: vec![TrafficShare {
            service: "service".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
        resumable: false,
    };
    Call {
        id,
        route: Arc::new(route),
        service: "service".into(),
        account: None,
        prompt: None,
        fingerprint: id,
        arrived: now,
        waiting_since: now,
        deadline: now + Duration::from_secs(2),
        version: None,
    }
}

impl Fleet {
    fn new(size: usize, seed: u64, limit_per_s: Option<f64>) -> Self {
        let mut vms = Vec::new();
        for vm in 0..size {
            let mut state = GatewayState::new(1 + vm as u64, "a".into(), Bounds::default());
            for server in 0..SERVERS {
                let address = "10.0.0.1:80".parse().expect("address");
                let name = format!("server-{server}");
                state.upsert_server(ServerEntry::new(&name, "service", address).slots(64));
            }
            state.set_uses_permits(size > LARGE_FLEET);
            vms.push(state);
        }
        let mut fleet = Self {
            now: Duration::from_secs(1),
            rounds: Rounds::new(size, seed),
            vms,
            limit_per_s,
            next_call: 0,
            pending: Vec::new(),
            sent: BTreeMap::new(),
            refused: 0,
        };
        fleet.run_for(lost_after(size), 0.0, Spread::Even);
        fleet
    }

    fn run_for(&mut self, time: Duration, requests_per_s: f64, spread: Spread) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.answer();
            if self
                .now
                .as_millis()
                .is_multiple_of(DIGEST_INTERVAL.as_millis())
            {
                self.exchange_digests();
            }
            let mut expected = requests_per_s * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.draw_share() < expected {
                    self.arrive(spread);
                }
                expected -= 1.0;
            }
        }
    }

    fn draw_share(&mut self) -> f64 {
        let bits = u32::try_from(self.rounds.draw() >> 32).expect("32 bits");
        f64::from(bits) / f64::from(u32::MAX)
    }

    fn arrive(&mut self, spread: Spread) {
        let vm = if spread == Spread::OneVm && self.draw_share() < 0.75 {
            0
        } else {
            usize::try_from(self.rounds.draw() % self.vms.len() as u64).expect("few VMs")
        };
        self.arrive_at(vm, 2);
    }

    /// Handles one request; returns whether it was sent to a server.
    fn arrive_at(&mut self, vm: usize, priority: u8) -> bool {
        self.next_call += 1;
        let call = call(self.next_call, self.now, priority);
        let state = &mut self.vms[vm];
        state.note_arrival(self.now, &call);
        let choice = state.choose_server(self.now, &call, &[]);
        let choice = match choice {
            Ok(choice) if !self.is_permitted(vm, &choice.server) => {
                Err(self.vms[vm].refuse_limited(self.now, &call))
            }
            choice => choice,
        };
        let state = &mut self.vms[vm];
        match choice {
            Ok(choice) => {
                state.note_sent(self.now, &call, &choice);
                let server = choice.server.clone();
                self.sent.entry(server.clone()).or_default().push(self.now);
                let answered_at = self.now + ANSWER_TIME;
                self.pending
                    .push((answered_at, vm, call.id, server, self.now));
                true
            }
            Err(PlacementError::Limited(_)) => {
                self.refused += 1;
                false
            }
            Err(other) => panic!("{other:?}"),
        }
    }

    /// Asks for a permit in a large fleet; each server's come from one VM.
    fn is_permitted(&mut self, vm: usize, server: &str) -> bool {
        if !self.vms[vm].needs_permit(server) {
            return true;
        }
        let hash = hash64(server.as_bytes());
        let home = usize::try_from(hash % self.vms.len() as u64).expect("few VMs");
        let report = self.vms[vm].limit_report(self.now, hash);
        let reports: Vec<_> = report.into_iter().collect();
        let sender = 1 + vm as u64;
        self.vms[home].apply_limit_reports(self.now, sender, &reports);
        self.vms[home].grant_permit(self.now, hash)
    }

    fn answer(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, vm, id, server, sent_at) in due {
            let state = &mut self.vms[vm];
            state.note_ended(id, &server);
            let has_changed = state.note_limit(now, &server, sent_at, self.limit_per_s);
            if has_changed && self.vms.len() > LARGE_FLEET {
                self.push_limit(vm, &server);
            }
        }
    }

    /// Tells all other VMs of a change at once, as in a large fleet.
    fn push_limit(&mut self, from: usize, server: &str) {
        let report = self.vms[from].limit_report(self.now, hash64(server.as_bytes()));
        let reports: Vec<_> = report.into_iter().collect();
        for to in (0..self.vms.len()).filter(|&to| to != from) {
            if self.rounds.arrives() {
                let sender = 1 + from as u64;
                self.vms[to].apply_limit_reports(self.now, sender, &reports);
            }
        }
    }

    fn exchange_digests(&mut self) {
        for delivery in self.rounds.step(self.now) {
            let sender = &self.vms[delivery.from];
            let digest = sender.digest_without_load(self.now);
            let reports = if delivery.is_full {
                sender.limit_reports(self.now)
            } else {
                Vec::new()
            };
            let receiver = &mut self.vms[delivery.to];
            receiver.apply_digest(self.now, &digest);
            receiver.apply_limit_reports(self.now, digest.vm, &reports);
        }
    }

    /// Largest number of requests that a server got in one window.
    fn most_in_window(&self) -> usize {
        let mut most = 0;
        for times in self.sent.values() {
            for &start in times {
                let in_window = times
                    .iter()
                    .filter(|&&time| time >= start && time < start + WINDOW);
                most = most.max(in_window.count());
            }
        }
        most
    }
}

/// Time after which every VM of a fleet has heard of every other.
fn lost_after(size: usize) -> Duration {
    if size > 16 {
        Duration::from_secs(9)
    } else {
        Duration::from_secs(1)
    }
}

/// Plays a service whose servers are all limited; returns the most requests in a window and the part
/// of the limits that is used.
fn play(size: usize, seed: u64, limit_per_s: f64, spread: Spread) -> (usize, f64) {
    let all = limit_per_s * 4.0;
    let requests_per_s = all * 3.0;
    let mut fleet = Fleet::new(size, seed, Some(limit_per_s));
    fleet.run_for(SETTLE_TIME, requests_per_s, spread);
    fleet.sent.clear();
    fleet.run_for(PLAYED_TIME, requests_per_s, spread);
    let sent: usize = fleet.sent.values().map(Vec::len).sum();
    let sent = f64::from(u32::try_from(sent).expect("few"));
    (
        fleet.most_in_window(),
        sent / (all * PLAYED_TIME.as_secs_f64()),
    )
}

#[test]
fn limits_hold_over_all_vms() {
    for size in [9, 300] {
        for limit_per_s in [2.4, 20.0] {
            for spread in [Spread::Even, Spread::OneVm] {
                let mut used = 0.0;
                let mut most = 0;
                for seed in 0..3 {
                    let (in_window, share) = play(size, seed, limit_per_s, spread);
                    most = most.max(in_window);
                    used += share / 3.0;
                }
                println!(
                    "{size} VMs, limit {limit_per_s}, {spread:?}: {most} in a window, {used:.2} used"
                );
                let allowed = limit_per_s * WINDOW.as_secs_f64() * 1.5 + 5.0;
                let most = f64::from(u32::try_from(most).expect("few"));
                assert!(
                    most <= allowed,
                    "{size} VMs, limit {limit_per_s}, {spread:?}: {most}"
                );
            }
        }
    }
}

#[test]
fn ended_limits_are_forgotten() {
    for size in [9, 300] {
        let mut fleet = Fleet::new(size, 1, Some(2.4));
        fleet.run_for(SETTLE_TIME * 2, 40.0, Spread::Even);
        fleet.limit_per_s = None;
        fleet.run_for(Duration::from_secs(20), 40.0, Spread::Even);
        fleet.refused = 0;
        fleet.run_for(Duration::from_secs(5), 40.0, Spread::Even);
        assert_eq!(fleet.refused, 0, "{size} VMs");
    }
}

#[test]
fn falling_limits_hold() {
    let mut fleet = Fleet::new(9, 1, Some(20.0));
    fleet.run_for(SETTLE_TIME * 2, 200.0, Spread::Even);
    fleet.limit_per_s = Some(2.0);
    fleet.run_for(SETTLE_TIME, 200.0, Spread::Even);
    fleet.sent.clear();
    fleet.run_for(Duration::from_secs(12), 200.0, Spread::Even);
    assert!(fleet.most_in_window() <= 17, "{}", fleet.most_in_window());
}

#[test]
fn restarted_servers_have_no_limit() {
    let mut fleet = Fleet::new(1, 1, Some(0.5));
    fleet.run_for(SETTLE_TIME, 20.0, Spread::Even);
    fleet.limit_per_s = None;
    let state = &mut fleet.vms[0];
    for server in 0..SERVERS {
        let address = "10.0.0.1:80".parse().expect("address");
        let name = format!("server-{server}");
        state.upsert_server(ServerEntry {
            started_unix_ms: Some(2),
            ..ServerEntry::new(&name, "service", address).slots(64)
        });
        assert_eq!(state.limit_per_s(&name), None);
    }
    assert!(fleet.arrive_at(0, 2));
}

/// Less urgent requests don't take what the limits leave while more urgent ones are refused, and
/// still are not starved.
#[test]
fn urgent_requests_come_first() {
    let mut fleet = Fleet::new(1, 1, Some(1.0));
    fleet.run_for(SETTLE_TIME, 20.0, Spread::Even);
    let mut served = [0, 0];
    for _ in 0..1000 {
        fleet.run_for(STEP, 0.0, Spread::Even);
        // The less urgent one comes first each time.
        served[1] += usize::from(fleet.arrive_at(0, 3));
        served[0] += usize::from(fleet.arrive_at(0, 1));
    }
    // Twenty seconds at four requests per second.
    assert!(served[0] >= 60, "{served:?}");
    assert!((5..=20).contains(&served[1]), "{served:?}");
}

/// Guards against a limit of zero, under which no request would ever tell that it has ended.
#[test]
fn zero_limits_end() {
    for size in [1, 9] {
        let mut fleet = Fleet::new(size, 1, Some(0.0));
        fleet.run_for(SETTLE_TIME, 40.0, Spread::Even);
        fleet.sent.clear();
        fleet.run_for(WINDOW, 40.0, Spread::Even);
        assert!(fleet.most_in_window() <= 5, "{}", fleet.most_in_window());
        fleet.limit_per_s = None;
        fleet.run_for(Duration::from_mins(2), 40.0, Spread::Even);
        fleet.refused = 0;
        fleet.run_for(SETTLE_TIME, 40.0, Spread::Even);
        assert_eq!(fleet.refused, 0, "{size} VMs");
    }
}

/// Guards against requests that yield the little that limits leave, though the limited servers have
/// left and a server without a limit is free.
#[test]
fn departed_servers_count_as_limited() {
    let mut fleet = Fleet::new(1, 1, Some(1.0));
    fleet.run_for(SETTLE_TIME, 20.0, Spread::Even);
    while fleet.arrive_at(0, 3) {}
    fleet.run_for(Duration::from_secs(1), 0.0, Spread::Even);
    assert!(fleet.arrive_at(0, 3));
    while fleet.arrive_at(0, 1) {}
    let now = fleet.now;
    let state = &mut fleet.vms[0];
    for server in 0..SERVERS - 1 {
        let name = format!("server-{server}");
        let start = state.registry().get(&name).expect("an entry").start();
        state.note_leaving(now, &start);
    }
    // The remaining server names no limit any more.
    let free = format!("server-{}", SERVERS - 1);
    state.note_limit(now, &free, now, None);
    assert!(fleet.arrive_at(0, 3));
}
