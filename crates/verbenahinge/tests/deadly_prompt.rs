//! A prompt part that crashes each engine which would send the first event of a prompt with it, in
//! requests of which no two are alike.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_core::gateway::{ServerEntry, ServerState};
use verbenahinge_testkit::{
    CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest, GatewayResponse,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const VMS: u8 = 3;
const SERVERS: usize = 6;

const DEADLY_PART: u64 = 0xdead;
const FIRST_PART: u64 = 0xf1;
const SOUND_PART: u64 = 0x50;

/// Time after the fifth crash, or after the last, from which the part reaches engines no more.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Requests with the part that may reach engines after that.
const MAX_LATE_CRASHES: usize = 3;

/// Time for which requests with the part are sent.
const DURATION: Duration = Duration::from_secs(14);

/// Pause between two crashes that count as separate ones.
const CRASH_PAUSE: Duration = Duration::from_millis(200);

/// Timeout for a record to be written to the store.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// A sound request: when it was sent, and whether its stream began at the first attempt.
struct SoundCall {
    sent_at: Instant,
    has_begun: bool,
}

fn deadly(id: &str, unique: u64) -> GatewayRequest {
    GatewayRequest::new(id, "/stream/x")
        .body(&format!("body {unique}"))
        .prompt_parts(&[FIRST_PART, DEADLY_PART, 0x10_0000 + unique])
}

fn sound(id: &str, unique: u64) -> GatewayRequest {
    GatewayRequest::new(id, "/stream/x")
        .body(&format!("sound {unique}"))
        .prompt_parts(&[FIRST_PART, SOUND_PART, 0x20_0000 + unique])
}

async fn call(address: SocketAddr, request: &GatewayRequest) -> Option<GatewayResponse> {
    let mut connection = CallerConnection::open(address).await.ok()?;
    connection.call(request).await.ok()
}

/// Sends requests with the part through all VMs, without waiting for their responses.
async fn send_deadly(addresses: Vec<SocketAddr>, is_finished: Rc<Cell<bool>>) {
    let mut count = 0;
    while !is_finished.get() {
        count += 1;
        let address = addresses[count % addresses.len()];
        let request = deadly(&format!("deadly-{count}"), count as u64);
        actix_rt::spawn(async move {
            call(address, &request).await;
        });
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends sound requests one after the other.
async fn send_sound(
    caller: u64,
    address: SocketAddr,
    calls: Rc<RefCell<Vec<SoundCall>>>,
    is_finished: Rc<Cell<bool>>,
) {
    for count in 0.. {
        if is_finished.get() {
            return;
        }
        let sent_at = Instant::now();
        let request = sound(&format!("sound-{caller}-{count}"), caller * 10_000 + count);
        let response = call(address, &request).await;
        calls.borrow_mut().push(SoundCall {
            sent_at,
            has_begun: response.is_some_and(|response| response.status == 200),
        });
        actix_rt::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Starts crashed engines again; returns when each crash was seen.
async fn run_engines(fleet: &mut GatewayFleet) -> Vec<Instant> {
    let started = Instant::now();
    let mut crashes = Vec::new();
    let mut down_since = [None; SERVERS];
    while started.elapsed() < DURATION {
        for (server, down) in down_since.iter_mut().enumerate() {
            let Some(since) = *down else {
                if fleet.server_process(server).has_exited() {
                    *down = Some(Instant::now());
                    crashes.push(Instant::now());
                }
                continue;
            };
            if since.elapsed() < DOWN_TIME {
                continue;
            }
            *down = None;
            fleet.server_process(server).restart();
            let entry = ServerEntry {
                started_unix_ms: Some(1 + crashes.len() as u64),
                ..fleet.server_entry(server)
            };
            fleet.register(&entry).await;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    crashes
}

fn options(vms: u8, servers: usize, work_ms: &str) -> GatewayFleetOptions {
    let part = format!("{DEADLY_PART:x}");
    GatewayFleetOptions::new(CONFIG)
        .vms(vms)
        .servers(servers)
        .server_arg("--work-ms", work_ms)
        .server_arg("--deadly-part", &part)
}

fn crashed_servers(fleet: &mut GatewayFleet, servers: usize) -> usize {
    let mut crashed = 0;
    for server in 0..servers {
        crashed += usize::from(fleet.server_process(server).has_exited());
    }
    crashed
}

/// Sends requests with the part to a VM, one after the other, until some servers have crashed.
async fn crash_servers(fleet: &mut GatewayFleet, vm: usize, servers: usize, count: usize) {
    for unique in 0.. {
        if crashed_servers(fleet, servers) >= count {
            return;
        }
        let request = deadly(&format!("crash-{unique}"), unique).path("/single/x");
        // A VM may choose the server that has just crashed.
        let status = fleet.call(vm, &request).await.status;
        assert!(matches!(status, 502 | 503), "status {status}");
        actix_rt::time::sleep(CRASH_PAUSE).await;
    }
}

async fn assert_refused(address: SocketAddr, id: &str, unique: u64) {
    let response = call(address, &deadly(id, unique)).await;
    let response = response.expect("a response");
    assert_eq!(response.status, 503, "{id}: {}", response.body);
    assert!(
        response.body.contains("a part of the prompt"),
        "{}",
        response.body
    );
    let delay_s = response.retry_after_s().expect("a delay");
    assert!(delay_s > 500.0, "refused for {delay_s} s");
}

/// Returns how many of the sound requests sent after a moment began at the first attempt, and how many
/// were sent.
fn count_begun(calls: &[SoundCall], after: Instant) -> (usize, usize) {
    let sent: Vec<_> = calls.iter().filter(|call| call.sent_at > after).collect();
    let begun = sent.iter().filter(|call| call.has_begun).count();
    (begun, sent.len())
}

/// Guards against crash records of whole requests alone, which name nothing that two requests with
/// the part have in common.
#[actix_rt::test]
async fn part_crashes_every_engine() {
    let mut fleet = GatewayFleet::start(BIN, options(VMS, SERVERS, "30")).await;
    let addresses: Vec<_> = (0..usize::from(VMS))
        .map(|vm| fleet.listen_address(vm))
        .collect();
    let is_finished = Rc::new(Cell::new(false));
    let sound_calls = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = vec![actix_rt::spawn(send_deadly(
        addresses.clone(),
        Rc::clone(&is_finished),
    ))];
    for caller in 0..6 {
        let address = addresses[usize::try_from(caller).expect("few callers") % addresses.len()];
        tasks.push(actix_rt::spawn(send_sound(
            caller,
            address,
            Rc::clone(&sound_calls),
            Rc::clone(&is_finished),
        )));
    }
    let crashes = run_engines(&mut fleet).await;
    is_finished.set(true);
    join_all(tasks).await;
    assert!(crashes.len() >= 2, "the part did not crash engines");
    let known_at = crashes[crashes.len().min(5) - 1];
    let late = crashes
        .iter()
        .filter(|&&at| at > known_at + STABLE_WINDOW)
        .count();
    assert!(
        late <= MAX_LATE_CRASHES,
        "{late} of {} crashes later than {STABLE_WINDOW:?} after the fifth",
        crashes.len()
    );
    let (begun, sent) = count_begun(&sound_calls.take(), known_at + 2 * STABLE_WINDOW);
    println!(
        "{} crashes; {begun} of {sent} sound requests began",
        crashes.len()
    );
    assert!(sent >= 20, "only {sent} sound requests");
    assert!(begun * 2 >= sent, "{begun} of {sent} sound requests began");
    for (vm, &address) in addresses.iter().enumerate() {
        assert_refused(address, &format!("refused-{vm}"), 900_000 + vm as u64).await;
    }
}

/// Guards against a prompt that waits for its first event while its part becomes known, and crashes
/// the engine it was sent to before.
#[actix_rt::test]
async fn waiting_prompt_crashes() {
    /// Time until the slow engine sends the first event.
    const SLOW_MS: &str = "8000";
    let part = format!("{DEADLY_PART:x}");
    let args = ["--deadly-part", &part, "--work-ms"];
    let config = CONFIG.replace("\"timeout_ms\": 4000", "\"timeout_ms\": 20000");
    let options = GatewayFleetOptions::new(config).vms(2).servers(0);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    fleet
        .add_server_with("slow", "service", &[&args[..], &[SLOW_MS]].concat())
        .await;
    let waiting = deadly("waiting", 1).path("/single/x").deadline_ms(20_000);
    fleet.wait_for_log(1, "server=slow change=added").await;
    let address = fleet.listen_address(1);
    let waiting = actix_rt::spawn(async move { call(address, &waiting).await });
    while fleet.runs(0).await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let entry = ServerEntry {
        state: ServerState::Draining,
        ..fleet.server_entry(0)
    };
    fleet.register(&entry).await;
    for id in ["fast-1", "fast-2"] {
        fleet
            .add_server_with(id, "service", &[&args[..], &["5"]].concat())
            .await;
    }
    fleet.wait_for_log(0, "server=slow change=draining").await;
    crash_servers(&mut fleet, 0, 3, 2).await;
    let response = waiting.await.expect("the task ended");
    let response = response.expect("a response");
    assert_eq!(response.status, 502, "{}", response.body);
    assert!(
        response.body.contains("a part of the prompt"),
        "{}",
        response.body
    );
    let ended = "request_id=waiting outcome=failed status=502";
    let ended = fleet.wait_for_log_after(1, 0, ended).await;
    assert!(ended.contains("detail=Quarantined("), "{ended}");
    assert!(!fleet.runs(0).await.is_empty(), "the slow engine runs");
    assert!(!fleet.server_process(0).has_exited());
}

/// Guards against a second attempt of a prompt whose part has crashed an engine before, which begins
/// before the crash of its first one is found.
#[actix_rt::test]
async fn lost_prompt_retried() {
    let mut fleet = GatewayFleet::start(BIN, options(1, 4, "5")).await;
    crash_servers(&mut fleet, 0, 4, 1).await;
    fleet.wait_for_log(0, "name=server_crashed").await;
    for unique in 100.. {
        // A VM may choose the server that has crashed, and tries another one then.
        let response = fleet
            .call(0, &deadly(&format!("lost-{unique}"), unique))
            .await;
        if response.status == 502 {
            break;
        }
    }
    actix_rt::time::sleep(CRASH_PAUSE).await;
    assert_eq!(crashed_servers(&mut fleet, 4), 2);
}

/// Guards against a stream that had begun and is taken for the cause of the crash that ends it.
#[actix_rt::test]
async fn begun_stream_suspected() {
    let fleet = GatewayFleet::start(BIN, options(1, 1, "300")).await;
    let address = fleet.listen_address(0);
    let begun = sound("begun", 1).path("/single/x");
    let begun = actix_rt::spawn(async move { call(address, &begun).await });
    while fleet.runs(0).await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let lost = fleet.call(0, &deadly("lost", 2).path("/single/x")).await;
    assert_eq!(lost.status, 502, "{}", lost.body);
    let begun = begun.await.expect("the task ended").expect("a response");
    assert_eq!((begun.status, begun.is_complete), (200, false));
    fleet.wait_for_log(0, "name=server_crashed").await;
    let log = fleet.read_log(0);
    assert_eq!(log.matches("name=server_crashed").count(), 1, "{log}");
}

/// Guards against parts that are forgotten when all VMs are replaced.
#[actix_rt::test]
async fn restart_forgets_parts() {
    let mut fleet = GatewayFleet::start(BIN, options(2, 4, "5")).await;
    crash_servers(&mut fleet, 0, 4, 2).await;
    let started = Instant::now();
    while fleet.store_keys("quarantine").await.is_empty() {
        assert!(started.elapsed() < RECORD_TIMEOUT, "no record in the store");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    for vm in 0..2 {
        fleet.vm_process(vm).kill();
    }
    for vm in 0..2 {
        let length = fleet.read_log(vm).len();
        fleet.vm_process(vm).restart();
        fleet.wait_until_ready(vm).await;
        fleet
            .wait_for_log_after(vm, length, "quarantined=true")
            .await;
    }
    for vm in 0..2 {
        assert_refused(
            fleet.listen_address(vm),
            &format!("refused-{vm}"),
            70 + vm as u64,
        )
        .await;
    }
    assert_eq!(crashed_servers(&mut fleet, 4), 2);
}
