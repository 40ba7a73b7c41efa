//! A graceful shutdown completes requests in flight and refuses those that it could not complete.

use std::time::Duration;

use verbenahinge_emulator::scripted_server::{ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

async fn start(work_ms: u64, events: u64) -> GatewayFleet {
    let options = GatewayFleetOptions::new(CONFIG)
        .servers(1)
        .server_arg("--work-ms", &work_ms.to_string())
        .server_arg("--events", &events.to_string());
    GatewayFleet::start(BIN, options).await
}

#[actix_rt::test]
async fn streams_in_flight_finish() {
    let fleet = start(100, 35).await;
    let request = GatewayRequest::new("s1", "/stream/x")
        .deadline_ms(8000)
        .prompt(1, 2);
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("connection to the VM");
    let reader = actix_rt::spawn(async move { connection.call(&request).await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let mut fleet = fleet;
    fleet.vm_process(0).terminate();
    let response = reader.await.expect("caller task").expect("response");
    assert!(response.is_complete);
    assert_eq!(response.event_ids().len(), 35);
}

#[actix_rt::test]
async fn late_requests_refused() {
    let mut fleet = start(5, 5).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("connection to the VM");
    let early = GatewayRequest::new("early", "/stream/x")
        .deadline_ms(8000)
        .prompt(1, 2);
    fleet
        .set_server_faults(
            0,
            &ServerFaults {
                work_ms: 100,
                events: 40,
                ..ServerFaults::default()
            },
        )
        .await;
    let listen = fleet.listen_address(0);
    let reader = actix_rt::spawn(async move { connection.call(&early).await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.vm_process(0).terminate();
    fleet.wait_for_log(0, "name=draining").await;
    assert!(!fleet.is_ready(0).await);
    actix_rt::time::sleep(Duration::from_millis(2900)).await;
    // The VM still accepts connections of callers that find no other VM.
    let mut late = CallerConnection::open(listen)
        .await
        .expect("connection to a draining VM");
    let response = late
        .call(&GatewayRequest::new("late", "/read/x"))
        .await
        .expect("response");
    assert_eq!((response.status, response.closes_connection()), (503, true));
    assert!(fleet.runs_of_request("late").await.is_empty());
    let response = reader.await.expect("caller task").expect("response");
    assert!(response.is_complete);
}

#[actix_rt::test]
async fn close_is_announced() {
    let mut fleet = start(5, 5).await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("connection to the VM");
    let first = connection
        .call(&GatewayRequest::new("r1", "/read/x"))
        .await
        .expect("response");
    assert!(!first.closes_connection());
    fleet.vm_process(0).terminate();
    fleet.wait_for_log(0, "name=draining").await;
    let second = connection
        .call(&GatewayRequest::new("r2", "/read/x"))
        .await
        .expect("response");
    assert_eq!((second.status, second.closes_connection()), (200, true));
    fleet.wait_for_log(0, "name=drained").await;
}

/// Guards against a request that gets neither an answer nor a refusal because its VM ends while it
/// waits for a silent server.
#[actix_rt::test]
async fn shutdown_answers_nothing() {
    let mut fleet = start(5, 5).await;
    fleet.set_server_fault(0, ServerFault::Silence, 0).await;
    fleet.vm_process(0).terminate();
    fleet.wait_for_log(0, "name=draining").await;
    // Requests are refused from 2.6 s on.
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let request = GatewayRequest::new("s1", "/stream/x")
        .deadline_ms(8000)
        .prompt(1, 9);
    let response = fleet.call(0, &request).await;
    assert!(matches!(response.status, 502..=504), "{}", response.status);
    assert!(response.closes_connection());
}

/// Guards against requests that are taken late in a short grace period and cut off without an answer at its
/// end.
#[actix_rt::test]
async fn short_grace_cuts_requests() {
    let mut fleet = start(1500, 5).await;
    let grace = Duration::from_secs(2);
    fleet.change_settings(0, |settings| settings.bounds.shutdown_grace = grace);
    fleet.wait_for_log(0, "name=reloaded cause=signal").await;
    let listen = fleet.listen_address(0);
    fleet.vm_process(0).terminate();
    fleet.wait_for_log(0, "name=draining").await;
    actix_rt::time::sleep(Duration::from_millis(1300)).await;
    let caller = actix_rt::spawn(async move {
        let mut connection = CallerConnection::open(listen).await.ok()?;
        connection
            .call(&GatewayRequest::new("late", "/once/x").deadline_ms(5000))
            .await
            .ok()
    });
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    fleet.vm_process(0).kill();
    let response = caller.await.expect("caller task");
    let was_answered = response.is_some_and(|response| response.status == 200);
    let runs = fleet.runs_of_request("late").await;
    assert!(runs.is_empty() || was_answered, "{runs:?}");
}

/// Guards against requests that may not run twice and are cut off without an answer at the end of the grace
/// period.
#[actix_rt::test]
async fn shutdown_cuts_slow_requests() {
    let mut fleet = start(7500, 5).await;
    let config = CONFIG.replace("\"timeout_ms\": 1000", "\"timeout_ms\": 15000");
    let config = config.replace("\"version\": 7", "\"version\": 8");
    fleet.write_config(&config).await;
    fleet
        .wait_for_log(0, "name=config_in_force version=8 ")
        .await;
    fleet.vm_process(0).terminate();
    fleet.wait_for_log(0, "name=draining").await;
    actix_rt::time::sleep(Duration::from_millis(2200)).await;
    let request = GatewayRequest::new("late", "/once/x").deadline_ms(15000);
    let response = fleet.call(0, &request).await;
    assert!(matches!(response.status, 502..=504), "{}", response.status);
    assert!(response.closes_connection());
}
