//! Servers that accept no connection from this VM: whether it is cut off, and which servers it uses.

#[path = "support/services.rs"]
mod services;

use std::collections::BTreeSet;
use std::time::Duration;

use verbenahinge_core::FailureKind;
use verbenahinge_core::gateway::{ServerReach, ServiceName};

const NOW: Duration = Duration::from_secs(1);

const SERVERS: usize = 4;

/// Guards against a VM that takes crashed servers for a cut of its own links, and the other way round.
#[test]
fn cut_needs_probes() {
    let service: ServiceName = "service".into();
    let mut reach = ServerReach::default();
    assert!(!reach.note_failed(&service, &"s1".into(), 4));
    assert!(!reach.note_failed(&service, &"s1".into(), 4));
    // One success of any server tells that the path is there.
    assert!(!reach.note_connected(&service));
    assert!(!reach.note_failed(&service, &"s2".into(), 4));
    assert!(reach.note_failed(&service, &"s1".into(), 4));
    assert!(!reach.note_failed(&service, &"s3".into(), 4));
    assert!(!reach.is_cut_off(&service));
    assert!(reach.note_probes_failed(&service));
    assert!(!reach.note_probes_failed(&service));
    assert!(reach.is_cut_off(&service));
    assert_eq!(reach.cut_off_services().collect::<Vec<_>>(), [&service]);
    assert!(reach.note_connected(&service));
    assert!(!reach.is_cut_off(&service));
    // A request has reached a server while the probes failed.
    assert!(!reach.note_probes_failed(&service));
    assert!(!reach.end_probes(&service));
}

/// Guards against a VM that was cut off and goes on without the servers at which connections failed meanwhile.
#[test]
fn servers_ejected_after_cut() {
    let mut state = services::plain_state(1, SERVERS);
    for index in 0..SERVERS {
        let server = services::server_entry(index).id;
        assert!(state.note_failure(NOW, &server, FailureKind::ConnectFailed));
    }
    let crashed = services::server_entry(0).id;
    state.note_failure(NOW, &crashed, FailureKind::ConnectionLost);
    state.note_failure(NOW, &crashed, FailureKind::ConnectionLost);
    state.end_cut("service");
    let mut chosen = BTreeSet::new();
    for id in 0..50 {
        let call = services::plain_call(id, NOW, 0);
        let choice = state.choose_server(NOW, &call, &[]).expect("a server");
        state.note_sent(NOW, &call, &choice);
        chosen.insert(choice.server);
    }
    assert_eq!(chosen.len(), SERVERS - 1);
    assert!(!chosen.contains(&crashed));
}

/// Guards against requests that are written to a connection which is reset at once, and may have run.
#[test]
fn connections_need_proof() {
    let service: ServiceName = "service".into();
    let mut reach = ServerReach::default();
    assert!(!reach.is_proven(NOW, &service));
    reach.note_answered(NOW, &service);
    assert!(reach.is_proven(NOW + Duration::from_secs(1), &service));
    assert!(!reach.is_proven(NOW + Duration::from_secs(3), &service));
    assert!(!reach.is_in_doubt(&service));
    reach.note_failed(&service, &"s1".into(), 2);
    assert!(!reach.is_in_doubt(&service));
    reach.note_failed(&service, &"s2".into(), 2);
    assert!(reach.is_in_doubt(&service));
    reach.note_probes_failed(&service);
    assert!(!reach.is_in_doubt(&service));
}

/// A service with one server has no second one to fail.
#[test]
fn single_server_is_probed() {
    let mut reach = ServerReach::default();
    assert!(reach.note_failed(&"service".into(), &"s1".into(), 1));
}

/// Guards against requests that wait for connections to servers out of reach although others accept them.
#[test]
fn unreachable_majority_is_used() {
    let mut state = services::plain_state(1, SERVERS);
    let reached = services::server_entry(0).id;
    for index in 1..SERVERS {
        let server = services::server_entry(index).id;
        assert!(state.note_failure(NOW, &server, FailureKind::ConnectFailed));
    }
    for id in 0..50 {
        let call = services::plain_call(id, NOW, 0);
        let choice = state.choose_server(NOW, &call, &[]).expect("a server");
        assert_eq!(choice.server, reached);
        state.note_sent(NOW, &call, &choice);
    }
    // If none accepts a connection, all are tried.
    state.note_failure(NOW, &reached, FailureKind::ConnectFailed);
    let call = services::plain_call(50, NOW, 0);
    assert!(state.choose_server(NOW, &call, &[]).is_ok());
}
