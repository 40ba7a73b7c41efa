//! Servers that are up but lose their connections are not taken for crashed ones.

use std::time::Duration;

use futures_util::future::join_all;
use verbenahinge_emulator::scripted_server::ServerFault;
use verbenahinge_testkit::{GatewayFleet, GatewayFleetOptions, GatewayRequest, LinkFault, Proxy};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

/// Whether a reset is seen when a connection is opened or only after that is a race.
const ROUNDS: usize = 8;

/// Guards against a request that is refused because connections to its servers were reset, and new ones
/// too once they were open.
#[actix_rt::test]
async fn resets_quarantine_request() {
    let fleet = GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await;
    let mut proxies = Vec::new();
    for server in 0..2 {
        let mut entry = fleet.server_entry(server);
        let proxy = Proxy::start(entry.address).await;
        entry.address = proxy.address();
        fleet.register(&entry).await;
        let updated = format!("server={} change=updated", entry.id);
        fleet.wait_for_log(0, &updated).await;
        proxies.push(proxy);
    }
    for round in 0..ROUNDS {
        break_connections(&fleet, &proxies, round).await;
    }
}

/// Resets the connections of two requests, and all connections while their servers are checked for a
/// crash.
async fn break_connections(fleet: &GatewayFleet, proxies: &[Proxy], round: usize) {
    let path = format!("/once/{round}");
    for server in 0..2 {
        fleet
            .set_server_fault(server, ServerFault::Silence, 0)
            .await;
    }
    let ids = [0, 1].map(|index| format!("r{round}-{index}"));
    let reset_links = async {
        for id in &ids {
            while fleet.runs_of_request(id).await.is_empty() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
        for proxy in proxies {
            proxy.set_fault(LinkFault::Reset);
        }
    };
    let requests = [&ids[0], &ids[1]].map(|id| GatewayRequest::new(id, &path));
    let calls = join_all(requests.iter().map(|request| fleet.call(0, request)));
    let (responses, ()) = tokio::join!(calls, reset_links);
    for response in responses {
        assert_eq!(response.status, 502);
    }
    // The servers are checked for a crash meanwhile.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    for (server, proxy) in proxies.iter().enumerate() {
        proxy.set_fault(LinkFault::None);
        fleet.set_server_fault(server, ServerFault::None, 0).await;
    }
    let request = GatewayRequest::new(format!("r{round}-after"), &path);
    fleet.wait_for_status(0, &request, 200).await;
}
