//! Move of one stream: which calls are in flight, and where its request may continue.
//!
//! The request continues elsewhere only after the engine has said that the run has stopped there. A handle is
//! used for one run or freed; one that is not known, since a response was lost, expires at the engines.

use std::sync::Arc;
use std::time::Duration;

use crate::{ServerName, Timestamp};

/// Names the copied memory of one run at its source.
pub type MoveHandle = Arc<str>;

/// What is known of a call that copies the memory of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Copied(MoveHandle),
    /// The engine has no such run.
    NoRun,
    /// Another call for the run is in progress, so this one has no effect.
    Busy,
    /// There is no room at the target, or the source cannot reach it. After the last call, the source keeps the
    /// memory under the handle.
    Refused(Option<MoveHandle>),
    /// The call has not reached the engine.
    NotSent,
    /// The response was lost, or could not be read.
    Lost,
}

/// How a stream whose move has changed is served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveStep {
    /// Reading the stream goes on.
    Read,
    /// The run has stopped, or is about to be known; nothing is sent until then.
    Wait,
    /// The request is sent to the server with the handle.
    Continue {
        /// Server that has the memory of the run.
        server: ServerName,
        /// Handle to use.
        handle: MoveHandle,
    },
    /// The stream is lost with its engine, as without a move.
    Lost,
}

/// State of a move.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) enum MovePhase {
    /// The run works at the source, and no call is in flight.
    #[default]
    Idle,
    /// A copy is being made while the run goes on.
    Copying,
    /// A copy has been made while the run goes on.
    Copied,
    /// The last call is in flight; the run may have stopped.
    Stopping,
    /// The response to the last call was lost; the stream shows whether the run has stopped.
    Unanswered,
    /// The run has stopped, and its request continues at the target.
    AtTarget,
    /// The run has stopped, and its request continues at the source.
    AtSource,
    /// The stream has ended or is lost, or its caller has left.
    Over,
}

/// Move of one stream, and the stream's next ones after it.
#[derive(Clone, Debug)]
pub(super) struct StreamMove {
    phase: MovePhase,
    source: ServerName,
    target: Option<ServerName>,
    /// Handle that is neither used nor freed, and the time until which it is valid.
    handle: Option<(MoveHandle, Timestamp)>,
    handle_ttl: Duration,
    has_call: bool,
    /// Whether the stream has closed without its end.
    is_closed: bool,
    /// Whether the engine has said that it does not have the run.
    has_no_run: bool,
    /// Handles to free.
    unused: Vec<MoveHandle>,
}

impl StreamMove {
    /// Creates the state of a stream whose run works at a server.
    pub(super) const fn new(source: ServerName, handle_ttl: Duration) -> Self {
        Self {
            phase: MovePhase::Idle,
            source,
            target: None,
            handle: None,
            handle_ttl,
            has_call: false,
            is_closed: false,
            has_no_run: false,
            unused: Vec::new(),
        }
    }

    pub(super) const fn phase(&self) -> &MovePhase {
        &self.phase
    }

    /// Server at which the run works, or has stopped.
    pub(super) const fn source(&self) -> &ServerName {
        &self.source
    }

    /// Server that has a copy of the run, or is about to get one.
    pub(super) const fn target(&self) -> Option<&ServerName> {
        self.target.as_ref()
    }

    /// Whether a call for the stream is in flight.
    pub(super) const fn has_call(&self) -> bool {
        self.has_call
    }

    /// Whether the stream may be moved, as far as this is known.
    pub(super) const fn is_movable(&self) -> bool {
        let is_running = matches!(self.phase, MovePhase::Idle | MovePhase::Copied);
        is_running && !self.has_call && !self.is_closed && !self.has_no_run
    }

    /// Whether nothing more is to be heard of the move, nor to be done for it.
    pub(super) const fn is_settled(&self) -> bool {
        matches!(self.phase, MovePhase::Over) && !self.has_call && self.unused.is_empty()
    }

    /// Takes the handles to free.
    pub(super) fn take_unused(&mut self) -> Vec<MoveHandle> {
        std::mem::take(&mut self.unused)
    }

    /// Records that a call is sent; the run stops with the last one.
    pub(super) fn begin_call(&mut self, target: &ServerName, is_last: bool) {
        if self.target.as_ref() != Some(target) {
            self.free();
        }
        self.target = Some(target.clone());
        self.has_call = true;
        self.phase = if is_last {
            MovePhase::Stopping
        } else {
            MovePhase::Copying
        };
    }

    /// Records what came of the call in flight.
    pub(super) fn note_outcome(&mut self, now: Timestamp, outcome: CopyOutcome) -> MoveStep {
        self.has_call = false;
        match (&self.phase, outcome) {
            (MovePhase::Copying, CopyOutcome::Copied(handle)) => {
                self.keep(now, handle);
                self.phase = MovePhase::Copied;
                MoveStep::Read
            }
            (MovePhase::Copying, outcome) => {
                self.note_missing(outcome);
                MoveStep::Read
            }
            (MovePhase::Stopping, CopyOutcome::Copied(handle)) => {
                self.keep(now, handle);
                self.continue_at(now, MovePhase::AtTarget)
            }
            (MovePhase::Stopping, CopyOutcome::Refused(Some(handle))) => {
                self.keep(now, handle);
                self.continue_at(now, MovePhase::AtSource)
            }
            (MovePhase::Stopping, CopyOutcome::Lost | CopyOutcome::Refused(None)) => {
                self.free();
                self.phase = MovePhase::Unanswered;
                self.read_or_lose()
            }
            (MovePhase::Stopping, outcome) => {
                self.note_missing(outcome);
                self.read_or_lose()
            }
            (_, CopyOutcome::Copied(handle) | CopyOutcome::Refused(Some(handle))) => {
                // The stream has ended meanwhile.
                self.unused.push(handle);
                MoveStep::Lost
            }
            (_, _) => MoveStep::Lost,
        }
    }

    /// Records that a call has not led to a copy, while the run goes on.
    fn note_missing(&mut self, outcome: CopyOutcome) {
        self.free();
        if let CopyOutcome::Refused(Some(handle)) = outcome {
            self.unused.push(handle);
        } else if outcome == CopyOutcome::NoRun {
            self.has_no_run = true;
        }
        self.target = None;
        self.phase = MovePhase::Idle;
    }

    /// Records that the stream has closed without its end.
    pub(super) fn note_closed(&mut self, now: Timestamp) -> MoveStep {
        self.is_closed = true;
        match self.phase {
            MovePhase::Stopping => MoveStep::Wait,
            MovePhase::AtTarget => self.continue_at(now, MovePhase::AtTarget),
            MovePhase::AtSource => self.continue_at(now, MovePhase::AtSource),
            _ => self.lose(),
        }
    }

    fn read_or_lose(&mut self) -> MoveStep {
        if self.is_closed {
            self.lose()
        } else {
            MoveStep::Read
        }
    }

    fn lose(&mut self) -> MoveStep {
        self.end();
        MoveStep::Lost
    }

    fn continue_at(&mut self, now: Timestamp, phase: MovePhase) -> MoveStep {
        let server = match phase {
            MovePhase::AtTarget => self.target.clone(),
            _ => Some(self.source.clone()),
        };
        match (server, &self.handle) {
            (Some(server), Some((handle, valid_until))) if *valid_until > now => {
                self.phase = phase;
                let handle = handle.clone();
                MoveStep::Continue { server, handle }
            }
            _ => self.lose(),
        }
    }

    /// Records that the server at which the request was to continue runs it.
    pub(super) fn note_continued(&mut self) {
        if self.phase == MovePhase::AtTarget
            && let Some(target) = self.target.take()
        {
            self.source = target;
        }
        self.handle = None;
        self.target = None;
        self.is_closed = false;
        self.phase = MovePhase::Idle;
    }

    /// Records that the server at which the request was to continue has not run it, and never will.
    pub(super) fn note_rejected(&mut self, now: Timestamp) -> MoveStep {
        match self.phase {
            MovePhase::AtTarget => self.continue_at(now, MovePhase::AtSource),
            _ => self.lose(),
        }
    }

    /// Records that the stream has ended or is lost, or that its caller has left.
    pub(super) fn end(&mut self) {
        self.free();
        self.phase = MovePhase::Over;
    }

    fn keep(&mut self, now: Timestamp, handle: MoveHandle) {
        self.handle = Some((handle, now + self.handle_ttl));
    }

    fn free(&mut self) {
        if let Some((handle, _)) = self.handle.take() {
            self.unused.push(handle);
        }
    }
}
