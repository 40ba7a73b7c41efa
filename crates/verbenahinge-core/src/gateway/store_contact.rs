//! Whether entries that are missing from the store were removed, or lapsed while it was away.
//!
//! Load pattern: a store that is away for seconds, for all VMs or for some, while backend servers
//! leave and others can't renew their entries. Taking a removal for a lapse sends requests to a
//! server that has left; taking a lapse for a removal leaves live servers unused. See
//! `docs/design/feeds.md`.

use std::time::Duration;

use strum::Display;

use crate::Timestamp;

/// Time after the return of the store within which live backend servers register again, and for
/// which a server whose entry lapsed stays in use. A server that has left must be unused within two
/// seconds, so it is a little shorter.
pub const REREGISTER_GRACE: Duration = Duration::from_millis(1900);

/// Shortest outage in which an entry can lapse, in heartbeats. Entries lapse after three heartbeats
/// without a registration, and the first of them may pass before the outage.
const MIN_LAPSE_HEARTBEATS: u32 = 2;

/// What a VM knows about the store's availability at the time of a response.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StoreGap {
    /// The store was available, so entries that are missing were removed.
    #[default]
    None,
    /// The store was away for less time than an entry takes to lapse, as far as this VM saw. Missing
    /// entries were removed, unless most are missing: then the outage was longer.
    Brief,
    /// The store was away long enough for entries to lapse.
    Long,
}

/// Availability of the store, as seen by the watch of one table.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    failing_since: Option<Timestamp>,
    lapses_until: Option<Timestamp>,
}

impl StoreContact {
    /// Creates the state before the first call.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failing_since: None,
            lapses_until: None,
        }
    }

    /// Whether the last call failed.
    ///
    /// The next call should not wait for changes: its response separates the changes during the
    /// outage from those after it.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records a failed call; `since` is the earliest time at which the store may have been away.
    pub fn record_failure(&mut self, since: Timestamp) {
        self.failing_since.get_or_insert(since);
    }

    /// Records the response to a call that did not wait for a change; returns what it tells about missing
    /// entries.
    ///
    /// Where the replica was not confirmed for so long that entries can have lapsed, the store may have been
    /// away without a call that noticed it.
    pub fn record_read(
        &mut self,
        now: Timestamp,
        replica_age: Option<Duration>,
        heartbeat: Duration,
    ) -> StoreGap {
        let gap = self.record_response(now, replica_age, heartbeat);
        let may_have_lapsed =
            replica_age.is_some_and(|age| age >= heartbeat * MIN_LAPSE_HEARTBEATS);
        match gap {
            StoreGap::None if may_have_lapsed => StoreGap::Brief,
            gap => gap,
        }
    }

    /// Records that another VM read the table at `read_at` and confirmed the replica, which was `replica_age` old
    /// by then.
    ///
    /// After a time in which entries can have lapsed, the store may have been away, and entries that a read finds
    /// missing shortly after its return may come back.
    pub fn record_confirmation(
        &mut self,
        read_at: Timestamp,
        replica_age: Option<Duration>,
        heartbeat: Duration,
    ) {
        if replica_age.is_some_and(|age| age >= heartbeat * MIN_LAPSE_HEARTBEATS) {
            self.lapses_until = self.lapses_until.max(Some(read_at + REREGISTER_GRACE));
        }
    }

    /// Records a response; returns what it tells about missing entries.
    ///
    /// `replica_age` is the time since the replica was last known to be up to date, be it from
    /// another VM that reached the store; `heartbeat` is the time between two registrations of a
    /// backend server.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        replica_age: Option<Duration>,
        heartbeat: Duration,
    ) -> StoreGap {
        if let Some(since) = self.failing_since.take() {
            let outage = now.saturating_sub(since);
            let outage = replica_age.map_or(outage, |age| age.min(outage));
            if outage < heartbeat * MIN_LAPSE_HEARTBEATS {
                return StoreGap::Brief;
            }
            self.lapses_until = Some(now + REREGISTER_GRACE);
        }
        // Entries may also lapse shortly after the return of the store.
        match self.lapses_until {
            Some(until) if now < until => StoreGap::Long,
            _ => StoreGap::None,
        }
    }
}
