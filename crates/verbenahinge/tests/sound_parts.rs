//! Prompt parts that were waiting at servers that crashed for other reasons.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Servers that crash on any request.
const CRASHING: usize = 3;

/// Pause between two crashes that count as separate ones.
const CRASH_PAUSE: Duration = Duration::from_millis(200);

/// Time after the last crash from which a part that nothing has cleared is refused for certain.
const SETTLED: Duration = Duration::from_secs(1);

/// Prompt with two parts that all of them share.
fn prompt(id: &str, path: &str, own_part: u64) -> GatewayRequest {
    GatewayRequest::new(id, path)
        .body(&format!("body {own_part}"))
        .prompt_parts(&[0xf1, 0x50, 0x1000 + own_part])
}

async fn start() -> GatewayFleet {
    let options = GatewayFleetOptions::new(CONFIG).vms(2).servers(1);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    for index in 0..CRASHING {
        let id = format!("crash-{index}");
        fleet
            .add_server_with(&id, "fragile", &["--fault", "crash"])
            .await;
        let added = format!("server={id} change=added");
        fleet.wait_for_log(0, &added).await;
    }
    fleet
}

/// Crashes the servers with requests of a VM, at more than one moment.
async fn crash_servers(fleet: &mut GatewayFleet) {
    for count in 0.. {
        let mut servers = 1..=CRASHING;
        if servers.all(|server| fleet.server_process(server).has_exited()) {
            return;
        }
        let request = prompt(&format!("lost-{count}"), "/fragile/x", 500 + count);
        // A VM may choose a server that has crashed.
        let status = fleet.call(0, &request).await.status;
        assert!(matches!(status, 502 | 503), "status {status}");
        actix_rt::time::sleep(CRASH_PAUSE).await;
    }
}

/// Guards against parts that are refused though other servers serve them at the time, and against news
/// of crashes and successes that waits for a digest.
#[actix_rt::test]
async fn served_part_refused() {
    let mut fleet = start().await;
    let is_finished = Rc::new(Cell::new(false));
    let address = fleet.listen_address(1);
    let served = {
        let is_finished = Rc::clone(&is_finished);
        actix_rt::spawn(async move {
            let mut statuses = Vec::new();
            for count in 0.. {
                if is_finished.get() {
                    break;
                }
                let mut caller = CallerConnection::open(address).await.expect("a connection");
                let request = prompt(&format!("served-{count}"), "/stream/x", 10_000 + count);
                statuses.push(caller.call(&request).await.expect("a response").status);
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            statuses
        })
    };
    crash_servers(&mut fleet).await;
    actix_rt::time::sleep(SETTLED).await;
    for vm in 0..2 {
        let request = prompt(&format!("after-{vm}"), "/stream/x", 900 + vm as u64);
        let response = fleet.call(vm, &request).await;
        assert_eq!(response.status, 200, "VM {vm}: {}", response.body);
        let metrics = fleet.fetch_control(vm, "/metrics").await;
        assert!(metrics.contains("kind=\"crash\""), "VM {vm}: {metrics}");
    }
    is_finished.set(true);
    let statuses = served.await.expect("the task ended");
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

/// Guards against crashes that are not held against a part which nothing clears.
#[actix_rt::test]
async fn unserved_part_runs() {
    let mut fleet = start().await;
    crash_servers(&mut fleet).await;
    actix_rt::time::sleep(SETTLED).await;
    for vm in 0..2 {
        let request = prompt(&format!("after-{vm}"), "/stream/x", 900 + vm as u64);
        let response = fleet.call(vm, &request).await;
        assert_eq!(response.status, 503, "VM {vm}: {}", response.body);
    }
}
