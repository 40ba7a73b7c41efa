//! Keeps the lease for the calls to the platform that one VM makes for the whole deployment.
//!
//! The state machine is `verbenahinge_core::gateway::DutyLease`; this task makes its calls to the store. See
//! `docs/design/duty-lease.md`.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    Duty, DutyLease, DutyPermit, Feed, LeaseCandidacy, LeaseFailure, LeaseRead, LeaseRow,
    LeaseStep, LeaseTimes, StoreVersion,
};
use verbenahinge_platform::duties::{self, LEASE_KEY};
use verbenahinge_platform::node_file::VmSettings;
use verbenahinge_platform::store::{DUTY_TABLE, StoreClient, StoreError};

use super::Gateway;
use super::peer_message::{DutyMessage, pack_ip, unpack_ip};
use crate::boot_clock::boot_time;
use crate::event_log::LogEvent;

/// Longest wait before the role of this VM is looked at again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Share of the platform's limit that is used, since its measure and ours are not aligned.
const RATE_SHARE: f64 = 0.8;

/// Age up to which the holder that other VMs name is passed on.
const MAX_PROOF_AGE: Duration = Duration::from_secs(10);

/// A VM that held the lease, as others tell.
#[derive(Clone, Copy, Debug)]
struct HeardHolder {
    address: IpAddr,
    number: u64,
    proved_at: Timestamp,
}

/// Lease for duties, and who holds it.
pub(crate) struct Duties {
    /// `None` if the deployment has no duties.
    lease: RefCell<Option<DutyLease>>,
    candidacy: RefCell<LeaseCandidacy>,
    heard: Cell<Option<HeardHolder>>,
    /// Boot time from which the next call may be made.
    next_call_at: Cell<Timestamp>,
}

impl Duties {
    /// Creates the state of a process that starts at `now`; logs settings that cannot be used.
    pub(super) fn new(now: Timestamp, process: u64, settings: &VmSettings) -> Self {
        let duties = &settings.duties;
        if !duties.problems.is_empty() {
            LogEvent::DutiesOff.log(&[("problems", &duties.problems.join("; "))]);
        }
        let times = LeaseTimes {
            lease: duties.lease,
        };
        let name = settings.name.as_str();
        let is_first_start = settings.is_first_start;
        let lease = duties
            .usable_address()
            .map(|_| DutyLease::new(name, process, times, is_first_start));
        Self {
            lease: RefCell::new(lease),
            candidacy: RefCell::new(LeaseCandidacy::new(now)),
            heard: Cell::new(None),
            next_call_at: Cell::new(Duration::ZERO),
        }
    }

    /// Whether the deployment had usable settings of duties when the process started.
    pub(crate) fn are_on(&self) -> bool {
        self.lease.borrow().is_some()
    }

    /// Right to call the platform at this moment. It has to be asked for immediately before each call.
    pub(crate) fn permit(&self) -> Option<DutyPermit> {
        self.lease.borrow().as_ref()?.permit(boot_time())
    }

    /// Timeout of a call to the platform.
    pub(crate) fn call_timeout(&self) -> Duration {
        let lease = self.lease.borrow();
        let times = lease.as_ref().map(DutyLease::times);
        times.map_or(Duration::ZERO, |times| times.call_timeout())
    }

    /// Notes the era of a response of the store.
    pub(crate) fn note_era(&self, era: u64) {
        if let Some(lease) = self.lease.borrow_mut().as_mut() {
            lease.note_era(era);
        }
    }

    /// Waits for the next call that the platform's limit allows.
    pub(crate) async fn wait_for_turn(&self, calls_per_s: f64) {
        let interval = Duration::try_from_secs_f64(1.0 / (calls_per_s * RATE_SHARE));
        let now = boot_time();
        let at = self.next_call_at.get().max(now);
        self.next_call_at
            .set(at + interval.unwrap_or(Duration::from_secs(1)));
        actix_rt::time::sleep(at.saturating_sub(now)).await;
    }

    /// Address of the VM that holds the lease as far as is known; `None` if none is or it is this one.
    pub(crate) fn other_holder(&self, now: Timestamp) -> Option<IpAddr> {
        if self.permit().is_some() {
            return None;
        }
        let heard = self.heard.get()?;
        (heard.proved_at + MAX_PROOF_AGE > now).then_some(heard.address)
    }

    /// Holder of the lease, in the form for other VMs.
    pub(super) fn message(&self, now: Timestamp, own_address: IpAddr) -> Option<DutyMessage> {
        if let Some(permit) = self.permit() {
            return Some(DutyMessage {
                holder: pack_ip(own_address)?,
                number: permit.number,
                age_ms: 0,
                ..DutyMessage::default()
            });
        }
        let heard = self.heard.get()?;
        let age = now.saturating_sub(heard.proved_at);
        if age >= MAX_PROOF_AGE {
            return None;
        }
        Some(DutyMessage {
            holder: pack_ip(heard.address)?,
            number: heard.number,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            ..DutyMessage::default()
        })
    }

    /// Records the holder that another VM names.
    pub(super) fn handle_message(&self, now: Timestamp, message: DutyMessage) {
        if message.holder == 0 {
            return;
        }
        let age = Duration::from_millis(u64::from(message.age_ms));
        let told = HeardHolder {
            address: unpack_ip(message.holder),
            number: message.number,
            proved_at: now.saturating_sub(age),
        };
        let is_newer = self
            .heard
            .get()
            .is_none_or(|heard| (told.number, told.proved_at) > (heard.number, heard.proved_at));
        if is_newer {
            self.heard.set(Some(told));
            self.candidacy.borrow_mut().note_holder(told.proved_at);
        }
    }
}

/// Reads and renews the lease for as long as the process runs.
pub(super) async fn keep_lease(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut held_number = None;
    loop {
        update_role(&gateway);
        let next_step = |lease: &mut DutyLease| lease.next_step(boot_time());
        let step = gateway.duties.lease.borrow_mut().as_mut().map(next_step);
        let Some(step) = step else {
            return std::future::pending().await;
        };
        gateway.update_store_address(&mut store);
        match step {
            LeaseStep::Read => note_read(&gateway, read_row(&mut store).await),
            LeaseStep::Write { row_version, row } => {
                note_written(&gateway, write_row(&mut store, row_version, &row).await);
            }
            LeaseStep::Wait(time) => actix_rt::time::sleep(time.min(MAX_WAIT)).await,
        }
        log_holder(&gateway, &mut held_number);
    }
}

fn update_role(gateway: &Gateway) {
    let now = gateway.now();
    let applied = gateway
        .replicas
        .with(Feed::Servers, |replica| replica.applied_until());
    let duties = &gateway.duties;
    if let Some(version) = applied {
        duties.note_era(version.era);
    }
    let mut lease = duties.lease.borrow_mut();
    let Some(lease) = lease.as_mut() else {
        return;
    };
    let (rank, live, last_heard) = gateway.peers.lease_standing(now);
    let mut candidacy = duties.candidacy.borrow_mut();
    let role = candidacy.role(now, lease.times(), rank, live, last_heard);
    lease.set_role(role);
}

async fn read_row(store: &mut StoreClient) -> Result<LeaseRead, StoreError> {
    let read = store.read_row(DUTY_TABLE, LEASE_KEY).await?;
    let row_version = read.row.as_ref().map_or(0, |row| row.version);
    let value = read.row.and_then(|row| row.value);
    let row = match value.map(|value| duties::decode(&value)) {
        Some(Ok(row)) => row,
        Some(Err(error)) => {
            log::warn!("replacing the lease in its turn: {error}");
            LeaseRow::default()
        }
        None => LeaseRow::default(),
    };
    Ok(LeaseRead {
        store: StoreVersion::new(read.era, read.version),
        row_version,
        row,
    })
}

async fn write_row(
    store: &mut StoreClient,
    row_version: u64,
    row: &LeaseRow,
) -> Result<StoreVersion, StoreError> {
    let value = duties::encode(row).map_err(|error| StoreError::Malformed {
        problem: error.to_string(),
    })?;
    let written = store
        .replace(DUTY_TABLE, LEASE_KEY, row_version, &value)
        .await?;
    Ok(StoreVersion::new(written.era, written.version))
}

fn note_read(gateway: &Gateway, read: Result<LeaseRead, StoreError>) {
    let mut lease = gateway.duties.lease.borrow_mut();
    let Some(lease) = lease.as_mut() else {
        return;
    };
    match read {
        Ok(read) => lease.note_read(boot_time(), read),
        Err(error) => {
            log::debug!("failed to read the lease: {error}");
            lease.note_failed(boot_time(), LeaseFailure::Unknown);
        }
    }
}

fn note_written(gateway: &Gateway, written: Result<StoreVersion, StoreError>) {
    let mut lease = gateway.duties.lease.borrow_mut();
    let Some(lease) = lease.as_mut() else {
        return;
    };
    match written {
        Ok(version) => lease.note_written(boot_time(), version),
        Err(error) => {
            log::debug!("failed to write the lease: {error}");
            let failure = if error.is_version_conflict() {
                LeaseFailure::Changed
            } else {
                LeaseFailure::Unknown
            };
            lease.note_failed(boot_time(), failure);
        }
    }
}

/// Logs when this VM begins or ceases to hold the lease.
fn log_holder(gateway: &Gateway, held_number: &mut Option<u64>) {
    let number = gateway.duties.permit().map(|permit| permit.number);
    if number.is_some() {
        let mut candidacy = gateway.duties.candidacy.borrow_mut();
        candidacy.note_holder(gateway.now());
    }
    if number == *held_number {
        return;
    }
    match (number, *held_number) {
        (Some(number), _) => LogEvent::DutyLeaseHeld.log(&[("number", &number)]),
        (None, Some(old)) => LogEvent::DutyLeaseEnded.log(&[("number", &old)]),
        (None, None) => {}
    }
    *held_number = number;
}

/// Whether the settings in use still name a duty.
pub(super) fn has_duty(gateway: &Gateway, duty: Duty) -> bool {
    gateway.duties.are_on() && gateway.settings.borrow().duties.has(duty)
}
