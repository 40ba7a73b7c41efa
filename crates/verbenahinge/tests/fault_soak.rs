//! Runs real processes under random faults and checks what callers and backend servers observe
//! against the guarantees to callers.
//!
//! `SOAK_SEEDS=100..150 cargo test -p verbenahinge --test fault_soak` runs other seeds than the
//! default ones; `SOAK_VMS=24` starts more VMs than three. Seeds that failed once are listed in
//! `data/soak_seeds.txt` with their cause.

#[path = "fault_soak/callers.rs"]
mod callers;
#[path = "fault_soak/crashes.rs"]
mod crashes;
#[path = "fault_soak/cuts.rs"]
mod cuts;
#[path = "fault_soak/deadly.rs"]
mod deadly;
#[path = "fault_soak/departures.rs"]
mod departures;
#[path = "fault_soak/disturbances.rs"]
mod disturbances;
#[path = "fault_soak/fleet.rs"]
mod fleet;
#[path = "fault_soak/later_faults.rs"]
mod later_faults;
#[path = "fault_soak/pauses.rs"]
mod pauses;
#[path = "fault_soak/rng.rs"]
mod rng;
#[path = "fault_soak/versions.rs"]
mod versions;

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_core::gateway::REREGISTER_GRACE;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_platform::store::SERVER_TABLE;
use verbenahinge_testkit::{CallerConnection, GatewayRequest};

use self::callers::{CallerContext, STREAM_EVENTS, find_violation, run_caller, run_idle_caller};
use self::crashes::{check_quarantine, send_crashing_requests};
use self::cuts::CUTS;
use self::departures::{DEPARTURES, check_leaving, finish_departures, inject_departure};
use self::fleet::{SERVER_COUNT, SoakFleet};
use self::pauses::{PAUSES, check_pause, inject_pause};
use self::rng::SeededRng;
use self::versions::check_streams;

const REGRESSION_SEEDS: &str = include_str!("data/soak_seeds.txt");

const CALLER_COUNT: u64 = 6;

/// Distinguishes the random numbers of faults that were added later.
const EXTRA_FAULTS: u64 = 0x6572_6173;

/// Distinguishes the random numbers of pauses, unframed responses, and changes of timeouts and settings.
const LATER_FAULTS: u64 = 0x7061_7573;

/// Largest fleet in which every VM watches the store.
const MAX_ALL_WATCH: usize = 16;

/// VMs that watch the store in a larger fleet.
const WATCHERS: usize = 5;

/// Limit that a server names, in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Time after which the limit holds.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Window over which requests to the limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests that the limited server may get in the window: one and a half times what the limit allows,
/// and 5.
const MAX_LIMITED: usize = 17;

/// Pause between two requests of a caller while a server is limited.
const LIMITED_PAUSE: Duration = Duration::from_millis(50);

/// Number of faults per seed. They begin one after the other and overlap.
const FAULT_COUNT: u64 = 16;

/// Timeout for a VM to serve again after the last fault. The VMs are checked in turn.
pub(crate) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time by which a lapse may be recorded later than the store is available.
const EXPIRY_SLACK: Duration = Duration::from_millis(500);

/// Runs one seed and returns the violations of guarantees.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut soak = SoakFleet::start().await;
    let rng = SeededRng::new(seed);
    // Faults that were added later draw from numbers of their own, so that earlier seeds keep theirs.
    let extra_rng = SeededRng::new(seed ^ EXTRA_FAULTS);
    let later_rng = SeededRng::new(seed ^ LATER_FAULTS);
    let departure_rng = SeededRng::new(seed ^ DEPARTURES);
    let pause_rng = SeededRng::new(seed ^ PAUSES);
    let cut_rng = SeededRng::new(seed ^ CUTS);
    let normal = ServerFaults {
        work_ms: 5 + rng.below(20),
        events: STREAM_EVENTS,
        ..ServerFaults::default()
    };
    for server in 0..SERVER_COUNT {
        soak.fleet.set_server_faults(server, &normal).await;
    }
    let context = CallerContext {
        seed,
        vm_addresses: (0..soak.vm_count)
            .map(|vm| soak.fleet.listen_address(vm))
            .collect(),
        idle_limit_ms: Rc::clone(&soak.idle_limit_ms),
        exchanges: Rc::default(),
        resumed_streams: Rc::default(),
        is_finished: Rc::default(),
    };
    let mut callers = Vec::new();
    for caller in 0..CALLER_COUNT {
        callers.push(actix_rt::spawn(run_caller(caller, context.clone())));
    }
    for vm in 0..soak.vm_count {
        callers.push(actix_rt::spawn(run_idle_caller(vm, context.clone())));
    }
    callers.push(actix_rt::spawn(send_crashing_requests(
        context.vm_addresses.clone(),
        seed,
        Rc::clone(&context.is_finished),
    )));
    callers.push(actix_rt::spawn(deadly::send_prompts(
        context.vm_addresses.clone(),
        seed,
        Rc::clone(&context.is_finished),
    )));
    let mut fault_log = Vec::new();
    for _ in 0..FAULT_COUNT {
        fault_log.push(soak.inject_fault(&rng).await);
        if extra_rng.below(4) == 0 {
            fault_log.push(soak.roll_back_store(&extra_rng).await);
        }
        fault_log.extend(soak.inject_later_faults(&later_rng).await);
        fault_log.extend(inject_departure(&mut soak, &departure_rng).await);
        fault_log.extend(inject_pause(&soak, &pause_rng).await);
        fault_log.extend(soak.inject_cut(&cut_rng));
        actix_rt::time::sleep(Duration::from_millis(50 + rng.below(500))).await;
        soak.clear_faults(&rng, false).await;
        soak.restart_fragile_servers().await;
        soak.restart_brittle_engines().await;
        finish_departures(&mut soak).await;
    }
    soak.end_cuts();
    soak.clear_faults(&rng, true).await;
    finish_departures(&mut soak).await;
    context.is_finished.set(true);
    join_all(callers).await;
    let mut violations = wait_for_recovery(&mut soak, seed).await;
    soak.finish_shutdowns().await;
    violations.extend(check_config(&soak).await);
    violations.extend(check_quarantine(&mut soak).await);
    violations.extend(deadly::check_refused(&mut soak).await);
    violations.extend(check_leaving(&mut soak, seed, &departure_rng).await);
    violations.extend(check_pause(&soak, seed, &pause_rng).await);
    violations.extend(check_limit(&soak, seed).await);
    violations.extend(check_departure(&mut soak, rng.index(SERVER_COUNT)).await);
    // Requests that were forwarded before their caller disconnected may still be running.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    violations.extend(check_exchanges(&soak, &context).await);
    violations.extend(check_streams(&context));
    if !violations.is_empty() {
        violations.push(format!("faults: {}", fault_log.join("; ")));
    }
    violations
}

/// Returns the violations of guarantees to single requests.
async fn check_exchanges(soak: &SoakFleet, context: &CallerContext) -> Vec<String> {
    let mut traces = soak.traces();
    for (id, runs) in soak.runs_by_request().await {
        traces.entry(id).or_default().runs = runs;
    }
    let mut violations = Vec::new();
    for exchange in context.exchanges.borrow().iter() {
        let trace = traces.remove(&exchange.id).unwrap_or_default();
        let violation = find_violation(exchange, &trace)
            .or_else(|| soak.disturbances.find_loss(exchange, &trace));
        if let Some(violation) = violation {
            violations.push(format!("{violation}: {exchange:?}, {trace:?}"));
        }
    }
    violations
}

/// Waits until every VM serves again, and returns a violation for each that does not.
async fn wait_for_recovery(soak: &mut SoakFleet, seed: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for vm in 0..soak.vm_count {
        let recovery = async {
            for count in 0.. {
                if soak.fleet.vm_process(vm).has_exited() {
                    soak.fleet.vm_process(vm).restart();
                }
                let id = format!("{seed}-after-{vm}-{count}");
                let request = GatewayRequest::new(id, "/read/x");
                let call = async {
                    let mut caller = CallerConnection::open(soak.fleet.listen_address(vm))
                        .await
                        .ok()?;
                    caller.call(&request).await.ok()
                };
                let response = actix_rt::time::timeout(Duration::from_secs(3), call).await;
                if matches!(response, Ok(Some(response)) if response.status == 200) {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        };
        if actix_rt::time::timeout(RECOVERY_TIMEOUT, recovery)
            .await
            .is_err()
        {
            violations.push(format!("VM {vm} does not serve requests after the faults"));
        }
    }
    violations
}

/// Waits until the configuration that was last written is in force on every VM, and returns a
/// violation for each that has an older one.
async fn check_config(soak: &SoakFleet) -> Vec<String> {
    let in_force = format!("name=config_in_force version={} ", soak.config_version());
    let mut violations = Vec::new();
    for vm in 0..soak.vm_count {
        let started = Instant::now();
        loop {
            let log = soak.fleet.read_log(vm);
            let last = log
                .lines()
                .rfind(|line| line.contains("name=config_in_force"));
            if last.is_some_and(|line| line.contains(&in_force)) {
                break;
            }
            if started.elapsed() > RECOVERY_TIMEOUT {
                violations.push(format!("VM {vm} lacks {in_force}: {last:?}"));
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
    violations
}

/// Lets a server name a limit, and returns a violation if the VMs together exceed it.
async fn check_limit(soak: &SoakFleet, seed: u64) -> Vec<String> {
    let limited = ServerFaults {
        work_ms: 5,
        events: STREAM_EVENTS,
        limit_per_s: LIMIT_PER_S,
        ..ServerFaults::default()
    };
    soak.fleet.set_server_faults(0, &limited).await;
    let before = soak.fleet.runs(0).await.len();
    let callers = (0..soak.vm_count).map(|vm| async move {
        let started = Instant::now();
        let mut count = 0;
        while started.elapsed() < LIMIT_SETTLE_TIME + LIMIT_WINDOW {
            count += 1;
            let id = format!("{seed}-limited-{vm}-{count}");
            soak.fleet
                .call(vm, &GatewayRequest::new(id, "/read/x"))
                .await;
            actix_rt::time::sleep(LIMITED_PAUSE).await;
        }
    });
    join_all(callers).await;
    let runs = soak.fleet.runs(0).await.split_off(before);
    let first_ms = runs.iter().map(|run| run.arrived_ms).min().unwrap_or(0);
    let settled_ms = u128::from(first_ms) + LIMIT_SETTLE_TIME.as_millis();
    let counted = runs
        .iter()
        .filter(|run| u128::from(run.arrived_ms) >= settled_ms)
        .count();
    if counted > MAX_LIMITED {
        return vec![format!("{counted} requests to a limited server")];
    }
    Vec::new()
}

/// Removes the entry of a server that never drained, and returns a violation for each VM that
/// counts it as lapsed, though the store is available.
async fn check_departure(soak: &mut SoakFleet, server: usize) -> Vec<String> {
    soak.finish_shutdowns().await;
    let fleet = &soak.fleet;
    let watchers = if soak.vm_count > MAX_ALL_WATCH {
        WATCHERS
    } else {
        soak.vm_count
    };
    fleet.wait_for_watches(SERVER_TABLE, watchers).await;
    actix_rt::time::sleep(REREGISTER_GRACE + EXPIRY_SLACK).await;
    let log_lengths: Vec<_> = (0..soak.vm_count)
        .map(|vm| fleet.read_log(vm).len())
        .collect();
    fleet.unregister(server).await;
    let listed = format!("name=server_listed server=server-{server} change=");
    let mut violations = Vec::new();
    for (vm, length) in log_lengths.into_iter().enumerate() {
        let line = fleet.wait_for_log_after(vm, length, &listed).await;
        if !line.contains("change=removed") {
            violations.push(format!("VM {vm} after the removal of a server: {line}"));
        }
    }
    violations
}

async fn run_seeds(seeds: impl IntoIterator<Item = u64>) {
    let mut failures = Vec::new();
    for seed in seeds {
        for violation in run_seed(seed).await {
            failures.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[actix_rt::test]
async fn guarantees_under_faults() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (first, end) = seeds.split_once("..").expect("seeds as FIRST..END");
    let first: u64 = first.parse().expect("the first seed is a number");
    run_seeds(first..end.parse().expect("the end of the seeds is a number")).await;
}

#[actix_rt::test]
async fn regression_seeds() {
    let mut seeds: Vec<u64> = Vec::new();
    for line in REGRESSION_SEEDS
        .lines()
        .filter(|line| !line.starts_with('#'))
    {
        let seed = line
            .split_whitespace()
            .next()
            .expect("each line begins with a seed");
        seeds.push(seed.parse().expect("a seed is a number"));
    }
    run_seeds(seeds).await;
}
