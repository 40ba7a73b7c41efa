//! Counts the requests that begin at backend servers, and tells them to the VM that reports them.
//!
//! The decisions are in `verbenahinge_core::gateway` (`UsageSender`, `UsageLog`, `UsageLedger`). See
//! `docs/design/usage.md`.

mod reports;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use verbenahinge_core::gateway::{
    Call, DemandLog, FleetTime, ServiceDemand, UsageLedger, UsageLog, UsageSender, WindowId,
    window_at,
};
use verbenahinge_core::hash::hash64;
use verbenahinge_core::{Timestamp, VmId};

pub(super) use self::reports::{keep_ledger, send_reports};
use super::{Gateway, peers};
use crate::boot_clock::boot_time;

/// Time between two batches. With the way to the holder, a VM that is lost loses at most its last second.
const BATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Messages after which requests in flight are told again although nothing has changed.
const DEMAND_REPEAT: u64 = 3;

/// Counts of this VM, and those of others that it has been told.
pub(crate) struct Usage {
    process: VmId,
    pub(super) sender: RefCell<UsageSender>,
    pub(super) log: RefCell<UsageLog>,
    pub(super) time: RefCell<FleetTime>,
    /// Demand at this VM since its start, by hash of the service's name.
    demand: RefCell<BTreeMap<u64, ServiceDemand>>,
    pub(super) demand_log: RefCell<DemandLog>,
    demand_number: Cell<u64>,
    /// Present while this VM holds the lease.
    ledger: RefCell<Option<UsageLedger>>,
    /// Reports of windows before this one may have been sent by some VM.
    attempted_until: Cell<WindowId>,
}

impl Usage {
    /// Creates the state of a process without counts.
    pub(super) fn new(process: VmId) -> Self {
        Self {
            process,
            sender: RefCell::default(),
            log: RefCell::default(),
            time: RefCell::default(),
            demand: RefCell::default(),
            demand_log: RefCell::default(),
            demand_number: Cell::new(0),
            ledger: RefCell::default(),
            attempted_until: Cell::new(0),
        }
    }

    /// Process of this VM.
    pub(super) const fn process(&self) -> VmId {
        self.process
    }

    /// Sums of the demand over all VMs, by hash of the service's name, as the VMs have told this one.
    pub(crate) fn demand(&self) -> BTreeMap<u64, ServiceDemand> {
        self.demand_log.borrow().sums(boot_time())
    }

    /// Time of day of the fleet; `None` before it is known.
    pub(super) fn fleet_time(&self) -> Option<Timestamp> {
        self.time.borrow().at(boot_time())
    }

    /// Reports of windows before this one may have been sent.
    pub(super) const fn attempted_until(&self) -> WindowId {
        self.attempted_until.get()
    }

    /// Notes that reports of windows before `window` may have been sent.
    pub(super) fn note_attempted(&self, window: WindowId) {
        let known = self.attempted_until.get();
        self.attempted_until.set(known.max(window));
    }

    /// Notes the time of day that another VM tells.
    pub(super) fn note_clock(&self, vm: VmId, time_of_day: Timestamp) {
        let mut time = self.time.borrow_mut();
        time.note_clock(boot_time(), vm, time_of_day);
    }

    /// Counts an attempt as in flight at a server of a service, or as ended.
    pub(super) fn note_in_flight(&self, service: u64, has_begun: bool) {
        let mut demand = self.demand.borrow_mut();
        let in_flight = &mut demand.entry(service).or_default().in_flight;
        *in_flight = if has_begun {
            *in_flight + 1
        } else {
            in_flight.saturating_sub(1)
        };
    }

    /// Demand at this VM with its number, which grows with each call.
    pub(super) fn own_demand(&self) -> (u64, BTreeMap<u64, ServiceDemand>) {
        self.demand_number.set(self.demand_number.get() + 1);
        (self.demand_number.get(), self.demand.borrow().clone())
    }
}

/// Time of day of this VM. Unlike [`Gateway::now`], it follows adjustments of the system clock.
pub(super) fn time_of_day() -> Timestamp {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.unwrap_or_else(|error| {
        log::warn!("the system clock is before 1970: {error}");
        Duration::ZERO
    })
}

/// Hash by which VMs name a service.
pub(super) fn service_hash(service: &str) -> u64 {
    hash64(service.as_bytes())
}

/// Counts a request that has begun to run at a server; `began_at` is a boot time.
pub(super) fn count_begun(gateway: &Gateway, call: &Call, began_at: Timestamp, prefill_cost: f64) {
    let usage = &gateway.usage;
    let prompt_tokens = call
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.prompt_tokens);
    {
        let mut demand = usage.demand.borrow_mut();
        let demand = demand.entry(service_hash(&call.service)).or_default();
        demand.add_request(prompt_tokens, prefill_cost);
    }
    let Some(account) = &call.account else {
        return;
    };
    let at = usage.time.borrow().at(began_at);
    let window = gateway.settings.borrow().duties.report_window;
    let window = window_at(at.unwrap_or_else(time_of_day), window);
    usage.sender.borrow_mut().count(window, &account.name);
}

/// Tells the counts of this VM to the VM that reports them and to those that may succeed it, for as long as
/// the process runs.
pub(super) async fn tell_counts(gateway: Rc<Gateway>) {
    let mut told = BTreeMap::new();
    let mut rounds = 0;
    loop {
        let now = boot_time();
        let usage = &gateway.usage;
        {
            let mut time = usage.time.borrow_mut();
            time.note_clock(now, usage.process, time_of_day());
            time.refresh(now);
        }
        actix_rt::time::sleep(BATCH_INTERVAL).await;
        let now = boot_time();
        let (number, demand) = usage.own_demand();
        {
            let mut sender = usage.sender.borrow_mut();
            let closed = sender.close_batches(now);
            let first = sender.first_number();
            let mut log = usage.log.borrow_mut();
            log.merge(now, usage.process, first, closed);
            log.expire(now);
            let mut demand_log = usage.demand_log.borrow_mut();
            for (&service, &demand) in &demand {
                demand_log.note(now, usage.process, number, service, demand);
            }
            demand_log.expire(now);
        }
        rounds += 1;
        let is_repeat = rounds % DEMAND_REPEAT == 0;
        let is_busy = demand.values().any(|demand| demand.in_flight > 0);
        let tells_demand = demand != told || (is_repeat && is_busy);
        let news = if tells_demand {
            demand.clone()
        } else {
            BTreeMap::new()
        };
        told = demand;
        peers::send_usage(&gateway, number, &news).await;
    }
}
