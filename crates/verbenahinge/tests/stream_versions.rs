//! Streams while servers of several software versions serve side by side: what two versions write does
//! not fit together, so that a stream continues only at the version that began it.

use std::time::{Duration, Instant};

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_platform::store::SOFTWARE_TABLE;
use verbenahinge_testkit::{
    GatewayFleet, GatewayFleetOptions, GatewayRequest, GatewayResponse, LinkFault, Proxy,
};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Servers of the fleet.
const SERVERS: usize = 3;

/// Time within which the version of a service is kept in the store.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time within which the store holds where a stream began.
const WRITE_TIME: Duration = Duration::from_millis(500);

/// Fleet whose streams begin at the server `first`.
struct MixedFleet {
    fleet: GatewayFleet,
    first: usize,
}

impl MixedFleet {
    /// Starts a fleet; the first version is that of the server at which streams begin.
    async fn start(vms: u8, versions: [&str; SERVERS]) -> Self {
        let options = GatewayFleetOptions::new(CONFIG).vms(vms).servers(SERVERS);
        let fleet = GatewayFleet::start(BIN, options).await;
        let warm_up = fleet.call(0, &stream_request("warm-up")).await;
        assert_eq!(warm_up.status, 200);
        let mut first = 0;
        while fleet.runs(first).await.is_empty() {
            first += 1;
        }
        let mixed = Self { fleet, first };
        let others = (0..SERVERS).filter(|&server| server != first);
        for (server, version) in [first].into_iter().chain(others).zip(versions) {
            mixed.set_version(server, version).await;
        }
        mixed
    }

    /// Registers a server with a software version, and waits until all VMs know it.
    async fn set_version(&self, server: usize, software: &str) {
        let entry = self.fleet.server_entry(server).software(software);
        self.fleet.register(&entry).await;
        for vm in 0..self.fleet.vm_count() {
            let change = format!("server=server-{server} change=updated");
            self.fleet.wait_for_log(vm, &change).await;
        }
    }

    async fn set_fault(&self, server: usize, fault: ServerFault) {
        let faults = ServerFaults {
            fault,
            work_ms: 40,
            events: 8,
            ..ServerFaults::default()
        };
        self.fleet.set_server_faults(server, &faults).await;
    }

    /// Has the first server cut its streams off, and the others write all events.
    async fn break_first(&self, fault: ServerFault) {
        for server in 0..SERVERS {
            let is_first = server == self.first;
            let fault = if is_first { fault } else { ServerFault::None };
            self.set_fault(server, fault).await;
        }
    }

    fn first_name(&self) -> String {
        format!("server-{}", self.first)
    }
}

fn stream_request(id: &str) -> GatewayRequest {
    GatewayRequest::new(id, "/stream/x")
        .deadline_ms(8000)
        .prompt(1, 9)
}

/// Request of a caller that comes back for the rest of a stream.
fn resumption(id: &str, resumed: &str, response: &GatewayResponse) -> GatewayRequest {
    let last = response.event_ids().last().copied().unwrap_or(0);
    stream_request(id).last_event_id(last).resumes(resumed)
}

/// Guards against a VM that continues a broken stream at another version.
#[actix_rt::test]
async fn broken_stream_joins_versions() {
    let mixed = MixedFleet::start(1, ["v1", "v2", "v3"]).await;
    for fault in [
        ServerFault::BreakOff,
        ServerFault::ResetBetweenEvents,
        ServerFault::Stall,
    ] {
        for server in 0..SERVERS {
            mixed.set_fault(server, fault).await;
        }
        let request = stream_request(&fault.to_string()).deadline_ms(3000);
        let response = mixed.fleet.call(0, &request).await;
        let mut servers = response.event_servers();
        servers.dedup();
        assert_eq!(servers.len(), 1, "{fault}: {servers:?}");
        assert!(!response.is_complete, "{fault}");
    }
}

/// Guards against a VM that breaks a stream off though another server of its version can continue it.
#[actix_rt::test]
async fn same_version_continues_stream() {
    for fault in [ServerFault::BreakOff, ServerFault::Stall] {
        let mixed = MixedFleet::start(1, ["v1", "v1", "v2"]).await;
        mixed.break_first(fault).await;
        let response = mixed.fleet.call(0, &stream_request("s1")).await;
        assert!(response.is_complete, "{fault}");
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5, 6, 7, 8], "{fault}");
        assert_eq!(mixed.fleet.runs_of_request("s1").await.len(), 2, "{fault}");
    }
}

/// Guards against a caller that comes back to any VM and gets events of another version.
#[actix_rt::test]
async fn returning_caller_joins_versions() {
    let mut mixed = MixedFleet::start(3, ["v1", "v2", "v2"]).await;
    mixed.break_first(ServerFault::BreakOff).await;
    let broken = mixed.fleet.call(0, &stream_request("s1")).await;
    assert_eq!(broken.event_servers().first(), Some(&&*mixed.first_name()));
    mixed.break_first(ServerFault::None).await;
    // The first server is the only one of its version, and pauses for long enough to be passed over.
    mixed.set_fault(mixed.first, ServerFault::Reject).await;
    for (vm, id) in [(0, "s2"), (1, "s3")] {
        let response = mixed.fleet.call(vm, &resumption(id, "s1", &broken)).await;
        assert_eq!(response.status, 503, "VM {vm}: {:?}", response.body);
    }
    mixed.set_fault(mixed.first, ServerFault::None).await;
    mixed.fleet.vm_process(0).kill();
    for (vm, id) in [(1, "s4"), (2, "s5")] {
        let response = mixed.fleet.call(vm, &resumption(id, "s1", &broken)).await;
        assert_eq!(response.status, 200, "VM {vm}: {:?}", response.body);
        let first = mixed.first_name();
        assert!(response.event_servers().iter().all(|&name| name == first));
    }
}

/// Guards against a stream whose beginning no VM knows and that is continued by a guess.
#[actix_rt::test]
async fn unknown_beginning_is_guessed() {
    let mixed = MixedFleet::start(2, ["v1", "v1", "v2"]).await;
    let requests = [
        stream_request("u1").last_event_id(2).resumes("never-sent"),
        stream_request("u2").last_event_id(2),
        stream_request("u3").last_event_id(2).resumes(""),
    ];
    for request in requests {
        let response = mixed.fleet.call(1, &request).await;
        assert_eq!(response.status, 503, "{:?}", response.body);
        assert!(response.retry_after_s().is_some());
    }
    for id in ["u1", "u2", "u3"] {
        assert!(mixed.fleet.runs_of_request(id).await.is_empty(), "{id}");
    }
}

/// Guards against a VM that has just started and does not know where a stream began.
#[actix_rt::test]
async fn new_vm_knows_no_beginning() {
    let mut mixed = MixedFleet::start(2, ["v1", "v2", "v2"]).await;
    mixed.break_first(ServerFault::BreakOff).await;
    let broken = mixed.fleet.call(0, &stream_request("s1")).await;
    mixed.break_first(ServerFault::None).await;
    mixed.fleet.add_vm();
    mixed.fleet.wait_until_ready(2).await;
    mixed.fleet.wait_for_log(2, "name=peer_linked").await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let response = mixed.fleet.call(2, &resumption("s2", "s1", &broken)).await;
    assert_eq!(response.status, 200, "{:?}", response.body);
    let first = mixed.first_name();
    assert!(response.event_servers().iter().all(|&name| name == first));
}

/// Guards against streams that cannot continue because all VMs were replaced, though their service has
/// never had another version.
#[actix_rt::test]
async fn replaced_vms_forget_versions() {
    let options = GatewayFleetOptions::new(CONFIG).vms(2).servers(SERVERS);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let whole = fleet.call(0, &stream_request("s1")).await;
    assert_eq!(whole.event_ids(), [1, 2, 3, 4, 5]);
    let started = Instant::now();
    while fleet.store_keys(SOFTWARE_TABLE).await.is_empty() {
        assert!(started.elapsed() < SETTLE_TIME, "the version is not kept");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    for vm in 0..2 {
        fleet.vm_process(vm).kill();
    }
    for vm in 0..2 {
        fleet.vm_process(vm).restart();
    }
    for vm in 0..2 {
        fleet.wait_until_ready(vm).await;
    }
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let rest = stream_request("s2").last_event_id(3).resumes("s1");
    let response = fleet.call(1, &rest).await;
    assert_eq!(response.status, 200, "{:?}", response.body);
    assert_eq!(response.event_ids(), [4, 5]);
}

/// VM that reaches the store through the proxy, has no other VM to ask, and knows that the servers have had one
/// version for long.
async fn start_out_of_step() -> (GatewayFleet, Proxy) {
    let options = GatewayFleetOptions::new(CONFIG).servers(SERVERS);
    let mut fleet = GatewayFleet::start(BIN, options).await;
    let started = Instant::now();
    while fleet.store_keys(SOFTWARE_TABLE).await.is_empty() {
        assert!(started.elapsed() < SETTLE_TIME, "the version is not kept");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let proxy = Proxy::start(fleet.store_address()).await;
    fleet.add_vm_with_store(proxy.address());
    fleet.wait_until_ready(1).await;
    fleet.vm_process(0).kill();
    let rest = stream_request("known").last_event_id(3).resumes("s0");
    fleet.wait_for_status(1, &rest, 200).await;
    (fleet, proxy)
}

/// Guards against a VM that continues a stream at the only version that it knows, though servers of another
/// one have joined while it was out of step.
#[actix_rt::test]
async fn out_of_step_vm_joins_versions() {
    let is_cut_off = [false, true];
    for is_cut_off in is_cut_off {
        let (fleet, proxy) = start_out_of_step().await;
        if is_cut_off {
            proxy.set_fault(LinkFault::StallResponses);
        } else {
            proxy.stall_open_connections();
        }
        let entry = fleet.server_entry(0).software("v2");
        fleet.register(&entry).await;
        // The stream began at the new version, through another VM.
        let rest = stream_request("s2").last_event_id(3).resumes("s1");
        let response = fleet.call(1, &rest).await;
        assert_eq!(response.status, 503, "{is_cut_off}: {:?}", response.body);
        assert!(response.retry_after_s().is_some());
        assert!(fleet.runs_of_request("s2").await.is_empty());
    }
}

/// Kills all VMs at once, as a loss of power does, and waits until they serve again.
async fn lose_all_vms(fleet: &mut GatewayFleet) {
    for vm in 0..fleet.vm_count() {
        fleet.vm_process(vm).kill();
    }
    for vm in 0..fleet.vm_count() {
        fleet.vm_process(vm).restart();
    }
    for vm in 0..fleet.vm_count() {
        fleet.wait_until_ready(vm).await;
    }
}

/// Guards against streams that cannot continue because all VMs lost power in the midst of a release,
/// though servers of their version are there; also after a second loss.
#[actix_rt::test]
async fn release_outlives_vms() {
    let mut mixed = MixedFleet::start(3, ["v1", "v2", "v2"]).await;
    mixed.break_first(ServerFault::BreakOff).await;
    let broken = mixed.fleet.call(0, &stream_request("s1")).await;
    assert_eq!(broken.event_servers().first(), Some(&&*mixed.first_name()));
    actix_rt::time::sleep(WRITE_TIME).await;
    mixed.break_first(ServerFault::None).await;
    for (vm, id) in [(1, "s2"), (2, "s3")] {
        lose_all_vms(&mut mixed.fleet).await;
        let response = mixed.fleet.call(vm, &resumption(id, "s1", &broken)).await;
        assert_eq!(response.status, 200, "{id}: {:?}", response.body);
        let first = mixed.first_name();
        assert!(response.event_servers().iter().all(|&name| name == first));
    }
}
