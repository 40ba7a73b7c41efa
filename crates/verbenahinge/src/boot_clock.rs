//! Clock that goes on while the VM is frozen.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use verbenahinge_core::Timestamp;

/// Time since the VM was booted. Unlike that of [`Clock`](crate::clock::Clock), it includes the time in
/// which the VM was frozen.
pub(crate) fn boot_time() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
}
