//! Requests that were running when backend servers crashed.

use std::time::Duration;

use verbenahinge_core::quarantine::{Quarantine, QuarantineStatus};

const NOW: Duration = Duration::from_secs(10);

#[test]
fn second_crash_quarantines() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(NOW, 7, 1);
    let after_first = quarantine.status(7);
    quarantine.record_crash(NOW + Duration::from_secs(5), 7, 2);
    let statuses = (after_first, quarantine.status(7), quarantine.status(8));
    assert_eq!(
        statuses,
        (
            QuarantineStatus::Suspect,
            QuarantineStatus::Quarantined,
            QuarantineStatus::Clear
        )
    );
}

#[test]
fn same_crash_counts_once() {
    let mut quarantine = Quarantine::new();
    assert!(quarantine.record_crash(NOW, 7, 1));
    assert!(!quarantine.record_crash(NOW, 7, 1));
    assert_eq!(quarantine.status(7), QuarantineStatus::Suspect);
}

#[test]
fn completion_clears() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(NOW, 7, 1);
    quarantine.record_completion(7);
    assert_eq!(quarantine.status(7), QuarantineStatus::Clear);
}

#[test]
fn common_cause_clears() {
    let mut quarantine = Quarantine::new();
    for crash in 1..=3 {
        quarantine.record_crash(NOW, 10 + crash, crash);
    }
    let cleared = quarantine.status(11);
    quarantine.record_crash(NOW + Duration::from_secs(20), 11, 9);
    assert_eq!(
        (cleared, quarantine.status(11)),
        (QuarantineStatus::Clear, QuarantineStatus::Quarantined)
    );
}
