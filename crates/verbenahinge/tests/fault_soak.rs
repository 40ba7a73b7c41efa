//! Real processes under series of random faults: what callers and backend servers see is checked
//! against the promises to callers.
//!
//! `SOAK_SEEDS=100..150 cargo test -p verbenahinge --test fault_soak` plays other seeds than the
//! few of every run. Seeds that failed once are kept in `data/soak_seeds.txt` with their cause.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_core::gateway::ServerState;
use verbenahinge_core::hash::mix64;
use verbenahinge_emulator::registry_store::StoreFaults;
use verbenahinge_emulator::scripted_server::{Run, ServerFault, ServerFaults};
use verbenahinge_testkit::{
    CallerConnection, GatewayAnswer, GatewayFleet, GatewayOptions, GatewayRequest, Harm, Proxy,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");
const KEPT_SEEDS: &str = include_str!("data/soak_seeds.txt");

const VMS: u8 = 3;
const SERVERS: usize = 4;
const CALLERS: u64 = 6;

/// Faults of one seed, which begin one after the other and overlap.
const FAULTS: u64 = 16;

/// Events of every stream.
const EVENTS: u64 = 5;

/// Time that a caller waits for an answer to begin and end before it goes away.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

/// Time after the last fault within which every VM has to serve again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Numbers that follow from a seed.
struct Dice {
    seed: u64,
    thrown: Cell<u64>,
}

impl Dice {
    const fn new(seed: u64) -> Self {
        Self {
            seed,
            thrown: Cell::new(0),
        }
    }

    fn below(&self, limit: u64) -> u64 {
        self.thrown.set(self.thrown.get() + 1);
        mix64(self.seed, self.thrown.get()) % limit
    }

    fn index(&self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("a small number")
    }
}

/// What one caller asked and saw; `None` if no answer began.
struct Seen {
    id: String,
    path: &'static str,
    answer: Option<GatewayAnswer>,
}

const PATHS: [&str; 4] = ["/read/x", "/once/x", "/stream/x", "/single/x"];

fn is_stream(path: &str) -> bool {
    path == "/stream/x" || path == "/single/x"
}

/// Sends one request after the other, on kept connections, until the faults are over.
async fn call_on(
    caller: u64,
    seed: u64,
    listens: &[std::net::SocketAddr],
    exchanges: &RefCell<Vec<Seen>>,
    is_over: &Cell<bool>,
) {
    let dice = Dice::new(mix64(seed, 1000 + caller));
    let mut connections: BTreeMap<usize, CallerConnection> = BTreeMap::new();
    let mut count = 0;
    while !is_over.get() {
        count += 1;
        let id = format!("{seed}-{caller}-{count}");
        let path = PATHS[dice.index(PATHS.len())];
        let vm = dice.index(listens.len());
        let mut request = GatewayRequest::new(id.clone(), path).deadline_ms(3000);
        if is_stream(path) {
            request = request.prompt(dice.below(5), 1000 + count);
        }
        let kept = connections.remove(&vm);
        let exchange = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => CallerConnection::open(listens[vm]).await.ok()?,
            };
            let answer = connection.call(&request).await.ok()?;
            Some((connection, answer))
        };
        let result = actix_rt::time::timeout(CALLER_PATIENCE, exchange).await;
        let answer = result.ok().flatten().map(|(connection, answer)| {
            if answer.is_complete && !answer.closes() {
                connections.insert(vm, connection);
            }
            answer
        });
        exchanges.borrow_mut().push(Seen { id, path, answer });
        actix_rt::time::sleep(Duration::from_millis(dice.below(30))).await;
    }
}

/// One fleet with the proxies through which it is harmed.
struct Soak {
    fleet: GatewayFleet,
    server_proxies: Vec<Proxy>,
    store_proxy: Proxy,
    version: u64,
}

impl Soak {
    async fn start() -> Self {
        let options = GatewayOptions::new(CONFIG).vms(VMS - 1).servers(SERVERS);
        let mut fleet = GatewayFleet::start(BIN, options).await;
        let mut server_proxies = Vec::new();
        for server in 0..SERVERS {
            let mut entry = fleet.entry(server);
            let proxy = Proxy::start(entry.address).await;
            entry.address = proxy.address();
            fleet.register(&entry).await;
            server_proxies.push(proxy);
        }
        let store_proxy = Proxy::start(fleet.store_address()).await;
        fleet.add_vm_with(store_proxy.address());
        fleet.wait_ready(usize::from(VMS) - 1).await;
        Self {
            fleet,
            server_proxies,
            store_proxy,
            version: 7,
        }
    }

    /// Begins one fault.
    async fn harm(&mut self, dice: &Dice) -> String {
        let server = dice.index(SERVERS);
        let vm = dice.index(usize::from(VMS));
        let harms = [
            Harm::Delay(Duration::from_millis(150)),
            Harm::Reset,
            Harm::Silence,
            Harm::SilentAnswers,
        ];
        match dice.below(11) {
            0 => {
                let harm = harms[dice.index(harms.len())];
                self.server_proxies[server].set(harm);
                format!("link of server {server}: {harm:?}")
            }
            1 => {
                self.server_proxies[server].reset_open();
                self.server_proxies[dice.index(SERVERS)].silence_open();
                format!("open connections of server {server}")
            }
            2 | 3 => {
                let faults = [
                    ServerFault::LoseAnswer,
                    ServerFault::Silence,
                    ServerFault::Reject,
                    ServerFault::Fail,
                    ServerFault::ExtraAnswer,
                    ServerFault::ForeignAnswer,
                    ServerFault::BreakOff,
                    ServerFault::Garbage,
                    ServerFault::Unframed,
                    ServerFault::Stall,
                ];
                let fault = faults[dice.index(faults.len())];
                let times = u32::try_from(dice.below(6) + 1).expect("a small number");
                self.fleet.fault(server, fault, times).await;
                format!("server {server}: {fault}")
            }
            4 => {
                let harm = harms[dice.index(harms.len())];
                self.store_proxy.set(harm);
                format!("store for one VM: {harm:?}")
            }
            5 => {
                let faults = StoreFaults {
                    is_down: dice.below(2) == 0,
                    is_silent: dice.below(3) == 0,
                    delay_ms: dice.below(300),
                    ..StoreFaults::default()
                };
                self.fleet.store_faults(&faults).await;
                format!("{faults:?}")
            }
            6 => {
                self.fleet.vm_process(vm).freeze();
                format!("freeze of VM {vm}")
            }
            7 => {
                let process = self.fleet.vm_process(vm);
                process.kill();
                process.restart();
                format!("kill of VM {vm}")
            }
            8 => {
                self.fleet.vm_process(vm).terminate();
                format!("shutdown of VM {vm}")
            }
            9 => {
                let mut entry = self.entry(server);
                entry.state = ServerState::Draining;
                self.fleet.store_faults(&StoreFaults::default()).await;
                self.fleet.register(&entry).await;
                format!("drain of server {server}")
            }
            _ => {
                self.version += 1;
                let version = format!("\"version\": {}", self.version);
                let config = CONFIG.replace("\"version\": 7", &version);
                self.fleet.store_faults(&StoreFaults::default()).await;
                self.fleet.write_config(&config).await;
                format!("configuration {}", self.version)
            }
        }
    }

    fn entry(&self, server: usize) -> verbenahinge_core::gateway::ServerEntry {
        let mut entry = self.fleet.entry(server);
        entry.address = self.server_proxies[server].address();
        entry
    }

    /// Ends some of the faults, or all.
    async fn mend(&mut self, dice: &Dice, all: bool) {
        for vm in 0..usize::from(VMS) {
            let process = self.fleet.vm_process(vm);
            if all || dice.below(2) == 0 {
                process.thaw();
            }
            if process.has_ended() {
                process.restart();
            }
        }
        for server in 0..SERVERS {
            if all || dice.below(3) == 0 {
                self.server_proxies[server].set(Harm::None);
            }
        }
        if all || dice.below(3) == 0 {
            self.store_proxy.set(Harm::None);
            self.fleet.store_faults(&StoreFaults::default()).await;
            for server in 0..SERVERS {
                self.fleet.register(&self.entry(server)).await;
            }
        }
        if all {
            for server in 0..SERVERS {
                self.fleet.fault(server, ServerFault::None, 0).await;
            }
        }
    }

    /// What the servers ran, by request.
    async fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for server in 0..SERVERS {
            for run in self.fleet.runs(server).await {
                runs.entry(run.request_id.clone()).or_default().push(run);
            }
        }
        runs
    }
}

/// Says which promise an exchange broke, if it did.
fn broken_promise(seen: &Seen, runs: &[Run]) -> Option<&'static str> {
    let is_repeatable = matches!(seen.path, "/read/x" | "/stream/x");
    if !is_repeatable && runs.len() > 1 {
        return Some("ran more than once");
    }
    if runs.len() > 2 {
        return Some("ran more often than its route allows");
    }
    if runs.iter().any(|run| !run.api_key.is_empty()) {
        return Some("the API key was passed on");
    }
    if runs.iter().any(|run| !run.target.ends_with(seen.path)) {
        return Some("another target ran");
    }
    let answer = seen.answer.as_ref()?;
    match answer.status {
        200 if !answer.is_signed() => Some("success without a signature"),
        200 if runs.is_empty() => Some("success of a request that did not run"),
        200 if is_stream(seen.path) => {
            let ids = answer.event_ids();
            let in_order: Vec<u64> = (1..=ids.len() as u64).collect();
            if ids != in_order {
                Some("events out of order")
            } else if answer.is_complete && ids.len() as u64 != EVENTS {
                Some("a part of a stream looks whole")
            } else {
                None
            }
        }
        200 if answer.is_complete && answer.body != format!("answer to {}", seen.id) => {
            Some("the answer of another request")
        }
        429 | 503 | 408 | 421 if !runs.is_empty() => Some("refused as not run, and ran"),
        503 if answer.retry_after_s().is_none() => Some("refused without a time to come back"),
        400 | 401 | 403 | 404 | 413 | 431 => Some("turned away though it is proper"),
        _ => None,
    }
}

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
