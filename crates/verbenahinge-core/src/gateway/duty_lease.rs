//! Lease for the calls to the platform that one VM makes for the whole deployment.
//!
//! Load pattern: one call a second to the store, in deployments of one to five hundred VMs that freeze,
//! vanish, lose the store or each other, and start all at once. Rights follow from conditional writes of
//! one row and from the VM's own boot-time clock; clocks of two VMs are never compared. See
//! `docs/design/duty-lease.md`.

mod candidacy;
mod failure;
mod permit;
mod read;
mod role;
mod row;
mod step;
mod times;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub use self::candidacy::LeaseCandidacy;
pub use self::failure::LeaseFailure;
pub use self::permit::DutyPermit;
pub use self::read::LeaseRead;
pub use self::role::LeaseRole;
pub use self::row::LeaseRow;
pub use self::step::LeaseStep;
pub use self::times::LeaseTimes;
use super::StoreVersion;
use crate::Timestamp;

/// Position of the store's era in a fencing token. The bits below hold a version of the store, which
/// grows by one with each transaction.
const ERA_SHIFT: u32 = 40;

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Maximum age of the read on which a takeover is based; a later write would mostly be in vain.
const MAX_READ_AGE: Duration = Duration::from_millis(500);

/// Most writes without a known result that are remembered.
const MAX_UNKNOWN_WRITES: usize = 16;

/// The row as last read or written.
#[derive(Clone, Debug)]
struct SeenRow {
    read: LeaseRead,
    /// Time at which this version was first seen.
    since: Timestamp,
    /// Time at which this version was last seen.
    read_at: Timestamp,
}

/// Right to act that follows from a write.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    number: u64,
    send_before: Timestamp,
}

/// A write that was handed out and has no result yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    row: LeaseRow,
    era: u64,
    sent_at: Timestamp,
}

/// State of one VM with respect to the lease. All times are by the VM's boot-time clock, which goes on
/// while the VM is frozen.
#[derive(Clone, Debug)]
pub struct DutyLease {
    holder: Arc<str>,
    process: u64,
    times: LeaseTimes,
    role: LeaseRole,
    /// Whether a row that does not exist is taken without waiting.
    takes_absent_row: bool,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
    pending: Option<PendingWrite>,
    /// Writes whose result is unknown, by their number, with the time at which they were sent.
    unknown_writes: BTreeMap<u64, Timestamp>,
    writes: u64,
    needs_read: bool,
    not_before: Timestamp,
}

impl DutyLease {
    /// Creates the state of a process that has not read the row. `takes_absent_row` tells that the whole
    /// deployment starts for the first time, so that nobody can have held the lease before.
    #[must_use]
    pub fn new(
        holder: impl Into<Arc<str>>,
        process: u64,
        times: LeaseTimes,
        takes_absent_row: bool,
    ) -> Self {
        Self {
            holder: holder.into(),
            process,
            times,
            role: LeaseRole::default(),
            takes_absent_row,
            seen: None,
            held: None,
            pending: None,
            unknown_writes: BTreeMap::new(),
            writes: 0,
            needs_read: false,
            not_before: Duration::ZERO,
        }
    }

    /// Times of the lease.
    #[must_use]
    pub const fn times(&self) -> LeaseTimes {
        self.times
    }

    /// Sets the part that this VM takes.
    pub const fn set_role(&mut self, role: LeaseRole) {
        self.role = role;
    }

    /// Returns what to do next. After [`LeaseStep::Read`] and [`LeaseStep::Write`], the result has to be
    /// noted before the next call.
    pub fn next_step(&mut self, now: Timestamp) -> LeaseStep {
        if self.role == LeaseRole::Abstaining {
            return LeaseStep::Wait(self.times.renewal_interval());
        }
        if now < self.not_before {
            return LeaseStep::Wait(self.not_before.saturating_sub(now));
        }
        let is_candidate = self.role == LeaseRole::Candidate;
        let Some(seen) = &self.seen else {
            if is_candidate || self.needs_read {
                return LeaseStep::Read;
            }
            return LeaseStep::Wait(self.times.renewal_interval());
        };
        if self.needs_read {
            return LeaseStep::Read;
        }
        if let Some(number) = self.own_number(&seen.read) {
            let due = seen.since + self.times.renewal_interval();
            if now < due {
                return LeaseStep::Wait(due.saturating_sub(now));
            }
            return self.begin_write(now, number);
        }
        if !is_candidate {
            return LeaseStep::Wait(self.times.renewal_interval());
        }
        let takeover_at = self.takeover_at(seen);
        if now >= takeover_at && seen.read_at + MAX_READ_AGE >= now {
            let number = Self::next_number(&seen.read);
            return self.begin_write(now, number);
        }
        let read_due = (seen.read_at + self.times.renewal_interval()).min(takeover_at);
        if now < read_due {
            return LeaseStep::Wait(read_due.saturating_sub(now));
        }
        LeaseStep::Read
    }

    /// Notes the content of the row, read until now.
    pub fn note_read(&mut self, now: Timestamp, read: LeaseRead) {
        self.needs_read = false;
        let old = self.seen.as_ref();
        let is_same_era = old.is_none_or(|old| old.read.store.era == read.store.era);
        if !is_same_era {
            // The store has forgotten what it acknowledged last, maybe another holder.
            self.enter_era();
        }
        let old = self.seen.as_ref();
        let unchanged = old.filter(|old| old.read.row_version == read.row_version);
        let mut since = unchanged.map_or(now, |old| old.since);
        if read.row_version > 0 {
            self.takes_absent_row = false;
        }
        if let Some(number) = self.own_number(&read) {
            if let Some(sent_at) = self.unknown_writes.remove(&read.row.renewals) {
                since = sent_at;
                self.held = Some(HeldLease {
                    number,
                    send_before: sent_at + self.times.send_time(),
                });
            }
        } else {
            self.held = None;
        }
        self.seen = Some(SeenRow {
            read,
            since,
            read_at: now,
        });
    }

    /// Notes that the row was written; `store` is the row's new version and the era of the response.
    pub fn note_written(&mut self, now: Timestamp, store: StoreVersion) {
        let Some(write) = self.pending.take() else {
            return;
        };
        if write.era != store.era {
            self.enter_era();
            self.needs_read = true;
            return;
        }
        // The row has a new version, so earlier writes will not be performed any more.
        self.unknown_writes.clear();
        self.takes_absent_row = false;
        self.held = Some(HeldLease {
            number: write.row.number,
            send_before: write.sent_at + self.times.send_time(),
        });
        self.seen = Some(SeenRow {
            read: LeaseRead {
                store,
                row_version: store.number,
                row: write.row,
            },
            since: write.sent_at,
            read_at: now,
        });
    }

    /// Notes that a read or a write failed. What the row contains is read next.
    pub fn note_failed(&mut self, now: Timestamp, failure: LeaseFailure) {
        self.needs_read = true;
        let write = self.pending.take();
        match failure {
            LeaseFailure::Changed => self.held = None,
            LeaseFailure::Unknown => {
                self.not_before = now + RETRY_PAUSE;
                if let Some(write) = write {
                    self.unknown_writes
                        .insert(write.row.renewals, write.sent_at);
                }
                while self.unknown_writes.len() > MAX_UNKNOWN_WRITES {
                    self.unknown_writes.pop_first();
                }
            }
        }
    }

    /// Notes the era of a response to another call of this VM; a later era than that of the last read ends
    /// the right to act.
    pub fn note_era(&mut self, era: u64) {
        let is_later = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.read.store.era < era);
        if is_later {
            self.enter_era();
            self.needs_read = true;
        }
    }

    /// Right to act at this moment. It has to be asked for immediately before each call.
    #[must_use]
    pub fn permit(&self, now: Timestamp) -> Option<DutyPermit> {
        if self.role == LeaseRole::Abstaining {
            return None;
        }
        let held = self.held.filter(|held| now < held.send_before)?;
        Some(DutyPermit {
            holder: Arc::clone(&self.holder),
            number: held.number,
            send_before: held.send_before,
        })
    }

    /// Forgets what was seen of the row before the store returned from an older copy.
    fn enter_era(&mut self) {
        self.held = None;
        self.seen = None;
        self.unknown_writes.clear();
        self.takes_absent_row = false;
    }

    /// Fencing token of a row that this process has written in the store's present era.
    ///
    /// A row of this process that an older copy of the store contains does not count: another VM may have
    /// held the lease since that copy.
    fn own_number(&self, read: &LeaseRead) -> Option<u64> {
        let row = &read.row;
        let is_own = read.row_version > 0
            && row.process == self.process
            && *row.holder == *self.holder
            && row.number >> ERA_SHIFT == read.store.era;
        is_own.then_some(row.number)
    }

    /// Fencing token of a holder that takes over the row that was read: higher than those of all earlier
    /// holders.
    ///
    /// It contains the version of the store at the time of the read rather than the last token plus one.
    /// Otherwise, a write that was sent in an earlier era and performed in this one would bring an old
    /// token back, and a later holder would get a token for the second time.
    fn next_number(read: &LeaseRead) -> u64 {
        let version = read.store.number.max(read.row_version);
        let lowest = (read.store.era << ERA_SHIFT) + version + 1;
        lowest.max(read.row.number.saturating_add(1))
    }

    fn takeover_at(&self, seen: &SeenRow) -> Timestamp {
        if seen.read.row_version == 0 && self.takes_absent_row {
            return Duration::ZERO;
        }
        seen.since + self.times.takeover_delay()
    }

    fn begin_write(&mut self, now: Timestamp, number: u64) -> LeaseStep {
        let Some(seen) = &self.seen else {
            return LeaseStep::Read;
        };
        self.writes += 1;
        let row = LeaseRow {
            holder: self.holder.to_string(),
            process: self.process,
            number,
            renewals: self.writes,
        };
        self.pending = Some(PendingWrite {
            row: row.clone(),
            era: seen.read.store.era,
            sent_at: now,
        });
        LeaseStep::Write {
            row_version: seen.read.row_version,
            row,
        }
    }
}
