//! A late timer tells how long the thread was held, and since when requests may have waited.

use std::time::Duration;

use verbenahinge_core::gateway::HoldMonitor;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn late_timers_measured() {
    let mut monitor = HoldMonitor::default();
    assert_eq!(monitor.record_wake(ms(900)), ms(0));
    monitor.expect_wake(ms(1_000));
    assert_eq!(monitor.record_wake(ms(1_003)), ms(3));
    assert_eq!(monitor.arrival_time(ms(1_004)), ms(1_004));
    monitor.expect_wake(ms(1_103));
    assert_eq!(monitor.record_wake(ms(2_603)), ms(1_500));
    monitor.record_reads();
    assert_eq!(monitor.arrival_time(ms(2_604)), ms(2_604));
}

#[test]
fn arrivals_during_holds() {
    let mut monitor = HoldMonitor::default();
    monitor.expect_wake(ms(1_000));
    // The request is read before the late timer is handled.
    assert_eq!(monitor.arrival_time(ms(1_099)), ms(1_099));
    assert_eq!(monitor.arrival_time(ms(2_500)), ms(1_000));
    monitor.record_wake(ms(2_500));
    assert_eq!(monitor.arrival_time(ms(2_501)), ms(1_000));
    monitor.record_reads();
    assert_eq!(monitor.arrival_time(ms(2_502)), ms(2_502));
}
