//! Servers that accept no connection from this VM.

#[path = "support/services.rs"]
mod services;

use std::time::Duration;

use verbenahinge_core::FailureKind;

const NOW: Duration = Duration::from_secs(1);

const SERVERS: usize = 4;

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
