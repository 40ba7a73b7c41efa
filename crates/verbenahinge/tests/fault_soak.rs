//! Real processes under series of random faults: what callers and backend servers see is checked
//! against the promises to callers.
//!
//! `SOAK_SEEDS=100..150 cargo test -p verbenahinge --test fault_soak` plays other seeds than the
//! few of every run. Seeds that failed once are kept in `data/soak_seeds.txt` with their cause.

#[path = "fault_soak/callers.rs"]
mod callers;
#[path = "fault_soak/dice.rs"]
mod dice;
#[path = "fault_soak/fleet.rs"]
mod fleet;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{CallerConnection, GatewayRequest};

use self::callers::{EVENTS, broken_promise, call_on};
use self::dice::Dice;
use self::fleet::{SERVERS, Soak, VMS};

const KEPT_SEEDS: &str = include_str!("data/soak_seeds.txt");

const CALLERS: u64 = 6;

/// Faults of one seed, which begin one after the other and overlap.
const FAULTS: u64 = 16;

/// Time after the last fault within which every VM has to serve again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Plays one seed and returns the promises that were broken.
async fn play(seed: u64) -> Vec<String> {
    let mut soak = Soak::start().await;
    let dice = Dice::new(seed);
    let normal = ServerFaults {
        work_ms: 5 + dice.below(20),
        events: EVENTS,
        ..ServerFaults::default()
    };
    for server in 0..SERVERS {
        soak.fleet.server_faults(server, &normal).await;
    }
    let listens: Vec<_> = (0..usize::from(VMS))
        .map(|vm| soak.fleet.listen(vm))
        .collect();
    let exchanges = Rc::new(RefCell::new(Vec::new()));
    let is_over = Rc::new(Cell::new(false));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (listens, exchanges, is_over) =
            (listens.clone(), Rc::clone(&exchanges), Rc::clone(&is_over));
        callers.push(actix_rt::spawn(async move {
            call_on(caller, seed, &listens, &exchanges, &is_over).await;
        }));
    }
    let mut story = Vec::new();
    for _ in 0..FAULTS {
        story.push(soak.harm(&dice).await);
        actix_rt::time::sleep(Duration::from_millis(50 + dice.below(500))).await;
        soak.mend(&dice, false).await;
    }
    soak.mend(&dice, true).await;
    is_over.set(true);
    join_all(callers).await;
    let mut broken = recover(&mut soak, seed).await;
    // What was sent on before its caller went may run for a moment longer.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let runs = soak.runs().await;
    for exchange in exchanges.borrow().iter() {
        let none = Vec::new();
        let runs = runs.get(&exchange.id).unwrap_or(&none);
        if let Some(promise) = broken_promise(exchange, runs) {
            broken.push(format!(
                "request {} to {}: {promise}; {} runs, {:?}",
                exchange.id,
                exchange.path,
                runs.len(),
                exchange.answer
            ));
        }
    }
    if !broken.is_empty() {
        broken.push(format!("faults: {}", story.join("; ")));
    }
    broken
}

/// Waits until every VM serves again; says which did not.
async fn recover(soak: &mut Soak, seed: u64) -> Vec<String> {
    let mut broken = Vec::new();
    for vm in 0..usize::from(VMS) {
        let served = async {
            for count in 0.. {
                if soak.fleet.vm_process(vm).has_ended() {
                    soak.fleet.vm_process(vm).restart();
                }
                let id = format!("{seed}-after-{vm}-{count}");
                let request = GatewayRequest::new(id, "/read/x");
                let exchange = async {
                    let mut caller = CallerConnection::open(soak.fleet.listen(vm)).await.ok()?;
                    caller.call(&request).await.ok()
                };
                let answer = actix_rt::time::timeout(Duration::from_secs(3), exchange).await;
                if matches!(answer, Ok(Some(answer)) if answer.status == 200) {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        };
        if actix_rt::time::timeout(RECOVERY, served).await.is_err() {
            broken.push(format!("VM {vm} does not serve after the faults"));
        }
    }
    broken
}

async fn play_all(seeds: impl IntoIterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        for line in play(seed).await {
            failed.push(format!("seed {seed}: {line}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[actix_rt::test]
async fn promises_hold_under_faults() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (first, end) = seeds.split_once("..").expect("seeds as FIRST..END");
    let first: u64 = first.parse().expect("the first seed");
    play_all(first..end.parse().expect("the end of the seeds")).await;
}

#[actix_rt::test]
async fn kept_seeds_pass() {
    let mut seeds: Vec<u64> = Vec::new();
    for line in KEPT_SEEDS.lines().filter(|line| !line.starts_with('#')) {
        let seed = line.split_whitespace().next().expect("a seed");
        seeds.push(seed.parse().expect("a number"));
    }
    play_all(seeds).await;
}
