//! Pauses that backend servers ask for.
//!
//! Load pattern: a server that rejects a request for want of room names a time in which it wants nothing
//! from this VM, while other VMs may still use it; requests that would be rejected again cost the
//! callers a round trip and the server work. See `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::{Call, PlacementError, ServerEntry, ServerStart};

/// Longest pause that is kept, so that a server with a wrong clock or unit is asked again.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// Longest time by which less urgent callers are asked to return later than more urgent ones.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(1);

/// Ends of pauses by the start of the server that asked for them; they outlive the registry entry.
pub(super) type Pauses = BTreeMap<ServerStart, Timestamp>;

impl GatewayState {
    /// Records that a server wants no request from this VM for `wait`; returns whether a pause begins.
    ///
    /// A shorter pause does not end a longer one, since answers may overtake each other.
    pub fn note_pause(&mut self, now: Timestamp, start: &ServerStart, wait: Duration) -> bool {
        let until = now + wait.min(MAX_PAUSE);
        if until <= now {
            return false;
        }
        let old = self.pauses.get(start).copied();
        let latest = old.map_or(until, |old| old.max(until));
        self.pauses.insert(start.clone(), latest);
        old.is_none_or(|old| old <= now)
    }

    /// Time until a server wants requests from this VM again; `None` if it does now.
    #[must_use]
    pub fn pause_left(&self, now: Timestamp, entry: &ServerEntry) -> Option<Duration> {
        if self.pauses.is_empty() {
            return None;
        }
        let until = self.pauses.get(&entry.start())?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    pub(super) fn expire_pauses(&mut self, now: Timestamp) {
        self.pauses.retain(|_, until| *until > now);
    }

    /// Time until the first server of a call's service wants requests again; `None` if one does now, or
    /// if there is no server.
    #[must_use]
    pub fn service_pause(&self, now: Timestamp, call: &Call) -> Option<Duration> {
        if self.pauses.is_empty() {
            return None;
        }
        let mut shortest: Option<Duration> = None;
        for entry in self.registry.ready(&call.service) {
            let left = self.pause_left(now, entry)?;
            shortest = Some(shortest.map_or(left, |shortest| shortest.min(left)));
        }
        shortest
    }

    /// Records that a call is refused because of limits or pauses; returns the reason.
    ///
    /// When all servers pause, less urgent callers are asked to return a little later than more urgent
    /// ones, so that these find room first.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Timestamp,
        call: &Call,
        wait: Duration,
    ) -> PlacementError {
        self.note_limited(now, call, true);
        if self.service_pause(now, call).is_some() && self.is_preceded(now, call) {
            return PlacementError::Limited(wait + wait.min(MAX_ORDER_DELAY));
        }
        PlacementError::Limited(wait)
    }

    /// Returns the reason to refuse a call that no server is left for.
    pub fn refuse_unplaced(&mut self, now: Timestamp, call: &Call) -> PlacementError {
        match self.service_pause(now, call) {
            Some(wait) => self.refuse_waiting(now, call, wait),
            None if self.lacks_room(now, call) => PlacementError::Full,
            None => PlacementError::NoServer,
        }
    }
}
