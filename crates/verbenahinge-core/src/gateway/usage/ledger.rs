//! Sums over all VMs, as the holder of the lease keeps them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{AccountCounts, FixedReport, UsageLog, UsageRow, UsageSave, WindowId};
use crate::Timestamp;

/// Share of the time until a report is due after which it is fixed: the last counts of a window take two
/// seconds, and a holder that is lost right before has to be replaced in the rest of the time.
const FIX_SHARE: f64 = 0.35;

/// Share of the time until a report is due after which a new holder does not wait for more counts.
const LATEST_FIX_SHARE: f64 = 0.9;

/// Time in which other VMs send a new holder what it lacks.
const SETTLE_TIME: Duration = Duration::from_millis(1800);

/// Time after which a new holder has got all batches that other VMs still keep.
const PRUNE_DELAY: Duration = Duration::from_mins(1);

/// Most reports that are fixed at a time.
const MAX_FIXED_AT_ONCE: usize = 16;

/// Report that is not known to be accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct PendingReport {
    counts: AccountCounts,
    is_saved: bool,
}

/// Sums over all VMs, as the holder of the lease keeps them.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    window: Duration,
    report_delay: Duration,
    row: UsageRow,
    has_changed: bool,
    held_since: Timestamp,
    pending: BTreeMap<WindowId, PendingReport>,
    /// Reports that were accepted and are still in the store.
    accepted: Vec<FixedReport>,
}

impl UsageLedger {
    /// Creates the ledger of a VM that begins to hold the lease at the time `now` of the fleet, from the
    /// saved sums and reports.
    ///
    /// Reports of windows before `attempted_until` may have been sent. If the store has forgotten them, as
    /// it has returned from an older copy, they are not computed again: the platform must not get two
    /// reports of one window that differ.
    #[must_use]
    pub fn new(
        now: Timestamp,
        window: Duration,
        report_delay: Duration,
        saved: Option<UsageRow>,
        reports: Vec<FixedReport>,
        attempted_until: WindowId,
        log: &UsageLog,
    ) -> Self {
        let mut row = saved.unwrap_or_else(|| UsageRow {
            next_window: first_window(log, window_at(now, window)),
            ..UsageRow::default()
        });
        row.next_window = row.next_window.max(attempted_until);
        let mut pending = BTreeMap::new();
        for report in reports {
            row.next_window = row.next_window.max(report.window + 1);
            let report_state = PendingReport {
                counts: report.counts,
                is_saved: true,
            };
            pending.insert(report.window, report_state);
        }
        Self {
            window,
            report_delay,
            row,
            has_changed: true,
            held_since: now,
            pending,
            accepted: Vec::new(),
        }
    }

    /// Keeps a report that this VM has fixed before it read the store again.
    pub fn keep_report(&mut self, report: FixedReport) {
        let window = report.window;
        self.row.next_window = self.row.next_window.max(window + 1);
        self.row.counts.remove(&window);
        self.pending.entry(window).or_insert_with(|| {
            self.has_changed = true;
            PendingReport {
                counts: report.counts,
                is_saved: false,
            }
        });
    }

    /// Adds the batches that the sums lack.
    pub fn apply(&mut self, log: &UsageLog) {
        for vm in log.vms() {
            let applied = self.row.applied.get(&vm).copied().unwrap_or(0);
            for batch in log.batches_after(vm, applied) {
                self.row.applied.insert(vm, batch.number);
                self.has_changed = true;
                for entry in &batch.counts {
                    if entry.window < self.row.next_window {
                        continue;
                    }
                    let counts = self.row.counts.entry(entry.window).or_default();
                    *counts.entry(entry.account.clone()).or_default() += entry.count;
                }
            }
        }
    }

    /// Fixes the reports that are ready at the time `now` of the fleet.
    pub fn fix_ready(&mut self, now: Timestamp) {
        for _ in 0..MAX_FIXED_AT_ONCE {
            let window = self.row.next_window;
            let end = self.end_of(window);
            let fix_at = end + self.report_delay.mul_f64(FIX_SHARE);
            let latest = end + self.report_delay.mul_f64(LATEST_FIX_SHARE);
            let is_settled = now >= self.held_since + SETTLE_TIME || now >= latest;
            if now < fix_at || !is_settled {
                return;
            }
            let counts = self.row.counts.remove(&window).unwrap_or_default();
            let report = PendingReport {
                counts,
                is_saved: false,
            };
            self.pending.insert(window, report);
            self.row.next_window += 1;
            self.has_changed = true;
        }
    }

    /// Whether there is something to save.
    #[must_use]
    pub const fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// Whether reports are fixed and not saved, so that they cannot be sent.
    #[must_use]
    pub fn has_unsaved_reports(&self) -> bool {
        self.pending.values().any(|report| !report.is_saved)
    }

    /// Takes what has to be saved at the time `now` of the fleet.
    pub fn take_save(&mut self, now: Timestamp, log: &UsageLog) -> UsageSave {
        if now >= self.held_since + PRUNE_DELAY {
            // Batches of these VMs would be too old for any window that is not fixed.
            let vms: BTreeSet<_> = log.vms().collect();
            self.row.applied.retain(|vm, _| vms.contains(vm));
        }
        self.has_changed = false;
        let mut reports = Vec::new();
        for (&window, report) in &self.pending {
            if !report.is_saved {
                let counts = report.counts.clone();
                reports.push(FixedReport { window, counts });
            }
        }
        UsageSave {
            row: self.row.clone(),
            reports,
            removed: self.accepted.clone(),
        }
    }

    /// Notes that the store has what was taken.
    pub fn note_saved(&mut self, save: &UsageSave) {
        for report in &save.reports {
            if let Some(pending) = self.pending.get_mut(&report.window) {
                pending.is_saved = true;
            }
        }
        self.accepted
            .retain(|report| !save.removed.contains(report));
    }

    /// Oldest report that is to be sent; it is in the store.
    #[must_use]
    pub fn next_report(&self) -> Option<FixedReport> {
        let (&window, report) = self.pending.first_key_value()?;
        report.is_saved.then(|| FixedReport {
            window,
            counts: report.counts.clone(),
        })
    }

    /// Reports that are not known to be accepted.
    #[must_use]
    pub fn pending_reports(&self) -> Vec<FixedReport> {
        let mut reports = Vec::new();
        for (&window, report) in &self.pending {
            reports.push(FixedReport {
                window,
                counts: report.counts.clone(),
            });
        }
        reports
    }

    /// Notes that the platform has accepted a report, or never will.
    pub fn note_accepted(&mut self, window: WindowId) {
        if let Some(report) = self.pending.remove(&window) {
            let counts = report.counts;
            self.accepted.push(FixedReport { window, counts });
            self.has_changed = true;
        }
    }

    fn end_of(&self, window: WindowId) -> Timestamp {
        let nanoseconds = self.window.as_nanos() * (u128::from(window) + 1);
        Duration::from_nanos_u128(nanoseconds)
    }
}

/// Window at a time of day.
#[must_use]
pub fn window_at(now: Timestamp, window: Duration) -> WindowId {
    let id = now.as_nanos() / window.as_nanos().max(1);
    u64::try_from(id).unwrap_or(u64::MAX)
}

/// First window to report in a deployment whose store has no sums: the present one, or an earlier one that
/// VMs have counted in.
fn first_window(log: &UsageLog, present: WindowId) -> WindowId {
    let mut first = present;
    for vm in log.vms() {
        for batch in log.batches_after(vm, 0) {
            for entry in &batch.counts {
                first = first.min(entry.window);
            }
        }
    }
    first
}
