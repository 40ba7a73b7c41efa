//! Memory that callers and servers make a VM hold, and what is given up when it is short.
//!
//! Answers three loads: many bodies that stop short of their end, responses that are not read, and
//! servers that answer without end. See `docs/design/caller-memory.md`.

mod body_pace;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use self::body_pace::{BodyPace, Pace};
use super::Priority;
use crate::Timestamp;

/// Number of something that is held.
pub type HoldId = u64;

/// Hash of the client account of a request, or of its caller's address.
pub type HoldOwner = u64;

/// Fraction of the VM's memory that everything held may use. The process itself, connections and
/// the allocator need the rest of the 80 % that a VM may use.
const MEMORY_DIVISOR: usize = 4;

/// Fraction of the VM's memory that responses may use while they are read.
const RESPONSE_DIVISOR: usize = 8;

/// Fraction of the budget that only bodies of at most [`SMALL_BODY_BYTES`] may use, so that large
/// ones do not keep ordinary requests out.
const SMALL_RESERVE_DIVISOR: usize = 8;

/// Size up to which a body may use the whole budget.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// What memory is held for.
#[derive(Clone, Copy, Debug)]
enum Use {
    /// A body that is being received, whose request has not run.
    Body(BodyPace),
    /// The body of a request that is being served.
    Request,
    /// A response that is being read from a server.
    Response,
    /// Parts of responses that a caller has not taken since a time.
    Unread(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    used_for: Use,
    owner: HoldOwner,
    priority: Priority,
    bytes: usize,
}

/// Holds that make room for another, and whether that one fits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Admission {
    /// Whether the bytes may be held.
    pub admitted: bool,
    /// Holds that have been given up; their memory must be released at once.
    pub dropped: Vec<HoldId>,
}

/// Budget of one VM.
#[derive(Debug)]
pub struct CallerMemory {
    max_bytes: usize,
    max_response_bytes: usize,
    used_bytes: usize,
    response_bytes: usize,
    holds: BTreeMap<HoldId, Hold>,
    last_id: HoldId,
}

impl CallerMemory {
    /// Creates the budget of a VM with an amount of memory.
    #[must_use]
    pub fn new(memory_mb: u64) -> Self {
        let memory_bytes = usize::try_from(memory_mb).unwrap_or(usize::MAX >> 20) << 20;
        Self {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            max_response_bytes: memory_bytes / RESPONSE_DIVISOR,
            used_bytes: 0,
            response_bytes: 0,
            holds: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the bytes that may be held.
    #[must_use]
    pub const fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Begins to receive a body whose length is known or not; `None` if it would find no room.
    ///
    /// Bodies that are stalled, slow or less urgent count as room, since they make way for it.
    pub fn begin_body(
        &mut self,
        now: Timestamp,
        owner: HoldOwner,
        priority: Priority,
        length: Option<usize>,
    ) -> Option<HoldId> {
        let length = length.unwrap_or(0);
        let reclaimable: usize = self
            .holds
            .values()
            .filter(|hold| hold.rank(now) < Pace::Steady || hold.is_less_urgent(priority))
            .map(|hold| hold.bytes)
            .sum();
        let kept_bytes = self.used_bytes.saturating_sub(reclaimable);
        if kept_bytes > 0 && kept_bytes + length > self.limit(length) {
            return None;
        }
        let used_for = Use::Body(BodyPace::new(now));
        Some(self.insert(used_for, owner, priority))
    }

    /// Begins to read a response from a server.
    pub fn begin_response(&mut self) -> HoldId {
        self.insert(Use::Response, 0, 0)
    }

    /// Begins to count what a caller has not taken of its responses.
    pub fn begin_unread(&mut self, now: Timestamp, owner: HoldOwner) -> HoldId {
        self.insert(Use::Unread(now), owner, 0)
    }

    /// Notes that bytes of a body have arrived, and lets it hold `bytes` from now on.
    ///
    /// If room is short, stalled and slow bodies and unread responses are given up first, whatever
    /// their priority; then the least urgent bodies, of these the ones of the owner that holds most,
    /// and of these the largest. Bodies that are more urgent than this one are not given up for it.
    pub fn grow_body(
        &mut self,
        now: Timestamp,
        id: HoldId,
        arrived: usize,
        bytes: usize,
    ) -> Admission {
        let mut admission = Admission::default();
        let Some(hold) = self.holds.get_mut(&id) else {
            return admission;
        };
        if let Use::Body(pace) = &mut hold.used_for {
            pace.note_arrived(now, arrived);
        }
        let priority = hold.priority;
        let old_bytes = std::mem::replace(&mut hold.bytes, bytes);
        self.used_bytes = self.used_bytes + bytes - old_bytes;
        if bytes <= old_bytes {
            admission.admitted = true;
            return admission;
        }
        // One body by itself is always accepted.
        while self.used_bytes > self.limit(bytes) && self.used_bytes > bytes {
            let worst = self.worst(now, |hold| {
                hold.rank(now) < Pace::Steady
                    || (hold.is_body() && hold.priority >= priority && hold.bytes > 0)
            });
            let Some(worst) = worst.filter(|worst| *worst != id) else {
                self.end(id);
                return admission;
            };
            self.end(worst);
            admission.dropped.push(worst);
        }
        admission.admitted = true;
        admission
    }

    /// Lets a response that is being read hold more bytes.
    ///
    /// Requests that have not run make way for responses, which are the result of work.
    pub fn grow_response(&mut self, now: Timestamp, id: HoldId, added: usize) -> Admission {
        let mut admission = Admission::default();
        if self.response_bytes + added > self.max_response_bytes {
            return admission;
        }
        self.response_bytes += added;
        self.force(now, id, added, &mut admission);
        admission.admitted = true;
        admission
    }

    /// Sets how much a caller has not taken of its responses; it has taken none since the first call
    /// or the last call of [`CallerMemory::note_taken`].
    pub fn set_unread(&mut self, now: Timestamp, id: HoldId, bytes: usize) -> Admission {
        let mut admission = Admission::default();
        let Some(hold) = self.holds.get_mut(&id) else {
            return admission;
        };
        let old_bytes = std::mem::replace(&mut hold.bytes, 0);
        self.used_bytes -= old_bytes;
        self.force(now, id, bytes, &mut admission);
        admission.admitted = self.holds.contains_key(&id);
        admission
    }

    /// Notes that a caller has taken a part of its responses.
    pub fn note_taken(&mut self, now: Timestamp, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.used_for = Use::Unread(now);
        }
    }

    /// Notes that a body is complete, so that its request may run and is kept.
    pub fn complete_body(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.used_for = Use::Request;
        }
    }

    /// Whether a body arrives more slowly than any body may.
    #[must_use]
    pub fn is_too_slow(&self, now: Timestamp, id: HoldId) -> bool {
        match self.holds.get(&id).map(|hold| hold.used_for) {
            Some(Use::Body(pace)) => pace.is_too_slow(now),
            _ => false,
        }
    }

    /// Ends a hold, whose memory has been released.
    pub fn end(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.remove(&id) {
            self.used_bytes -= hold.bytes;
            if matches!(hold.used_for, Use::Response) {
                self.response_bytes -= hold.bytes;
            }
        }
    }

    fn insert(&mut self, used_for: Use, owner: HoldOwner, priority: Priority) -> HoldId {
        self.last_id += 1;
        let hold = Hold {
            used_for,
            owner,
            priority,
            bytes: 0,
        };
        self.holds.insert(self.last_id, hold);
        self.last_id
    }

    /// Bytes that may be held in total when a hold of a size grows.
    const fn limit(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BODY_BYTES {
            self.max_bytes
        } else {
            self.max_bytes - self.max_bytes / SMALL_RESERVE_DIVISOR
        }
    }

    /// Adds bytes to a hold that is kept, and gives up others until all fit or none is left to give up.
    fn force(&mut self, now: Timestamp, id: HoldId, added: usize, admission: &mut Admission) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        hold.bytes += added;
        self.used_bytes += added;
        while self.used_bytes > self.max_bytes {
            let worst = self.worst(now, |hold| {
                hold.bytes > 0 && matches!(hold.used_for, Use::Body(_) | Use::Unread(_))
            });
            let Some(worst) = worst else {
                return;
            };
            self.end(worst);
            if worst == id {
                return;
            }
            admission.dropped.push(worst);
        }
    }

    /// Returns the hold to give up first among those that a condition selects.
    fn worst(&self, now: Timestamp, is_candidate: impl Fn(&Hold) -> bool) -> Option<HoldId> {
        let mut owned_bytes: BTreeMap<HoldOwner, usize> = BTreeMap::new();
        for hold in self.holds.values() {
            *owned_bytes.entry(hold.owner).or_default() += hold.bytes;
        }
        self.holds
            .iter()
            .filter(|(_, hold)| is_candidate(hold))
            .min_by_key(|(id, hold)| {
                let of_owner = owned_bytes.get(&hold.owner).copied().unwrap_or(0);
                (
                    hold.rank(now),
                    !hold.is_body(),
                    Reverse(hold.priority),
                    Reverse(of_owner),
                    Reverse(hold.bytes),
                    **id,
                )
            })
            .map(|(id, _)| *id)
    }
}

impl Hold {
    const fn is_body(&self) -> bool {
        matches!(self.used_for, Use::Body(_))
    }

    const fn is_less_urgent(&self, priority: Priority) -> bool {
        self.is_body() && self.priority > priority
    }

    fn rank(&self, now: Timestamp) -> Pace {
        match self.used_for {
            Use::Body(pace) => pace.pace(now),
            Use::Unread(since) => BodyPace::new(since).pace(now),
            Use::Request | Use::Response => Pace::Steady,
        }
    }
}
