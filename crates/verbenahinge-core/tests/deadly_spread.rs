//! Requests with a deadly prompt part come at all VMs at once, in virtual time: how many reach engines,
//! and what becomes of sound requests that share their other parts.

#[path = "support/deadly_fleet.rs"]
mod deadly_fleet;
#[path = "support/rounds.rs"]
mod rounds;

use std::time::Duration;

use deadly_fleet::{Counts, DeadlyFleet, FleetPlan};
use verbenahinge_core::Timestamp;

/// Time after the fifth crash from which the part reaches engines no more.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Requests with the part that may reach engines after that.
const MAX_LATE: usize = 3;

const SMALL: FleetPlan = FleetPlan {
    vms: 9,
    engines: 30,
    sound_per_s: 60,
    deadly_per_s: 3,
    deadly_from: Duration::from_secs(3),
    ends_at: Duration::from_secs(16),
    deadly_parts: 1,
    outside_crashes: None,
};

const LARGE: FleetPlan = FleetPlan {
    vms: 300,
    engines: 200,
    sound_per_s: 600,
    deadly_per_s: 20,
    ..SMALL
};

fn run(plan: FleetPlan, seed: u64) -> Counts {
    let mut fleet = DeadlyFleet::new(plan, seed);
    fleet.run_until(plan.ends_at);
    let counts = fleet.counts;
    let crashes = &counts.crashes;
    let all_refuse = counts.all_refuse_at.map(|at| at.saturating_sub(crashes[0]));
    println!(
        "{} VMs, seed {seed}: {} engines lost, all refuse after {all_refuse:?}, {} of {} sound requests \
         refused, {} messages with {} records",
        plan.vms,
        crashes.len(),
        counts.sound_refused,
        counts.sound,
        counts.messages_pushed,
        counts.records_pushed,
    );
    counts
}

/// Checks a run from the fifth crash on, or from as many more as there are deadly parts.
fn check(plan: FleetPlan, seed: u64) {
    let counts = run(plan, seed);
    let known = counts.crashes.len().min(5 * deadly_parts(plan));
    let known_at = counts.crashes[known - 1];
    let later = |at: Timestamp, windows: u32| at > known_at + STABLE_WINDOW * windows;
    let sent = counts.deadly_sent.iter();
    let late = sent.filter(|&&at| later(at, 1)).count();
    let related = counts.related.iter().filter(|(at, _)| later(*at, 2));
    let (mut begun, mut total) = (0, 0);
    for (_, has_begun) in related {
        begun += usize::from(*has_begun);
        total += 1;
    }
    println!("{late} sent late, {begun} of {total} related requests began");
    assert!(late <= MAX_LATE, "{late} requests sent late, seed {seed}");
    assert!(total >= 20, "only {total} related requests, seed {seed}");
    assert!(begun * 2 >= total, "{begun} of {total}, seed {seed}");
    assert!(
        counts.all_refuse_at.is_some(),
        "a VM does not refuse the part, seed {seed}"
    );
}

fn deadly_parts(plan: FleetPlan) -> usize {
    usize::try_from(plan.deadly_parts).expect("few parts")
}

#[test]
fn small_fleet_keeps_crashing() {
    for seed in 0..8 {
        check(SMALL, seed);
    }
}

#[test]
fn large_fleet_keeps_crashing() {
    for seed in 0..3 {
        check(LARGE, seed);
    }
}

/// Little traffic, in which few successes clear what is innocent.
#[test]
fn quiet_fleet_refuses_sound() {
    let plan = FleetPlan {
        engines: 10,
        ends_at: Duration::from_secs(40),
        sound_per_s: 12,
        deadly_per_s: 1,
        ..SMALL
    };
    for seed in 0..8 {
        check(plan, seed);
    }
}

/// The refusal ends while requests with the part still come.
#[test]
fn crashes_start_over() {
    let plan = FleetPlan {
        ends_at: Duration::from_mins(12),
        ..SMALL
    };
    for seed in 0..4 {
        let counts = run(plan, seed);
        let sent = counts.deadly_sent.iter();
        let again = sent.filter(|&&at| at > Duration::from_mins(1)).count();
        println!("{again} sent again");
        assert!((1..=MAX_LATE).contains(&again), "{again} sent, seed {seed}");
    }
}

#[test]
fn several_deadly_parts() {
    let plan = FleetPlan {
        ends_at: Duration::from_secs(30),
        deadly_parts: 6,
        deadly_per_s: 6,
        ..SMALL
    };
    for seed in 0..8 {
        check(plan, seed);
    }
}

/// Guards against the first part of an account that is blamed in place of several parts behind it.
#[test]
fn quiet_account_refused() {
    let plan = FleetPlan {
        engines: 10,
        ends_at: Duration::from_secs(40),
        sound_per_s: 12,
        deadly_per_s: 1,
        deadly_parts: 3,
        ..SMALL
    };
    for seed in 0..8 {
        check(plan, seed);
    }
}

/// Servers that end for other reasons, one each 300 ms, must not get sound parts refused.
#[test]
fn outside_crashes_refuse_sound() {
    for (plan, share) in [(SMALL, 100), (LARGE, 1000)] {
        let plan = FleetPlan {
            deadly_per_s: 0,
            outside_crashes: Some(Duration::from_millis(300)),
            ..plan
        };
        for seed in 0..4 {
            let counts = run(plan, seed);
            assert!(counts.crashes.len() > 20);
            assert!(
                counts.sound_refused * share <= counts.sound,
                "{} of {} refused, seed {seed}",
                counts.sound_refused,
                counts.sound
            );
        }
    }
}
