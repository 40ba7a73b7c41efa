//! Moves of streams away from engines that leave.
//!
//! Load pattern: all spot servers of a zone leave at once with two to three seconds of notice, while streams last
//! up to ten. Copies queue on the links, so that they are made one after the other, the more urgent streams
//! first. A stream that may end in time is left alone until it could no longer be moved. See
//! `docs/design/stream-moves.md`.

mod movable_stream;
mod move_limits;
mod move_target;
mod plan;
mod stream_move;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use self::movable_stream::MovableStream;
use self::movable_stream::StreamProgress;
pub use self::move_limits::MoveLimits;
pub use self::move_target::MoveTarget;
pub use self::plan::MoveOrder;
use self::stream_move::StreamMove;
pub use self::stream_move::{CopyOutcome, MoveHandle, MoveStep};
use super::{CallId, ServiceName};
use crate::{ServerName, Timestamp};

/// Handle of a copy that is not needed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusedHandle {
    /// Engine that the copy was made from, at which it is freed.
    pub source: ServerName,
    /// Handle to free.
    pub handle: MoveHandle,
}

/// Stream of this VM that may be moved.
#[derive(Clone, Debug)]
struct Entry {
    stream: MovableStream,
    progress: StreamProgress,
    state: StreamMove,
    /// Targets that have not taken the stream.
    refused_by: Vec<ServerName>,
    /// Calls so far.
    calls: u32,
    /// Copies so far to the present target.
    copies: u32,
    /// Events when the last copy began.
    copied_events: u32,
    /// When the call in flight, or the last one, began.
    call_began: Timestamp,
    /// How much longer the last copy took than its size explains.
    queue_delay: Duration,
    /// Time before which no further call is made.
    not_before: Timestamp,
}

/// Streams of this VM that may be moved, and the engines that leave.
#[derive(Clone, Debug, Default)]
pub struct StreamMoves {
    entries: BTreeMap<CallId, Entry>,
    /// Times at which engines are gone.
    leaving: BTreeMap<ServerName, Timestamp>,
}

impl StreamMoves {
    /// Creates the state of a VM without streams.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Adds a stream after an event with the given number has arrived for it; returns whether it is added.
    ///
    /// A stream that has gone on elsewhere is not added while a call for its earlier run is in flight.
    pub fn begin(
        &mut self,
        now: Timestamp,
        call: CallId,
        stream: MovableStream,
        event: u32,
    ) -> bool {
        if self.entries.contains_key(&call) {
            return false;
        }
        let state = StreamMove::new(stream.source.clone(), stream.limits.handle_ttl);
        let entry = Entry {
            progress: StreamProgress::new(now, event),
            state,
            stream,
            refused_by: Vec::new(),
            calls: 0,
            copies: 0,
            copied_events: 0,
            call_began: now,
            queue_delay: Duration::ZERO,
            not_before: now,
        };
        self.entries.insert(call, entry);
        true
    }

    /// Whether any stream of this VM may be moved.
    #[must_use]
    pub fn has_streams(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Services of the streams that run at engines that leave.
    #[must_use]
    pub fn affected_services(&self) -> BTreeSet<ServiceName> {
        let mut services = BTreeSet::new();
        for entry in self.entries.values() {
            if self.leaving.contains_key(entry.state.source()) {
                services.insert(entry.stream.service.clone());
            }
        }
        services
    }

    /// Records events that have arrived for a stream.
    pub fn note_events(&mut self, now: Timestamp, call: CallId, events: u32) {
        if let Some(entry) = self.entries.get_mut(&call) {
            entry.progress.add(now, events);
        }
    }

    /// Records that an engine is gone at a time; returns whether this was not known.
    pub fn note_leaving(&mut self, server: &ServerName, gone_at: Timestamp) -> bool {
        let known = self.leaving.get(server).copied();
        if known.is_some_and(|known| known <= gone_at) {
            return false;
        }
        self.leaving.insert(server.clone(), gone_at);
        true
    }

    /// Records that a server has started anew or is not listed any more.
    pub fn note_stays(&mut self, server: &str) {
        self.leaving.remove(server);
    }

    /// Records what came of the call for a stream that is in flight.
    pub fn note_outcome(&mut self, now: Timestamp, call: CallId, outcome: CopyOutcome) -> MoveStep {
        let Some(entry) = self.entries.get_mut(&call) else {
            return MoveStep::Lost;
        };
        entry.note_outcome(now, &outcome);
        let step = entry.state.note_outcome(now, outcome);
        self.forget_settled(call);
        step
    }

    /// Records that a stream has closed without its end.
    pub fn note_closed(&mut self, now: Timestamp, call: CallId) -> MoveStep {
        let entry = self.entries.get_mut(&call);
        let step = entry.map_or(MoveStep::Lost, |entry| entry.state.note_closed(now));
        self.forget_settled(call);
        step
    }

    /// Records that the request of a stream continues where it was to.
    pub fn note_continued(&mut self, now: Timestamp, call: CallId, zone: &str, is_spot: bool) {
        let Some(entry) = self.entries.get_mut(&call) else {
            return;
        };
        entry.state.note_continued();
        entry.stream.source = entry.state.source().clone();
        entry.stream.source_zone = zone.into();
        entry.stream.is_spot = is_spot;
        entry.progress.change_engine(now);
        entry.copies = 0;
        entry.not_before = now;
    }

    /// Records that the request of a stream was refused where it was to continue, and has not run there.
    pub fn note_rejected(&mut self, now: Timestamp, call: CallId) -> MoveStep {
        let Some(entry) = self.entries.get_mut(&call) else {
            return MoveStep::Lost;
        };
        entry.refused_by.extend(entry.state.target().cloned());
        let step = entry.state.note_rejected(now);
        self.forget_settled(call);
        step
    }

    /// Records that a stream has ended or is lost, or that its caller has left.
    pub fn end(&mut self, call: CallId) {
        if let Some(entry) = self.entries.get_mut(&call) {
            entry.state.end();
        }
        self.forget_settled(call);
    }

    /// Takes the handles to free.
    pub fn take_unused(&mut self) -> Vec<UnusedHandle> {
        let mut unused = Vec::new();
        for entry in self.entries.values_mut() {
            let source = entry.state.source().clone();
            for handle in entry.state.take_unused() {
                unused.push(UnusedHandle {
                    source: source.clone(),
                    handle,
                });
            }
        }
        self.entries.retain(|_, entry| !entry.state.is_settled());
        unused
    }

    fn forget_settled(&mut self, call: CallId) {
        if let Some(entry) = self.entries.get(&call)
            && entry.state.is_settled()
        {
            self.entries.remove(&call);
        }
    }
}
