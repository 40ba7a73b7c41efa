//! Saves the sums of usage and sends the reports while this VM holds the lease.

use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::{Duty, FixedReport, UsageLedger, UsageSave};
use verbenahinge_platform::duties::{USAGE_KEY, UsageRows, decode_rows, encode_save};
use verbenahinge_platform::duty_api::{DutyApiClient, DutyOutcome, UsageReport};
use verbenahinge_platform::store::{DUTY_TABLE, StoreClient, StoreError};

use crate::boot_clock::boot_time;
use crate::event_log::LogEvent;
use crate::gateway::{Gateway, duties};

/// Time between two looks at what has to be saved or sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two saves of the sums.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes per second that saves of the sums may take on a VM's link of 10 Mbit/s.
const SAVE_BYTES_PER_S: f64 = 32_768.0;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a report that the platform has refused.
const REFUSAL_PAUSE: Duration = Duration::from_secs(2);

/// Refusals after which a report is given up.
const MAX_REFUSALS: u32 = 4;

/// Status of calls beyond the platform's limit.
const TOO_MANY_CALLS: u16 = 429;

/// Status of a platform that is away for a while.
const UNAVAILABLE: u16 = 503;

/// What the holder knows of its row in the store.
#[derive(Debug, Default)]
struct SavedState {
    /// Fencing token under which the row was read; `None` while this VM does not hold the lease.
    lease_number: Option<u64>,
    row_version: u64,
    /// Boot time of the next save.
    save_at: Duration,
}

/// Saves the sums and fixes reports for as long as the process runs.
pub(in crate::gateway) async fn keep_ledger(gateway: Rc<Gateway>) {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let mut state = SavedState::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        gateway.update_store_address(&mut store);
        if let Err(error) = keep_once(&gateway, &mut store, &mut state).await {
            log::debug!("failed to save usage: {error}");
            // The write may have been performed, so that the store is read again.
            state.row_version = 0;
            let ledger = gateway.usage.ledger.borrow_mut().take();
            let reports = ledger.map(|ledger| ledger.pending_reports());
            actix_rt::time::sleep(RETRY_PAUSE).await;
            if let Err(error) = reload(&gateway, &mut store, &mut state, reports).await {
                log::debug!("failed to read usage: {error}");
            }
        }
    }
}

async fn keep_once(
    gateway: &Gateway,
    store: &mut StoreClient,
    state: &mut SavedState,
) -> Result<(), StoreError> {
    let usage = &gateway.usage;
    let permit = gateway.duties.permit();
    let permit = permit.filter(|_| duties::has_duty(gateway, Duty::Usage));
    let Some(permit) = permit else {
        return Ok(());
    };
    if state.lease_number != Some(permit.number) {
        usage.ledger.borrow_mut().take();
        state.lease_number = Some(permit.number);
    }
    if usage.ledger.borrow().is_none() {
        return reload(gateway, store, state, None).await;
    }
    let Some(now) = usage.fleet_time() else {
        return Ok(());
    };
    let save = {
        let mut ledger = usage.ledger.borrow_mut();
        let Some(ledger) = ledger.as_mut() else {
            return Ok(());
        };
        let log = usage.log.borrow();
        ledger.apply(&log);
        ledger.fix_ready(now);
        let is_due = ledger.has_changed() && boot_time() >= state.save_at;
        if !is_due && !ledger.has_unsaved_reports() {
            return Ok(());
        }
        ledger.take_save(now, &log)
    };
    write(gateway, store, state, &save).await?;
    if let Some(ledger) = usage.ledger.borrow_mut().as_mut() {
        ledger.note_saved(&save);
    }
    Ok(())
}

async fn write(
    gateway: &Gateway,
    store: &mut StoreClient,
    state: &mut SavedState,
    save: &UsageSave,
) -> Result<(), StoreError> {
    let rows = encode_save(save).map_err(|error| StoreError::Malformed {
        problem: error.to_string(),
    })?;
    let mut conditions = vec![(USAGE_KEY.to_owned(), state.row_version)];
    conditions.extend(rows.absent.into_iter().map(|key| (key, 0)));
    let bytes: usize = rows.put.iter().map(|(_, value)| value.len()).sum();
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    let pause = Duration::from_secs_f64(f64::from(bytes) / SAVE_BYTES_PER_S);
    state.save_at = boot_time() + SAVE_INTERVAL.max(pause);
    let written = store
        .change_rows(DUTY_TABLE, &conditions, rows.put, rows.remove)
        .await?;
    gateway.duties.note_era(written.era);
    state.row_version = written.version;
    Ok(())
}

/// Reads what the store holds; `kept` are reports that this VM has fixed under the same lease.
async fn reload(
    gateway: &Gateway,
    store: &mut StoreClient,
    state: &mut SavedState,
    kept: Option<Vec<FixedReport>>,
) -> Result<(), StoreError> {
    let table = store.read_table(DUTY_TABLE).await?;
    gateway.duties.note_era(table.era);
    let rows = decode_rows(&table.rows);
    for error in &rows.errors {
        LogEvent::UsageUnreadable.log(&[("cause", error)]);
    }
    let number = gateway.duties.permit().map(|permit| permit.number);
    let usage = &gateway.usage;
    let Some(now) = usage.fleet_time() else {
        return Ok(());
    };
    if number.is_none() || number != state.lease_number {
        return Ok(());
    }
    state.row_version = rows.version;
    let mut ledger = new_ledger(gateway, now, rows);
    for report in kept.unwrap_or_default() {
        ledger.keep_report(report);
    }
    *usage.ledger.borrow_mut() = Some(ledger);
    Ok(())
}

fn new_ledger(gateway: &Gateway, now: Duration, rows: UsageRows) -> UsageLedger {
    let settings = gateway.settings.borrow();
    let duties = &settings.duties;
    let usage = &gateway.usage;
    UsageLedger::new(
        now,
        duties.report_window,
        duties.report_delay,
        rows.sums,
        rows.reports,
        usage.attempted_until(),
        &usage.log.borrow(),
    )
}

/// Sends fixed reports, oldest first, for as long as the process runs.
pub(in crate::gateway) async fn send_reports(gateway: Rc<Gateway>) {
    let address = gateway.settings.borrow().duties.usable_address();
    let Some(address) = address else {
        return std::future::pending().await;
    };
    let source = gateway.settings.borrow().ip;
    let call_timeout = gateway.duties.call_timeout();
    let mut client = DutyApiClient::new(address, boot_time, call_timeout).source(source);
    let mut refusals = 0;
    loop {
        if next_report(&gateway).is_none() {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let calls_per_s = gateway.settings.borrow().duties.calls_per_s;
        gateway.duties.wait_for_turn(calls_per_s).await;
        let outcome = send_report(&gateway, &mut client).await;
        let Some((report, outcome)) = outcome else {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        gateway.metrics.count_duty_call(Duty::Usage, &outcome);
        match outcome {
            DutyOutcome::Accepted => {
                refusals = 0;
                finish(&gateway, &report);
                LogEvent::UsageReported.log(&[
                    ("window", &report.window_id),
                    ("accounts", &report.counts.len()),
                    ("requests", &report.counts.values().sum::<u64>()),
                ]);
            }
            DutyOutcome::Refused { status }
                if status != TOO_MANY_CALLS && status != UNAVAILABLE =>
            {
                refusals += 1;
                LogEvent::UsageRefused.log(&[
                    ("window", &report.window_id),
                    ("status", &status),
                    ("refusals", &refusals),
                ]);
                if refusals >= MAX_REFUSALS {
                    refusals = 0;
                    finish(&gateway, &report);
                }
                actix_rt::time::sleep(REFUSAL_PAUSE).await;
            }
            other => {
                log::debug!(
                    "usage report {} was not accepted: {other:?}",
                    report.window_id
                );
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn next_report(gateway: &Gateway) -> Option<FixedReport> {
    gateway.duties.permit()?;
    if !duties::has_duty(gateway, Duty::Usage) {
        return None;
    }
    gateway.usage.ledger.borrow().as_ref()?.next_report()
}

/// Sends the oldest report, if there still is one and this VM still may.
async fn send_report(
    gateway: &Gateway,
    client: &mut DutyApiClient,
) -> Option<(UsageReport, DutyOutcome)> {
    let report = next_report(gateway)?;
    gateway.usage.note_attempted(report.window + 1);
    let mut sent = UsageReport {
        window_id: report.window,
        ..UsageReport::default()
    };
    for (account, count) in report.counts {
        sent.counts.insert(account.to_string(), count);
    }
    let permit = gateway.duties.permit()?;
    let outcome = client.report_usage(&permit, &sent).await;
    Some((sent, outcome))
}

fn finish(gateway: &Gateway, report: &UsageReport) {
    if let Some(ledger) = gateway.usage.ledger.borrow_mut().as_mut() {
        ledger.note_accepted(report.window_id);
    }
}
