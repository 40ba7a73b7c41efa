//! Driver of the sans-I/O core: passes events to it and executes the resulting actions.
//!
//! One thread owns the core. Work that has to wait runs as a task on the same thread and passes an
//! event to the core when it completes. Executing an action may read the core but never passes it an
//! event directly.

mod action;
mod decision_log;
mod pending_request;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{Notify, mpsc, oneshot};
use verbenahinge_core::config_log::{PatchId, PatchRejection, PatchSubmission, VersionRow};
use verbenahinge_core::{
    AccountName, Action, ConfigVersion, Event, Frame, Node, NodeOptions, Request, RequestId, VmId,
};

pub(crate) use self::decision_log::{DecisionLog, DecisionTrace};
use self::pending_request::PendingRequest;
pub(crate) use self::pending_request::{
    AnswerPart, BackendCall, EngineCall, ServiceAnswer, ServiceCall,
};
use crate::backend::BackendClient;
use crate::body_memory::BodyMemory;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::keys::ApiKeyIndex;
use crate::metrics::Metrics;
use crate::peers::PeerHandle;
use crate::platform::PlatformClient;
use crate::settings::Settings;

/// Result of a patch submission: the version that it created, or the reason for its rejection.
pub(crate) type PatchResult = Result<ConfigVersion, PatchRejection>;

/// Decision core together with its I/O and the state of its pending requests.
pub(crate) struct Shell {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// Memory for bodies of callers.
    pub(crate) body_memory: Rc<BodyMemory>,
    pub(crate) backend: BackendClient,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerHandle,
    pub(crate) decision_log: RefCell<DecisionLog>,
    pub(crate) drained: Notify,
    key_index: RefCell<ApiKeyIndex>,
    vm: VmId,
    node: RefCell<Node>,
    actions: RefCell<Vec<Action>>,
    pending_requests: RefCell<BTreeMap<RequestId, PendingRequest>>,
    pending_patches: RefCell<BTreeMap<PatchId, Vec<oneshot::Sender<PatchResult>>>>,
    request_count: Cell<u64>,
    timer_changed: Notify,
    armed_timer: Cell<Option<verbenahinge_core::Timestamp>>,
}

impl Shell {
    pub(crate) fn new(settings: Settings, vm: VmId, peers: PeerHandle) -> Rc<Self> {
        let options =
            NodeOptions::new(vm, settings.peer_listen).seeds(settings.peers.iter().copied());
        Rc::new(Self {
            clock: Clock::new(),
            metrics: Metrics::new(),
            body_memory: BodyMemory::new(settings.memory_mb),
            backend: BackendClient::new(),
            platform: PlatformClient::new(settings.platform),
            peers,
            decision_log: RefCell::default(),
            drained: Notify::new(),
            key_index: RefCell::default(),
            vm,
            node: RefCell::new(Node::new(options)),
            actions: RefCell::default(),
            pending_requests: RefCell::default(),
            pending_patches: RefCell::default(),
            request_count: Cell::new(0),
            timer_changed: Notify::new(),
            armed_timer: Cell::new(None),
            settings,
        })
    }

    /// Passes an event to the core and executes the resulting actions.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = self.actions.take();
        let now = self.clock.now();
        self.node.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action, None);
        }
        self.actions.replace(actions);
        self.rearm_timer();
    }

    /// Passes a frame to the core; its data is forwarded to the caller if the core relays it.
    pub(crate) fn handle_frame(self: &Rc<Self>, frame: Frame, data: &Bytes) {
        let mut actions = self.actions.take();
        let now = self.clock.now();
        let event = Event::Frame(frame);
        self.node.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action, Some((frame, data)));
        }
        self.actions.replace(actions);
        self.rearm_timer();
    }

    fn rearm_timer(&self) {
        let next = self.node.borrow().next_timer();
        if next < self.armed_timer.get() || self.armed_timer.get().is_none() {
            self.timer_changed.notify_one();
        }
    }

    /// Passes timer events to the core when they are due; never returns.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.node.borrow().next_timer();
            self.armed_timer.set(next);
            let Some(next) = next else {
                self.timer_changed.notified().await;
                continue;
            };
            let due = tokio::time::Instant::from_std(self.clock.instant_at(next));
            tokio::select! {
                () = tokio::time::sleep_until(due) => self.handle(Event::Timer),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Returns a request ID that is unique in the fleet: the VM ID in the upper 64 bits and a
    /// counter in the lower.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let count = self.request_count.get() + 1;
        self.request_count.set(count);
        RequestId::from(self.vm) << 64 | RequestId::from(count)
    }

    /// Submits a request to the core and returns the receiver for the parts of its answer.
    pub(crate) fn submit(
        self: &Rc<Self>,
        request: Request,
        call: BackendCall,
    ) -> mpsc::UnboundedReceiver<AnswerPart> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let now = self.clock.now();
        let metrics = self
            .metrics
            .for_request(now, &request.class, &request.account);
        let pending = PendingRequest::new(call, sender, metrics, now);
        self.pending_requests
            .borrow_mut()
            .insert(request.id, pending);
        self.handle(Event::Arrived(request));
        receiver
    }

    /// Submits a configuration patch and waits for its result.
    pub(crate) async fn submit_patch(self: &Rc<Self>, submission: PatchSubmission) -> PatchResult {
        let (sender, receiver) = oneshot::channel();
        self.pending_patches
            .borrow_mut()
            .entry(submission.patch_id.clone())
            .or_default()
            .push(sender);
        self.handle(Event::Patch(submission));
        receiver.await.unwrap_or(Err(PatchRejection::Unknown))
    }

    /// Returns the configuration version in force.
    pub(crate) fn config(&self) -> Arc<VersionRow> {
        Arc::clone(self.node.borrow().config())
    }

    /// Returns the client account of an API key.
    pub(crate) fn find_account(&self, key: &str) -> Option<AccountName> {
        self.key_index.borrow().find(key)
    }

    /// Applies a new configuration version to the state outside the core.
    fn apply_config(&self) {
        let row = self.config();
        self.key_index.replace(ApiKeyIndex::new(&row.declaration));
        self.metrics.set_config_version(row.version);
        LogEvent::ConfigInForce.log(&[("version", &row.version)]);
        self.peers.publish_config(row);
    }

    /// Reads the state of the core.
    pub(crate) fn with_node<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.node.borrow())
    }

    /// Returns the VM ID, which identifies this process.
    pub(crate) const fn vm(&self) -> VmId {
        self.vm
    }
}
