//! VMs that the network cuts off from all servers, while callers and the other VMs reach them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::ServerFaults;
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const SERVERS: usize = 3;

/// Requests of each kind that are sent at the same time.
const REQUESTS_PER_KIND: usize = 4;

/// Requests that are sent at the same time.
const ALL: usize = 3 * REQUESTS_PER_KIND;

/// Time after the beginning of a cut from which requests have to be served.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How the network cuts a VM off.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// All connections are reset.
    Reset,
    /// New connections are reset, and open ones live on.
    NewConnections,
}

async fn start(vms: u8) -> GatewayFleet {
    let options = GatewayFleetOptions::new(CONFIG).vms(vms).servers(SERVERS);
    GatewayFleet::start(BIN, options).await
}

/// Cuts a VM off from all servers, or none.
async fn cut_off(fleet: &GatewayFleet, vm: Option<usize>, cut: Cut) {
    let faults = ServerFaults {
        work_ms: 5,
        events: 5,
        cut_off: vm.map(|vm| fleet.listen_address(vm).ip()),
        cuts_open_connections: matches!(cut, Cut::Reset),
        ..ServerFaults::default()
    };
    for server in 0..SERVERS {
        fleet.set_server_faults(server, &faults).await;
    }
}

fn request(id: String, path: &str) -> GatewayRequest {
    let request = GatewayRequest::new(id, path);
    if path == "/stream/x" {
        request.deadline_ms(8000).prompt(1, 9)
    } else {
        request
    }
}

/// Sends requests of each kind at the same time; returns how many of how many were served.
async fn count_served(fleet: &GatewayFleet, vm: usize, prefix: &str) -> (usize, usize) {
    let mut requests = Vec::new();
    for count in 0..REQUESTS_PER_KIND {
        for path in ["/read/x", "/once/x", "/stream/x"] {
            requests.push(request(format!("{prefix}-{count}-{path}"), path));
        }
    }
    let calls = requests.iter().map(|request| fleet.call(vm, request));
    let responses = join_all(calls).await;
    let served = responses
        .iter()
        .filter(|response| response.status == 200 && response.is_complete && response.is_signed());
    (served.count(), responses.len())
}

/// Keeps a VM busy for as long as a VM may take to find out that it is cut off.
async fn settle(fleet: &GatewayFleet, vm: usize, prefix: &str) {
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < SETTLE_TIME {
        count += 1;
        let request = request(format!("{prefix}-settle-{count}"), "/read/x");
        fleet.call(vm, &request).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a VM that serves nothing because it reaches no server, though other VMs do.
#[actix_rt::test]
async fn cut_off_vm_serves_nothing() {
    for cut in [Cut::Reset, Cut::NewConnections] {
        let fleet = start(3).await;
        assert_eq!(
            count_served(&fleet, 0, "before").await,
            (ALL, ALL),
            "{cut:?}"
        );
        cut_off(&fleet, Some(0), cut).await;
        settle(&fleet, 0, "cut").await;
        let (served, sent) = count_served(&fleet, 0, "cut").await;
        assert!(served + 1 >= sent, "{cut:?}: {served} of {sent}");
        cut_off(&fleet, None, cut).await;
        fleet.wait_for_log(0, "name=servers_reached").await;
        assert_eq!(
            count_served(&fleet, 0, "after").await,
            (ALL, ALL),
            "{cut:?}"
        );
    }
}

/// Guards against requests that run twice, or that are refused as not run but run, because two VMs handle
/// them.
#[actix_rt::test]
async fn handed_over_requests_run_once() {
    let fleet = start(2).await;
    cut_off(&fleet, Some(0), Cut::Reset).await;
    settle(&fleet, 0, "cut").await;
    for count in 0..20 {
        let id = format!("once-{count}");
        let response = fleet.call(0, &request(id.clone(), "/once/x")).await;
        let runs = fleet.runs_of_request(&id).await.len();
        assert_eq!((response.status, runs), (200, 1), "{id}");
    }
}

/// Guards against two VMs that are cut off and hand requests to each other, and against a service that
/// no VM reaches.
#[actix_rt::test]
async fn unreached_service_is_refused() {
    let mut fleet = start(2).await;
    for server in 0..SERVERS {
        fleet.server_process(server).kill();
    }
    settle(&fleet, 0, "down").await;
    settle(&fleet, 1, "down").await;
    for vm in 0..2 {
        let started = Instant::now();
        let response = fleet
            .call(vm, &request(format!("down-{vm}"), "/read/x"))
            .await;
        assert_eq!(response.status, 503, "VM {vm}");
        assert!(response.retry_after_s().is_some(), "VM {vm}");
        assert!(started.elapsed() < Duration::from_secs(2), "VM {vm}");
    }
}

/// Guards against a server that goes on with a request whose caller has left the VM that handed it over.
#[actix_rt::test]
async fn caller_leaves_relayed_stream() {
    let fleet = start(2).await;
    cut_off(&fleet, Some(0), Cut::Reset).await;
    settle(&fleet, 0, "cut").await;
    let slow = ServerFaults {
        work_ms: 100,
        events: 40,
        cut_off: Some(fleet.listen_address(0).ip()),
        cuts_open_connections: true,
        ..ServerFaults::default()
    };
    for server in 0..SERVERS {
        fleet.set_server_faults(server, &slow).await;
    }
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    let request = request("s1".to_owned(), "/stream/x");
    let call = connection.call(&request);
    let result = actix_rt::time::timeout(Duration::from_millis(500), call).await;
    assert!(result.is_err(), "the stream takes four seconds");
    drop(connection);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let runs = fleet.runs_of_request("s1").await;
    assert_eq!(runs.len(), 1);
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    assert!(!fleet.runs_of_request("s1").await[0].is_complete);
}

/// Guards against connections that are not opened and use up the retries that other requests need.
#[actix_rt::test]
async fn refused_connections_spend_retries() {
    let mut fleet = start(2).await;
    for server in 1..SERVERS {
        fleet.server_process(server).kill();
    }
    for round in 0..10 {
        let requests: Vec<_> = (0..12)
            .map(|count| request(format!("r{round}-{count}"), "/once/x"))
            .collect();
        let responses = join_all(requests.iter().map(|request| fleet.call(0, request))).await;
        let statuses: Vec<_> = responses.iter().map(|response| response.status).collect();
        assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a caller that waits past its deadline for a VM which has taken its request over and stands
/// still in the middle of the response.
#[actix_rt::test]
async fn standing_vm_holds_callers() {
    let mut fleet = start(2).await;
    cut_off(&fleet, Some(0), Cut::Reset).await;
    settle(&fleet, 0, "cut").await;
    for server in 0..SERVERS {
        let faults = ServerFaults {
            work_ms: 100,
            events: 1000,
            cut_off: Some(fleet.listen_address(0).ip()),
            cuts_open_connections: true,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let request = GatewayRequest::new("held", "/single/x").prompt(1, 9);
    let request = request.deadline_ms(2500);
    let address = fleet.listen_address(0);
    let call = actix_rt::spawn(async move {
        let connection = CallerConnection::open(address).await;
        connection.expect("a connection").call(&request).await
    });
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    fleet.vm_process(1).suspend();
    let ended = tokio::time::timeout(Duration::from_secs(20), call).await;
    fleet.vm_process(1).resume();
    let response = ended.expect("the response does not end");
    let response = response.expect("the call ends").expect("a response");
    assert_eq!((response.status, response.is_complete), (200, false));
    assert!(!response.event_ids().is_empty());
}
