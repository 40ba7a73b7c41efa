//! Refusal of a request that would crash backend servers.

use std::time::Duration;

use super::Suspect;

/// Why a request must not run, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// What is blamed for the crashes.
    pub suspect: Suspect,
    /// Time for which it is still refused.
    pub time_left: Duration,
}
