//! Shared state of an engine: slots, streams, faults and run records.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::faults::EngineFaults;
use super::options::EngineOptions;
use super::stream::StreamState;

/// Record of a request that an engine executed, which tests compare with the caller's response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request ID that the router sent.
    pub request: String,
    /// Number of prompt tokens, counted as words.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Whether generation ended without cancellation.
    pub finished: bool,
}

/// Body of a `GET /load` response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct LoadReport {
    pub(super) incarnation: u64,
    pub(super) running: usize,
    pub(super) waiting: usize,
}

pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) incarnation: u64,
    pub(super) faults: Cell<EngineFaults>,
    pub(super) silence_epoch: Cell<u64>,
    pub(super) running: Cell<usize>,
    pub(super) waiting: RefCell<BTreeMap<(u8, u64), Rc<Notify>>>,
    pub(super) next_ticket: Cell<u64>,
    pub(super) streams: RefCell<BTreeMap<String, Rc<StreamState>>>,
    pub(super) records: RefCell<Vec<RunRecord>>,
    pub(super) frozen_load: Cell<Option<LoadReport>>,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = started.map_or(0, |time| u64::try_from(time.as_micros()).unwrap_or(0));
        Self {
            options,
            incarnation,
            faults: Cell::default(),
            silence_epoch: Cell::default(),
            running: Cell::default(),
            waiting: RefCell::default(),
            next_ticket: Cell::default(),
            streams: RefCell::default(),
            records: RefCell::default(),
            frozen_load: Cell::default(),
        }
    }

    /// Waits for a slot; lower priority values are served first, equal ones in order of arrival.
    pub(super) async fn acquire_slot(&self, priority: u8) {
        if self.running.get() < self.options.slots && self.waiting.borrow().is_empty() {
            self.running.set(self.running.get() + 1);
            return;
        }
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let notify = Rc::new(Notify::new());
        self.waiting
            .borrow_mut()
            .insert((priority, ticket), Rc::clone(&notify));
        notify.notified().await;
    }

    /// Passes the slot to the first waiter, or frees it if none is waiting.
    pub(super) fn release_slot(&self) {
        match self.waiting.borrow_mut().pop_first() {
            Some((_, next)) => next.notify_one(),
            None => self.running.set(self.running.get() - 1),
        }
    }

    pub(super) fn load_report(&self) -> LoadReport {
        if let Some(load) = self.frozen_load.get() {
            return load;
        }
        LoadReport {
            incarnation: self.incarnation,
            running: self.running.get(),
            waiting: self.waiting.borrow().len(),
        }
    }

    pub(super) fn set_faults(&self, faults: EngineFaults) {
        if faults.silence_open {
            self.silence_epoch.set(self.silence_epoch.get() + 1);
        }
        self.frozen_load.set(None);
        let load = faults.freeze_load.then(|| self.load_report());
        self.frozen_load.set(load);
        self.faults.set(faults);
    }
}
