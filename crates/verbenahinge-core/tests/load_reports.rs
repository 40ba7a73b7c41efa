//! Load that servers report, and what VMs tell each other of it.

#[path = "support/services.rs"]
mod services;

use std::time::Duration;

use verbenahinge_core::gateway::{LoadReport, ServerEntry};

use self::services::{plain_call, plain_state, server_entry, server_name};

const NOW: Duration = Duration::from_secs(100);

/// Guards against a server that is avoided after its start, because VMs tell each other what the start
/// before had reported.
#[test]
fn report_of_earlier_start() {
    let report = LoadReport {
        running: 6,
        waiting: 2,
        slots: 64,
    };
    let restarted = ServerEntry {
        started_unix_ms: Some(2),
        ..server_entry(0)
    };
    let mut told = plain_state(1, 2);
    told.note_report(NOW, &server_name(0), report);
    told.upsert_server(restarted.clone());
    let mut other = plain_state(2, 2);
    other.upsert_server(restarted);
    other.apply_digest(NOW, &told.full_digest(NOW));
    let is_used = (0..50).any(|id| {
        let choice = other.choose_server(NOW, &plain_call(id, NOW, 2), &[]);
        *choice.expect("free servers").server == *server_name(0)
    });
    assert!(is_used);
}
