//! Times of the lease.

use std::time::Duration;

/// Fraction of the lease by which candidates wait longer, for clocks that run at different rates.
const CLOCK_MARGIN: u32 = 10;

/// Longest time of a call to the platform, as a fraction of the lease.
const CALL_FRACTION: u32 = 3;

/// Upper bound of the time of a call to the platform.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Renewals in one lease, so that one or two of them may fail.
const RENEWALS: u32 = 3;

/// Times of the lease, which follow from its length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time from the start of a renewal until all calls that it permits have ended.
    pub lease: Duration,
}

impl LeaseTimes {
    /// Timeout of a call to the platform.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        (self.lease / CALL_FRACTION).min(MAX_CALL_TIMEOUT)
    }

    /// Time from the start of a renewal in which calls may begin.
    #[must_use]
    pub fn send_time(&self) -> Duration {
        self.lease.saturating_sub(self.call_timeout())
    }

    /// Time between two renewals, and between two reads of a candidate.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        self.lease / RENEWALS
    }

    /// Time for which a candidate must see the row unchanged before it takes over.
    #[must_use]
    pub fn takeover_delay(&self) -> Duration {
        self.lease + self.lease / CLOCK_MARGIN
    }
}
