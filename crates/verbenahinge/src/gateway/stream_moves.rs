//! Moves streams away from engines that leave, as [`StreamMoves`] decides.
//!
//! Calls to engines run in tasks of their own: when a caller leaves while one is in flight, its outcome still
//! tells which handle to free. See `docs/design/stream-moves.md`.

mod engine_call;
mod moving_stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    CallId, CopyOutcome, MoveOrder, MoveStep, ServerEntry, ServerState, StreamMoves,
};

pub(super) use self::moving_stream::{ClosedStream, MovingStream};
use super::Gateway;
use crate::event_log::LogEvent;

/// Time after an engine is gone until which the response to a call may still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);

/// What the tasks of one stream share.
#[derive(Debug)]
struct StreamSlot {
    request_id: String,
    /// Engine that runs the request.
    source: RefCell<ServerEntry>,
    /// Whether the run may have stopped, since the last call has been sent.
    may_have_stopped: Cell<bool>,
    /// Whether the engine has said that it does not have the run.
    has_no_run: Cell<bool>,
    /// Step that follows from the outcome of the last call.
    step: RefCell<Option<MoveStep>>,
    changed: Notify,
}

/// Streams of this VM that may be moved.
#[derive(Debug, Default)]
pub(crate) struct StreamMover {
    moves: RefCell<StreamMoves>,
    slots: RefCell<BTreeMap<CallId, Rc<StreamSlot>>>,
    wake: Notify,
}

impl StreamMover {
    /// Records what the registry says of a server; `None` if it has no entry.
    ///
    /// Moves end within `drain`, as a stream that cannot continue elsewhere is sent to the leaving server again,
    /// which must get no requests after that time.
    pub(crate) fn note_entry(
        &self,
        now: Timestamp,
        server: &str,
        entry: Option<&ServerEntry>,
        drain: Duration,
    ) {
        let leaving = entry.filter(|entry| entry.state == ServerState::Draining);
        let Some((entry, leaves_in)) = leaving.and_then(|one| Some((one, one.leaves_in?))) else {
            self.moves.borrow_mut().note_stays(server);
            return;
        };
        let gone_at = now + leaves_in.min(drain);
        let is_news = self.moves.borrow_mut().note_leaving(&entry.id, gone_at);
        let slots = self.slots.borrow();
        let streams = slots.values();
        let streams = streams.filter(|slot| slot.source.borrow().id == entry.id);
        let streams = streams.count();
        if is_news && streams > 0 {
            LogEvent::EngineLeaves.log(&[
                ("server", &entry.id),
                ("notice_ms", &leaves_in.as_millis()),
                ("streams", &streams),
            ]);
        }
        self.wake.notify_one();
    }
}

/// Makes the calls that are due, whenever an engine begins to leave, a call ends or time has passed.
pub(super) async fn plan_moves(gateway: Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let due = gateway.stream_mover.moves.borrow().next_due(now);
        let pause = due.map_or(Duration::MAX, |due| due.saturating_sub(now));
        let woken = gateway.stream_mover.wake.notified();
        // Either end of the wait leads to a new plan.
        let _ = verbenahinge_http::timeout(pause, woken).await;
        make_calls(&gateway);
        engine_call::free_unused(&gateway);
    }
}

fn make_calls(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let mover = &gateway.stream_mover;
    let services = mover.moves.borrow().affected_services();
    if services.is_empty() {
        return;
    }
    let mut targets = Vec::new();
    for service in services {
        targets.extend(gateway.state.borrow().move_targets(now, &service));
    }
    let orders = mover.moves.borrow_mut().plan(now, &targets);
    for order in orders {
        let slot = mover.slots.borrow().get(&order.call).cloned();
        let Some(slot) = slot else {
            // The stream has ended, and its move with it.
            mover.moves.borrow_mut().end(order.call);
            continue;
        };
        slot.may_have_stopped.set(order.is_last);
        actix_rt::spawn(move_stream(Rc::clone(gateway), slot, order));
    }
}

/// Makes one call and records its outcome.
async fn move_stream(gateway: Rc<Gateway>, slot: Rc<StreamSlot>, order: MoveOrder) {
    let source = slot.source.borrow().clone();
    let timeout = (order.gone_at + RESPONSE_GRACE).saturating_sub(gateway.now());
    let outcome = engine_call::copy_run(&gateway, &source, &slot.request_id, &order, timeout).await;
    let name = outcome_name(&outcome);
    let step_name = if order.is_last { "last" } else { "copy" };
    gateway.metrics.count_move(step_name, name);
    if !matches!(outcome, CopyOutcome::Copied(_)) {
        LogEvent::StreamNotMoved.log(&[
            ("request_id", &slot.request_id),
            ("source", &order.source),
            ("target", &order.target),
            ("outcome", &name),
            ("last", &order.is_last),
        ]);
    }
    slot.has_no_run.set(outcome == CopyOutcome::NoRun);
    let mover = &gateway.stream_mover;
    let now = gateway.now();
    let step = mover
        .moves
        .borrow_mut()
        .note_outcome(now, order.call, outcome.clone());
    if matches!(
        outcome,
        CopyOutcome::NotSent | CopyOutcome::Busy | CopyOutcome::NoRun
    ) {
        slot.may_have_stopped.set(false);
    }
    slot.step.replace(Some(step));
    slot.changed.notify_one();
    mover.wake.notify_one();
}

const fn outcome_name(outcome: &CopyOutcome) -> &'static str {
    match outcome {
        CopyOutcome::Copied(_) => "copied",
        CopyOutcome::NoRun => "no_run",
        CopyOutcome::Busy => "busy",
        CopyOutcome::Refused(_) => "refused",
        CopyOutcome::NotSent => "not_sent",
        CopyOutcome::Lost => "lost",
    }
}
