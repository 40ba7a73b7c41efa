//! Responses without a length and without chunks, which end with their connection: whole ones are
//! forwarded whole, and those that are cut off never look whole to the caller. Responses that have
//! no body at all.

use std::collections::BTreeSet;

use hyper::Method;
use verbenahinge_emulator::scripted_server::{Framing, ServerFault, ServerFaults};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayFleetOptions, GatewayRequest};

const BIN: &str = env!("CARGO_BIN_EXE_verbenahinge");
const CONFIG: &str = include_str!("data/gateway.json");

const UNFRAMED: [Framing; 2] = [Framing::UntilClose, Framing::UntilAnnouncedClose];

/// Faults that cut off a stream after two events.
const STREAM_CUTS: [ServerFault; 4] = [
    ServerFault::BreakOff,
    ServerFault::Reset,
    ServerFault::ResetBetweenEvents,
    ServerFault::EndInEvent,
];

async fn start() -> GatewayFleet {
    GatewayFleet::start(BIN, GatewayFleetOptions::new(CONFIG)).await
}

async fn inject(fleet: &GatewayFleet, server: usize, fault: ServerFault, framing: Framing) {
    let faults = ServerFaults {
        fault,
        framing,
        work_ms: 5,
        events: 5,
        ..ServerFaults::default()
    };
    fleet.set_server_faults(server, &faults).await;
}

fn stream_request(id: &str, path: &str, shared_part: u64) -> GatewayRequest {
    GatewayRequest::new(id, path)
        .deadline_ms(8000)
        .prompt(shared_part, 9)
}

/// Checks that no server got two requests on one connection.
async fn assert_connections_unused(fleet: &GatewayFleet) {
    for server in 0..2 {
        let runs = fleet.runs(server).await;
        let connections: BTreeSet<u64> = runs.iter().map(|run| run.connection).collect();
        assert_eq!(connections.len(), runs.len());
    }
}

#[actix_rt::test]
async fn whole_responses() {
    let fleet = start().await;
    for framing in UNFRAMED {
        for server in 0..2 {
            inject(&fleet, server, ServerFault::None, framing).await;
        }
        for (count, path) in ["/read/x", "/once/x"].repeat(4).into_iter().enumerate() {
            let id = format!("{framing:?}-{count}");
            let response = fleet.call(0, &GatewayRequest::new(&id, path)).await;
            assert_eq!((response.status, response.is_complete), (200, true));
            assert!(response.is_signed());
            assert_eq!(response.body, format!("answer to {id}"));
            assert_eq!(fleet.runs_of_request(&id).await.len(), 1);
        }
    }
    assert_connections_unused(&fleet).await;
}

#[actix_rt::test]
async fn cut_responses_are_retried() {
    let fleet = start().await;
    for framing in [
        Framing::Declared,
        Framing::UntilClose,
        Framing::UntilAnnouncedClose,
    ] {
        inject(&fleet, 1, ServerFault::None, framing).await;
        for fault in [ServerFault::CutHead, ServerFault::Reset] {
            inject(&fleet, 0, fault, framing).await;
            for count in 0..4 {
                let id = format!("{framing:?}-{fault}-{count}");
                let response = fleet.call(0, &GatewayRequest::new(&id, "/read/x")).await;
                assert_eq!((response.status, response.is_complete), (200, true), "{id}");
                assert_eq!(response.body, format!("answer to {id}"));
            }
        }
    }
}

#[actix_rt::test]
async fn cut_responses_return_502() {
    let fleet = start().await;
    for (framing, fault) in [
        (Framing::Declared, ServerFault::BreakOff),
        (Framing::Declared, ServerFault::Reset),
        (Framing::UntilClose, ServerFault::CutHead),
        (Framing::UntilClose, ServerFault::Reset),
        (Framing::UntilAnnouncedClose, ServerFault::Reset),
    ] {
        for server in 0..2 {
            inject(&fleet, server, fault, framing).await;
        }
        let id = format!("{framing:?}-{fault}");
        let response = fleet.call(0, &GatewayRequest::new(&id, "/once/x")).await;
        assert_eq!((response.status, response.is_signed()), (502, false));
        assert_eq!(fleet.runs_of_request(&id).await.len(), 1);
    }
}

#[actix_rt::test]
async fn whole_streams() {
    let fleet = start().await;
    for framing in UNFRAMED {
        for server in 0..2 {
            inject(&fleet, server, ServerFault::None, framing).await;
        }
        for path in ["/stream/x", "/single/x"] {
            for part in 0..4 {
                let id = format!("{framing:?}-{path}-{part}");
                let response = fleet.call(0, &stream_request(&id, path, part)).await;
                assert_eq!((response.status, response.is_complete), (200, true));
                assert!(response.is_signed());
                assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
                assert_eq!(fleet.runs_of_request(&id).await.len(), 1);
            }
        }
    }
    assert_connections_unused(&fleet).await;
}

#[actix_rt::test]
async fn cut_streams_resume_elsewhere() {
    let fleet = start().await;
    let mut resumed = 0;
    for framing in UNFRAMED {
        inject(&fleet, 1, ServerFault::None, framing).await;
        for fault in STREAM_CUTS {
            inject(&fleet, 0, fault, framing).await;
            for part in 0..4 {
                let id = format!("{framing:?}-{fault}-{part}");
                let request = stream_request(&id, "/stream/x", part);
                let response = fleet.call(0, &request).await;
                assert!(response.is_complete, "{id}");
                assert_eq!(response.event_ids(), [1, 2, 3, 4, 5], "{id}");
                let runs = fleet.runs_of_request(&id).await;
                resumed += runs.iter().filter(|run| run.last_event == 2).count();
            }
        }
    }
    assert!(resumed > 0, "every stream began at the sound server");
}

#[actix_rt::test]
async fn cut_streams_look_incomplete() {
    let fleet = start().await;
    for framing in UNFRAMED {
        for fault in STREAM_CUTS {
            for server in 0..2 {
                inject(&fleet, server, fault, framing).await;
            }
            let id = format!("{framing:?}-{fault}");
            let response = fleet.call(0, &stream_request(&id, "/single/x", 1)).await;
            assert_eq!((response.status, response.is_complete), (200, false));
            assert_eq!(response.event_ids(), [1, 2], "{id}");
            assert_eq!(fleet.runs_of_request(&id).await.len(), 1);
        }
    }
}

/// Guards against a stream that ends inside an event without chunks being taken for a malformed one:
/// what its server lost may be more than the connection.
#[actix_rt::test]
async fn cut_event_hides_crash() {
    let fleet = start().await;
    for server in 0..2 {
        inject(&fleet, server, ServerFault::CrashInEvent, UNFRAMED[0]).await;
    }
    let response = fleet.call(0, &stream_request("s1", "/stream/x", 1)).await;
    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), [1, 2, 3]);
    fleet.wait_for_log(0, "quarantined=true").await;
    let response = fleet.call(0, &stream_request("s2", "/stream/x", 1)).await;
    assert_eq!(response.status, 503);
    assert!(
        response.body.contains("is not run again"),
        "{}",
        response.body
    );
}

/// A stream whose last chunk comes inside an event was ended by its server, which lost nothing.
#[actix_rt::test]
async fn last_chunk_in_event() {
    let fleet = start().await;
    for server in 0..2 {
        inject(&fleet, server, ServerFault::EndInEvent, Framing::Declared).await;
    }
    let response = fleet.call(0, &stream_request("s1", "/single/x", 1)).await;
    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), [1, 2]);
    fleet.wait_for_log(0, "failure=malformed").await;
}

/// Guards against a stream without chunks whose server closes the connection before the first event:
/// it looked like a whole stream without events.
#[actix_rt::test]
async fn lost_stream_looks_empty() {
    let fleet = start().await;
    for server in 0..2 {
        let faults = ServerFaults {
            fault: ServerFault::BreakOffBetweenEvents,
            framing: UNFRAMED[0],
            events: 1,
            ..ServerFaults::default()
        };
        fleet.set_server_faults(server, &faults).await;
    }
    let response = fleet.call(0, &stream_request("s1", "/single/x", 1)).await;
    assert_eq!((response.status, response.is_signed()), (502, false));
    assert_eq!(fleet.runs_of_request("s1").await.len(), 1);
    inject(&fleet, 1, ServerFault::None, UNFRAMED[0]).await;
    for part in 0..4 {
        let id = format!("s2-{part}");
        let response = fleet.call(0, &stream_request(&id, "/stream/x", part)).await;
        assert!(response.is_complete, "{id}");
        assert_eq!(response.event_ids(), [1, 2, 3, 4, 5], "{id}");
    }
    // The caller has all events, so none is left.
    let request = stream_request("s3", "/stream/x", 1).last_event_id(5);
    let response = fleet.call(0, &request).await;
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, "");
}

#[actix_rt::test]
async fn responses_without_body() {
    let fleet = start().await;
    let mut connection = CallerConnection::open(fleet.listen_address(0))
        .await
        .expect("a connection to the VM");
    for framing in [Framing::Declared, Framing::UntilClose] {
        for (method, status) in [
            (Method::HEAD, 200),
            (Method::GET, 204),
            (Method::GET, 304),
            (Method::POST, 200),
        ] {
            for server in 0..2 {
                let faults = ServerFaults {
                    framing,
                    status,
                    work_ms: 5,
                    ..ServerFaults::default()
                };
                fleet.set_server_faults(server, &faults).await;
            }
            let id = format!("{framing:?}-{method}-{status}");
            let has_body = method == Method::POST;
            let request = GatewayRequest::new(&id, "/read/x").method(method).body("");
            let response = connection.call(&request).await.expect("a response");
            assert_eq!((response.status, response.is_complete), (status, true));
            assert!(response.is_signed());
            let expected = if has_body {
                format!("answer to {id}")
            } else {
                String::new()
            };
            assert_eq!(response.body, expected, "{id}");
            assert_eq!(fleet.runs_of_request(&id).await.len(), 1, "{id}");
        }
    }
}
