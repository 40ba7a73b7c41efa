//! Connects the decision core to the world: events in, actions out.
//!
//! One thread owns the core. Everything that waits is a task on the same thread which hands
//! in an event when it is done; actions never call back into the core.

mod action;
mod decision_log;
mod job;

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

pub(crate) use self::decision_log::{Decision, DecisionLog};
use self::job::Job;
pub(crate) use self::job::{Call, EngineCall, Part, ServiceAnswer, ServiceCall};
use crate::backend::Backend;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::keys::KeyIndex;
use crate::metrics::Metrics;
use crate::peers::PeerHandle;
use crate::platform::PlatformClient;
use crate::settings::Settings;

/// Result of a patch as an operator gets it.
pub(crate) type PatchResult = Result<ConfigVersion, PatchRejection>;

/// The core with its surroundings.
pub(crate) struct Shell {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) backend: Backend,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerHandle,
    pub(crate) decisions: RefCell<DecisionLog>,
    pub(crate) drained: Notify,
    keys: RefCell<KeyIndex>,
    vm: VmId,
    node: RefCell<Node>,
    actions: RefCell<Vec<Action>>,
    jobs: RefCell<BTreeMap<RequestId, Job>>,
    patches: RefCell<BTreeMap<PatchId, Vec<oneshot::Sender<PatchResult>>>>,
    next_request: Cell<u64>,
    timer_changed: Notify,
    armed: Cell<Option<verbenahinge_core::Timestamp>>,
}

impl Shell {
    pub(crate) fn new(settings: Settings, vm: VmId, peers: PeerHandle) -> Rc<Self> {
        let options =
            NodeOptions::new(vm, settings.peer_listen).seeds(settings.peers.iter().copied());
        Rc::new(Self {
            clock: Clock::new(),
            metrics: Metrics::new(),
            backend: Backend::new(),
            platform: PlatformClient::new(settings.platform),
            peers,
            decisions: RefCell::default(),
            drained: Notify::new(),
            keys: RefCell::default(),
            vm,
            node: RefCell::new(Node::new(options)),
            actions: RefCell::default(),
            jobs: RefCell::default(),
            patches: RefCell::default(),
            next_request: Cell::new(0),
            timer_changed: Notify::new(),
            armed: Cell::new(None),
            settings,
        })
    }

    /// Hands an event to the core and carries out what follows.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = self.actions.take();
        let now = self.clock.now();
        self.node.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action, None);
        }
        self.actions.replace(actions);
        self.arm_timer();
    }

    /// Hands a frame to the core; its bytes go to the caller if the core lets them.
    pub(crate) fn handle_frame(self: &Rc<Self>, frame: Frame, data: &Bytes) {
        let mut actions = self.actions.take();
        let now = self.clock.now();
        let event = Event::Frame(frame);
        self.node.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action, Some((frame, data)));
        }
        self.actions.replace(actions);
        self.arm_timer();
    }

    fn arm_timer(&self) {
        let next = self.node.borrow().next_timer();
        if next < self.armed.get() || self.armed.get().is_none() {
            self.timer_changed.notify_one();
        }
    }

    /// Runs the core's timers for as long as the process lives.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.node.borrow().next_timer();
            self.armed.set(next);
            let Some(next) = next else {
                self.timer_changed.notified().await;
                continue;
            };
            let due = tokio::time::Instant::from_std(self.clock.instant(next));
            tokio::select! {
                () = tokio::time::sleep_until(due) => self.handle(Event::Timer),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Returns an id that no other request of the system has.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let count = self.next_request.get() + 1;
        self.next_request.set(count);
        RequestId::from(self.vm) << 64 | RequestId::from(count)
    }

    /// Takes in a request; its answer arrives in parts.
    pub(crate) fn submit(
        self: &Rc<Self>,
        request: Request,
        call: Call,
    ) -> mpsc::UnboundedReceiver<Part> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let now = self.clock.now();
        let metrics = self
            .metrics
            .for_request(now, &request.class, &request.account);
        let job = Job::new(call, sender, metrics, now);
        self.jobs.borrow_mut().insert(request.id, job);
        self.handle(Event::Arrived(request));
        receiver
    }

    /// Submits a patch and waits for the decision.
    pub(crate) async fn patch(self: &Rc<Self>, submission: PatchSubmission) -> PatchResult {
        let (sender, receiver) = oneshot::channel();
        self.patches
            .borrow_mut()
            .entry(submission.patch_id.clone())
            .or_default()
            .push(sender);
        self.handle(Event::Patch(submission));
        receiver.await.unwrap_or(Err(PatchRejection::Unknown))
    }

    /// The version in force.
    pub(crate) fn config(&self) -> Arc<VersionRow> {
        Arc::clone(self.node.borrow().config())
    }

    /// Finds the client account of an API key.
    pub(crate) fn find_account(&self, key: &str) -> Option<AccountName> {
        self.keys.borrow().find(key)
    }

    /// Takes over what the shell itself needs of a new version.
    fn adopt_config(&self) {
        let row = self.config();
        self.keys.replace(KeyIndex::new(&row.declaration));
        self.metrics.set_config_version(row.version);
        LogEvent::ConfigInForce.log(&[("version", &row.version)]);
        self.peers.publish_config(row);
    }

    /// Reads something of the core.
    pub(crate) fn with_node<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.node.borrow())
    }

    /// Identifies this process.
    pub(crate) const fn vm(&self) -> VmId {
        self.vm
    }
}
