//! Decides which streams are copied or moved at a time, and to which engines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::stream_move::{CopyOutcome, MovePhase};
use super::{Entry, MoveTarget, StreamMoves};
use crate::gateway::CallId;
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp};

/// Time before an engine is gone by which moves have to be complete: the notice is a little old when it
/// arrives, and the response to a move needs a network round trip.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);

/// Time of one call apart from the copy, and of the request that continues the run.
const CALL_OVERHEAD: Duration = Duration::from_millis(30);

/// Maximum number of calls in flight from this VM at one source, and at one target. A second call hides the
/// round trips of the first; further ones only queue on the link.
const MAX_CALLS_PER_LINK: u32 = 2;

/// Maximum number of calls for one stream.
const MAX_CALLS: u32 = 8;

/// Maximum number of copies of one stream before its run is stopped.
const MAX_COPIES: u32 = 3;

/// How many times as long as alone a copy is expected to take, since other VMs move streams over the same link.
const LINK_SHARE: u32 = 2;

/// Time after which a call is repeated that had no effect, or for which there was no target.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call that is to be made for a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder {
    /// Stream that is copied or moved.
    pub call: CallId,
    /// Engine that runs its request.
    pub source: ServerName,
    /// Engine that gets the copy.
    pub target: ServerName,
    /// Whether the run stops before the rest is copied.
    pub is_last: bool,
    /// Time at which the source is gone.
    pub gone_at: Timestamp,
}

/// What a stream needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Need {
    /// Nothing, unless its pace changes.
    Nothing,
    /// Nothing before that time.
    Later(Timestamp),
    /// A copy while the run goes on.
    Copy,
    /// The last call.
    Stop,
}

/// Room that is left at the engines, without what streams of this VM are about to take.
#[derive(Debug, Default)]
struct Reserved {
    slots: u32,
    tokens: u64,
    calls: u32,
}

impl Entry {
    pub(super) fn note_outcome(&mut self, now: Timestamp, outcome: &CopyOutcome) {
        let target = self.state.target().cloned();
        match outcome {
            CopyOutcome::Copied(_) => {
                let took = now.saturating_sub(self.call_began);
                let tokens = match self.copies {
                    0 | 1 => self.stream.memory_tokens(&self.progress),
                    _ => 0,
                };
                let alone = self.stream.copy_time(tokens, true);
                self.queue_delay = took.saturating_sub(alone);
            }
            CopyOutcome::Refused(_) | CopyOutcome::Lost => self.refused_by.extend(target),
            CopyOutcome::NotSent | CopyOutcome::Busy => self.not_before = now + RETRY_DELAY,
            CopyOutcome::NoRun => {}
        }
        if !matches!(outcome, CopyOutcome::Copied(_)) {
            self.copies = 0;
        }
    }

    /// Gap that the caller would see if the run were stopped now.
    fn expected_gap(&self) -> Duration {
        let events = self.progress.events.saturating_sub(self.copied_events);
        let tokens = events.saturating_add(1) * self.stream.tokens_per_event.max(1);
        self.stream.copy_time(tokens, false) + self.queue_delay + CALL_OVERHEAD
    }

    fn whole_copy_time(&self) -> Duration {
        let tokens = self.stream.memory_tokens(&self.progress);
        self.stream.copy_time(tokens, false)
    }

    /// What the stream needs, if moves of other streams take `queue` before a move that begins late.
    fn need(&self, now: Timestamp, gone_at: Timestamp, queue: Duration) -> Need {
        let by = gone_at.saturating_sub(LEAVE_MARGIN);
        let (earliest, latest) = self.stream.expected_end(&self.progress);
        if latest <= by || self.calls >= MAX_CALLS {
            return Need::Nothing;
        }
        let may_end = earliest <= by;
        let gap = self.expected_gap();
        let is_copied = *self.state.phase() == MovePhase::Copied;
        let needed = if is_copied {
            gap
        } else {
            let alone = self.whole_copy_time();
            if now + alone.div_f64(2.0) + CALL_OVERHEAD > by {
                // The copy would not be complete in time.
                return Need::Nothing;
            }
            alone + CALL_OVERHEAD * 2
        };
        let due = by.saturating_sub(needed + queue).max(self.not_before);
        if may_end && due > now {
            return Need::Later(due);
        }
        if self.not_before > now {
            return Need::Later(self.not_before);
        }
        if is_copied {
            let is_gap_long = gap > self.stream.gap_target / 2;
            let has_time = now + gap * 3 < by;
            if is_gap_long && has_time && self.copies < MAX_COPIES {
                return Need::Copy;
            }
            return Need::Stop;
        }
        if now + needed > by {
            return Need::Stop;
        }
        Need::Copy
    }

    /// Order in which streams of one engine move: the more urgent ones first, then those that cannot end in
    /// time, then those that are copied soonest.
    fn rank(&self, gone_at: Timestamp) -> (u8, bool, Duration) {
        let (earliest, _) = self.stream.expected_end(&self.progress);
        let may_end = earliest <= gone_at;
        (self.stream.priority, may_end, self.whole_copy_time())
    }
}

impl StreamMoves {
    /// Decides which calls are made now. Each of them counts as in flight until its outcome is recorded.
    pub fn plan(&mut self, now: Timestamp, targets: &[MoveTarget]) -> Vec<MoveOrder> {
        let queues = self.queues(now);
        let mut reserved = self.reserved();
        let mut calls_at = self.calls_at_sources();
        let mut wanted = Vec::new();
        for (&call, entry) in &self.entries {
            let Some(&gone_at) = self.leaving.get(entry.state.source()) else {
                continue;
            };
            let queue = queues.get(entry.state.source()).copied();
            let need = entry.need(now, gone_at, queue.unwrap_or_default());
            if entry.state.is_movable() && matches!(need, Need::Copy | Need::Stop) {
                wanted.push((entry.rank(gone_at), call, need == Need::Stop, gone_at));
            }
        }
        // A copied stream moves before the next copy begins, so that little has to be copied while it waits.
        wanted.sort_by_key(|&(rank, call, is_last, _)| (rank.0, !is_last, rank, call));
        let mut orders = Vec::new();
        for (_, call, is_last, gone_at) in wanted {
            let Some(entry) = self.entries.get_mut(&call) else {
                continue;
            };
            let source = entry.state.source().clone();
            let calls = calls_at.entry(source.clone()).or_default();
            if *calls >= MAX_CALLS_PER_LINK {
                continue;
            }
            let kept = entry.state.target().cloned();
            let kept = kept.filter(|target| !self.leaving.contains_key(target));
            // Without its copy, the stream has to be copied again.
            let is_last = is_last && (kept.is_some() || *entry.state.phase() == MovePhase::Idle);
            let Some(target) =
                kept.or_else(|| choose_target(entry, call, targets, &self.leaving, &reserved))
            else {
                entry.not_before = now + RETRY_DELAY;
                continue;
            };
            let is_new = entry.state.target() != Some(&target);
            let room = reserved.entry(target.clone()).or_default();
            if room.calls >= MAX_CALLS_PER_LINK {
                continue;
            }
            room.calls += 1;
            if is_new {
                room.slots += 1;
                room.tokens += u64::from(entry.stream.memory_tokens(&entry.progress));
            }
            *calls += 1;
            entry.calls += 1;
            entry.copies += 1;
            entry.copied_events = entry.progress.events;
            entry.call_began = now;
            entry.state.begin_call(&target, is_last);
            orders.push(MoveOrder {
                call,
                source,
                target,
                is_last,
                gone_at,
            });
        }
        orders
    }

    /// Next time at which a plan may have new calls though nothing has happened.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let queues = self.queues(now);
        let mut due = Vec::new();
        for entry in self.entries.values() {
            let source = entry.state.source();
            let Some(&gone_at) = self.leaving.get(source) else {
                continue;
            };
            if !entry.state.is_movable() {
                continue;
            }
            let queue = queues.get(source).copied().unwrap_or_default();
            match entry.need(now, gone_at, queue) {
                Need::Nothing => {}
                Need::Later(at) => due.push(at),
                // A call of another stream has to end first.
                Need::Copy | Need::Stop => due.push(now + RETRY_DELAY),
            }
        }
        due.into_iter().min()
    }

    /// Time that the copies of the streams at each leaving engine take, which may have to move.
    fn queues(&self, now: Timestamp) -> BTreeMap<ServerName, Duration> {
        let mut queues: BTreeMap<ServerName, Duration> = BTreeMap::new();
        for entry in self.entries.values() {
            let source = entry.state.source();
            let Some(&gone_at) = self.leaving.get(source) else {
                continue;
            };
            let is_waiting = *entry.state.phase() == MovePhase::Idle;
            if is_waiting && entry.need(now, gone_at, Duration::ZERO) != Need::Nothing {
                let queue = queues.entry(source.clone()).or_default();
                *queue += entry.whole_copy_time() * LINK_SHARE;
            }
        }
        queues
    }

    fn calls_at_sources(&self) -> BTreeMap<ServerName, u32> {
        let mut calls: BTreeMap<ServerName, u32> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.state.has_call()) {
            *calls.entry(entry.state.source().clone()).or_default() += 1;
        }
        calls
    }

    fn reserved(&self) -> BTreeMap<ServerName, Reserved> {
        let mut reserved: BTreeMap<ServerName, Reserved> = BTreeMap::new();
        for entry in self.entries.values() {
            if let Some(target) = entry.state.target() {
                let room = reserved.entry(target.clone()).or_default();
                room.slots += 1;
                room.tokens += u64::from(entry.stream.memory_tokens(&entry.progress));
                room.calls += u32::from(entry.state.has_call());
            }
        }
        reserved
    }
}

/// Chooses an engine for a stream: of the same zone first, unless the spot servers of that zone leave, then by
/// free room, then by a hash, so that VMs that decide at the same moment choose different ones.
fn choose_target(
    entry: &Entry,
    call: CallId,
    targets: &[MoveTarget],
    leaving: &BTreeMap<ServerName, Timestamp>,
    reserved: &BTreeMap<ServerName, Reserved>,
) -> Option<ServerName> {
    /// Steps in which the occupancy of targets is compared.
    const LOAD_STEPS: u32 = 4;
    let stream = &entry.stream;
    let tokens = u64::from(stream.memory_tokens(&entry.progress));
    let mut best = None;
    for target in targets {
        let is_known = target.service == stream.service && target.version == stream.version;
        let is_open = !leaving.contains_key(&target.server)
            && target.server != *entry.state.source()
            && !entry.refused_by.contains(&target.server);
        if !is_known || !is_open {
            continue;
        }
        let none = Reserved::default();
        let room = reserved.get(&target.server).unwrap_or(&none);
        let free_slots = target.free_slots.saturating_sub(room.slots);
        let free_tokens = target.free_tokens.saturating_sub(room.tokens);
        if free_slots == 0 || free_tokens < tokens || room.calls >= MAX_CALLS_PER_LINK {
            continue;
        }
        let is_same_zone = target.zone == stream.source_zone;
        let is_next_to_leave = is_same_zone && stream.is_spot && target.is_spot;
        let slots = target.slots.max(1);
        let load = slots.saturating_sub(free_slots) * LOAD_STEPS / slots;
        let spread = mix64(call, hash64(target.server.as_bytes()));
        let key = (is_next_to_leave, !is_same_zone, load, spread);
        if best.as_ref().is_none_or(|(least, _)| key < *least) {
            best = Some((key, target.server.clone()));
        }
    }
    best.map(|(_, server)| server)
}
