//! A stream that may be moved, as the task that serves its caller sees it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use verbenahinge_core::gateway::{CallId, MovableStream, MoveHandle, MoveStep, ServerState};
use verbenahinge_core::{FailureKind, ServerName};
use verbenahinge_platform::http_headers::{self, MovedFrom};

use super::{StreamSlot, engine_call};
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::gateway::attempt::AttemptError;
use crate::gateway::request_handler::RequestHandler;
use crate::gateway::server_stream::{ServerStream, StreamItem};

/// Time in which the last events arrive after an engine has said that the run has stopped. Events that come
/// later are sent again where the run continues.
const LAST_EVENTS_TIME: Duration = Duration::from_millis(50);

/// How a stream goes on whose connection has closed.
pub(in crate::gateway) enum ClosedStream {
    /// The request continues at the server.
    Continue {
        server: ServerName,
        moved_from: MovedFrom,
    },
    /// The stream was whole.
    Whole,
    /// The stream is lost, as without a move.
    Lost,
}

/// Registration of a stream that may be moved; dropping it frees its copies.
pub(in crate::gateway) struct MovingStream {
    gateway: Rc<Gateway>,
    call: CallId,
    slot: Rc<StreamSlot>,
}

impl MovingStream {
    /// Registers a stream after its first event here; `None` if its service does not move streams, or its
    /// position in the stream is not known.
    pub(in crate::gateway) fn begin(
        handler: &RequestHandler,
        server: &str,
        last_event: Option<u64>,
    ) -> Option<Self> {
        let gateway = Rc::clone(&handler.gateway);
        let call = &handler.call;
        let (limits, engine, source) = {
            let state = gateway.state.borrow();
            let limits = state.move_limits(&call.service)?;
            let routing = state.routing()?;
            let engine = routing.services.get(&call.service)?.engine?;
            (limits, engine, state.registry().get(server)?.clone())
        };
        let prompt = call.prompt.as_ref()?;
        let stream = MovableStream {
            service: call.service.clone(),
            version: source.software_version(),
            source: source.id.clone(),
            source_zone: source.availability_zone.clone(),
            is_spot: source.spot,
            priority: call.priority(),
            prompt_tokens: prompt.prompt_tokens,
            max_tokens: prompt.max_output_tokens,
            expected_tokens: http_headers::decode_expected_tokens(&handler.request.headers),
            tokens_per_event: engine.tokens_per_event,
            gap_target: call.route.gap_target.unwrap_or(call.route.latency_target),
            limits,
        };
        let event = u32::try_from(last_event?).unwrap_or(u32::MAX);
        let is_leaving = source.state == ServerState::Draining;
        let slot = Rc::new(StreamSlot {
            request_id: handler.request.id.clone()?,
            source: RefCell::new(source),
            may_have_stopped: Cell::new(false),
            has_no_run: Cell::new(false),
            step: RefCell::new(None),
            changed: Notify::new(),
        });
        let mover = &gateway.stream_mover;
        let now = gateway.now();
        if !mover.moves.borrow_mut().begin(now, call.id, stream, event) {
            return None;
        }
        mover.slots.borrow_mut().insert(call.id, Rc::clone(&slot));
        if is_leaving {
            mover.wake.notify_one();
        }
        Some(Self {
            gateway,
            call: handler.call.id,
            slot,
        })
    }

    /// Records events that have arrived.
    pub(in crate::gateway) fn note_events(&self, events: u32) {
        let now = self.gateway.now();
        let mut moves = self.gateway.stream_mover.moves.borrow_mut();
        moves.note_events(now, self.call, events);
    }

    /// Whether the run may have stopped, so that an end of its connection may not be that of the stream.
    pub(in crate::gateway) fn may_have_stopped(&self) -> bool {
        self.slot.may_have_stopped.get()
    }

    /// Reads the next item; an engine that has stopped the run does not count as silent.
    pub(in crate::gateway) async fn read(
        &self,
        stream: &mut ServerStream,
        stall_timeout: Option<Duration>,
    ) -> Result<StreamItem, AttemptError> {
        loop {
            if self.has_stopped() {
                let item = stream.next_item(None);
                let item = verbenahinge_http::timeout(LAST_EVENTS_TIME, item).await;
                return item.unwrap_or(Err(AttemptError::Failed(FailureKind::ConnectionLost)));
            }
            let timeout = stall_timeout.filter(|_| !self.may_have_stopped());
            tokio::select! {
                biased;
                item = stream.next_item(timeout) => match item {
                    Err(AttemptError::Failed(FailureKind::Silent)) if self.may_have_stopped() => {}
                    item => return item,
                },
                () = self.slot.changed.notified() => {}
            }
        }
    }

    fn has_stopped(&self) -> bool {
        matches!(*self.slot.step.borrow(), Some(MoveStep::Continue { .. }))
    }

    /// Finds out how the stream goes on after its connection has closed without its end.
    pub(in crate::gateway) async fn after_close(&self) -> ClosedStream {
        let now = self.gateway.now();
        self.slot.step.take();
        let mover = &self.gateway.stream_mover;
        let mut step = mover.moves.borrow_mut().note_closed(now, self.call);
        while matches!(step, MoveStep::Wait | MoveStep::Read) {
            self.slot.changed.notified().await;
            step = self.slot.step.take().unwrap_or(MoveStep::Wait);
        }
        self.follow(step)
    }

    fn follow(&self, step: MoveStep) -> ClosedStream {
        match step {
            MoveStep::Continue { server, handle } => self.continuation(server, handle),
            MoveStep::Read | MoveStep::Wait | MoveStep::Lost => {
                if self.slot.has_no_run.get() {
                    return ClosedStream::Whole;
                }
                if self.may_have_stopped() {
                    self.gateway.metrics.count_move("continue", "lost");
                    LogEvent::StreamMoveLost.log(&[
                        ("request_id", &self.slot.request_id),
                        ("source", &self.slot.source.borrow().id),
                    ]);
                }
                ClosedStream::Lost
            }
        }
    }

    fn continuation(&self, server: ServerName, handle: MoveHandle) -> ClosedStream {
        let source = self.slot.source.borrow().address;
        ClosedStream::Continue {
            server,
            moved_from: MovedFrom { source, handle },
        }
    }

    /// Records that a server did not run the request that was to continue there, and never will.
    pub(in crate::gateway) fn note_rejected(&self) -> ClosedStream {
        self.gateway.metrics.count_move("continue", "rejected");
        let now = self.gateway.now();
        let mut moves = self.gateway.stream_mover.moves.borrow_mut();
        let step = moves.note_rejected(now, self.call);
        drop(moves);
        self.follow(step)
    }

    /// Records that the request continues at a server.
    pub(in crate::gateway) fn note_continued(
        &self,
        server: &str,
        last_event: Option<u64>,
        gap: Duration,
    ) {
        let now = self.gateway.now();
        let entry = self.gateway.state.borrow().registry().get(server).cloned();
        let Some(entry) = entry else {
            return;
        };
        {
            let mut moves = self.gateway.stream_mover.moves.borrow_mut();
            moves.note_continued(now, self.call, &entry.availability_zone, entry.spot);
        }
        self.gateway.metrics.count_move("continue", "continued");
        LogEvent::StreamMoved.log(&[
            ("request_id", &self.slot.request_id),
            ("from", &self.slot.source.borrow().id),
            ("to", &entry.id),
            ("last_event", &last_event.unwrap_or(0)),
            ("gap_ms", &gap.as_millis()),
        ]);
        self.slot.source.replace(entry);
        self.slot.may_have_stopped.set(false);
        self.slot.step.take();
        self.gateway.stream_mover.wake.notify_one();
    }
}

impl Drop for MovingStream {
    fn drop(&mut self) {
        let mover = &self.gateway.stream_mover;
        mover.slots.borrow_mut().remove(&self.call);
        mover.moves.borrow_mut().end(self.call);
        engine_call::free_unused(&self.gateway);
    }
}
