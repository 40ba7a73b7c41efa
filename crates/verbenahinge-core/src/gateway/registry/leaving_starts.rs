//! Backend servers that have said in an answer that they leave.
//!
//! A server that shuts down says so in all its answers, while its registry entry may still say that it
//! is ready: the store may be away, or read late, or return from an older copy. What the server said
//! holds for this start of its process, whatever its entry says, and outlives the entry. See
//! `docs/design/members.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::gateway::ServerStart;

/// Time for which a start is remembered after its entry has gone; an older copy of the store, or a
/// server that registers again after an outage, may bring the entry back.
const RETENTION: Duration = Duration::from_mins(10);

/// What the news that a server leaves changes on this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingNews {
    /// The VM knew it before.
    Known,
    /// The VM did not know it, but the server got no requests, by its registry entry.
    Unused,
    /// The server got requests until now.
    Stopped,
}

/// Starts of servers that leave, with the time at which their entries were last listed.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingStarts {
    listed_at: BTreeMap<ServerStart, Timestamp>,
}

impl LeavingStarts {
    /// Adds a start; returns whether it is new.
    pub(super) fn insert(&mut self, now: Timestamp, start: &ServerStart) -> bool {
        self.listed_at.insert(start.clone(), now).is_none()
    }

    /// Returns whether a start is known to leave.
    pub(super) fn contains(&self, start: &ServerStart) -> bool {
        self.listed_at.contains_key(start)
    }

    /// Drops starts whose entries have been gone for long.
    pub(super) fn expire(&mut self, now: Timestamp, is_listed: impl Fn(&ServerStart) -> bool) {
        self.listed_at.retain(|start, listed_at| {
            if is_listed(start) {
                *listed_at = now;
            }
            *listed_at + RETENTION > now
        });
    }
}
