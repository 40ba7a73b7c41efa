//! Pace of the engines, and the interactive group of the fastest, at services with tight gap targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{EnginePaceReport, GatewayState, PeerDigest};

use crate::gateway::{
    Call, CallId, GapModel, LoadReport, PaceClass, RegistryChange, ServerEntry, StreamGaps,
};
use crate::hash::hash64;
use crate::{ServerName, Timestamp};

/// Minimum time between two updates of the pace classes of a service.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two updates for each engine of the service, so that updates use less than 1 % of a
/// core.
const REFRESH_INTERVAL_PER_ENGINE: Duration = Duration::from_micros(400);

/// Pace classes in a factor of two.
const CLASSES_PER_OCTAVE: f64 = 2.0;

/// Fastest and slowest pace class, each at least twice as fast or slow as usual.
const CLASS_RANGE: (PaceClass, PaceClass) = (-2, 2);

/// Distance, in classes, from the middle of an engine's class at which it changes its class. Beyond one half,
/// so that a pace at the border of two classes does not change the group again and again.
const CLASS_CHANGE_DISTANCE: f64 = 0.75;

/// Maximum age of a load report whose fourth figure corrects a gap.
const SLOWDOWN_MAX_AGE: Duration = Duration::from_millis(100);

/// Service with tight gap targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServicePace {
    tight_target: Duration,
    tokens_per_event: u32,
    /// Usual time for a token, in log2 of microseconds.
    usual: Option<f64>,
    refreshed_at: Option<Timestamp>,
}

impl GatewayState {
    /// Adopts which services have tight gap targets by the configuration in force.
    pub(super) fn update_paced_services(&mut self) {
        let Some(routing) = &self.routing else {
            return;
        };
        let mut paced_services = BTreeMap::new();
        for (name, service) in &routing.services {
            let (Some(tight_target), Some(engine)) =
                (routing.tight_gap_target(name), service.engine)
            else {
                continue;
            };
            let old = self.paced_services.get(name);
            let pace = ServicePace {
                tight_target,
                tokens_per_event: engine.tokens_per_event,
                usual: old.and_then(|old| old.usual),
                refreshed_at: old.and_then(|old| old.refreshed_at),
            };
            paced_services.insert(name.clone(), pace);
        }
        for name in self.paced_services.keys() {
            if !paced_services.contains_key(name)
                && let Some(order) = self.registry.order_mut(name)
            {
                // Without tight gap targets, the group is selected by hash alone.
                let names: Vec<ServerName> = order.names().cloned().collect();
                for engine in names {
                    order.set_pace_class(&engine, 0);
                }
            }
        }
        self.paced_services = paced_services;
    }

    pub(super) fn gap_model(&self, service: &str) -> Option<GapModel> {
        let pace = self.paced_services.get(service)?;
        Some(GapModel::new(
            pace.tight_target,
            pace.tokens_per_event,
            pace.usual,
        ))
    }

    /// Time that an engine takes, relative to a usual one.
    pub(super) fn relative_pace(&self, now: Timestamp, entry: &ServerEntry) -> f64 {
        let Some(pace) = self.paced_services.get(&entry.service) else {
            return 1.0;
        };
        let engine = hash64(entry.id.as_bytes());
        self.paces.octaves(now, engine, pace.usual).exp2()
    }

    /// Updates the usual pace of a service and the pace classes of its engines.
    pub(super) fn refresh_paces(&mut self, now: Timestamp, service: &str) {
        let Some(pace) = self.paced_services.get_mut(service) else {
            return;
        };
        let Some(order) = self.registry.order_mut(service) else {
            return;
        };
        let engines = u32::try_from(order.len()).unwrap_or(u32::MAX);
        let interval = REFRESH_INTERVAL.max(REFRESH_INTERVAL_PER_ENGINE * engines);
        if pace.refreshed_at.is_some_and(|at| at + interval > now) {
            return;
        }
        pace.refreshed_at = Some(now);
        let hashes = order.names().map(|name| hash64(name.as_bytes()));
        pace.usual = self.paces.usual(now, hashes);
        let mut changes = Vec::new();
        for name in order.names() {
            let engine = hash64(name.as_bytes());
            let exact = self.paces.octaves(now, engine, pace.usual) * CLASSES_PER_OCTAVE;
            let current = order.pace_class(name);
            if (exact - f64::from(current)).abs() > CLASS_CHANGE_DISTANCE {
                changes.push((name.clone(), nearest_class(exact)));
            }
        }
        for (name, class) in changes {
            order.set_pace_class(&name, class);
        }
    }

    /// Keeps the pace class of a server whose entry has changed, unless it has started again.
    pub(super) fn restore_pace_class(&mut self, id: &ServerName, change: Option<RegistryChange>) {
        if change.is_none() || change == Some(RegistryChange::Restarted) {
            return;
        }
        let Some(service) = self.registry.get(id).map(|entry| entry.service.clone()) else {
            return;
        };
        let Some(&pace) = self.paced_services.get(&service) else {
            return;
        };
        let Some(seen_at) = pace.refreshed_at else {
            return;
        };
        let engine = hash64(id.as_bytes());
        let exact = self.paces.octaves(seen_at, engine, pace.usual) * CLASSES_PER_OCTAVE;
        if let Some(order) = self.registry.order_mut(&service) {
            order.set_pace_class(id, nearest_class(exact));
        }
    }

    /// Engines that streams with tight gap targets use first; `None` at services without such targets.
    pub(super) fn tight_group_size(&self, service: &str) -> Option<usize> {
        self.paced_services.get(service)?;
        let size = self.tight_group_sizes.get(service);
        Some(size.copied().unwrap_or(1))
    }

    /// Those of some engines that belong to the interactive group, and those of them that streams with tight
    /// gap targets use first; `None` at services without such targets.
    pub(super) fn paced_groups(
        &self,
        call: &Call,
        engines: &[ServerName],
        group_size: usize,
    ) -> Option<(BTreeSet<ServerName>, BTreeSet<ServerName>)> {
        let tight_size = self.tight_group_size(&call.service)?;
        let order = self.registry.order(&call.service)?;
        Some(order.in_paced_groups(engines, tight_size, group_size))
    }

    /// Records that an attempt has ended, whose request may have a tight gap target.
    pub(super) fn note_tight_end(&mut self, call: CallId) {
        if let Some(attempts) = self.tight_streams.get_mut(&call) {
            *attempts -= 1;
            if *attempts == 0 {
                self.tight_streams.remove(&call);
            }
        }
    }

    /// Records that some events of a stream arrived together, and learns the pace of its engine.
    pub fn note_events(
        &mut self,
        now: Timestamp,
        server: &str,
        events: u32,
        gaps: &mut StreamGaps,
    ) {
        let report = self
            .backends
            .get(server)
            .and_then(|backend| backend.reported(now, SLOWDOWN_MAX_AGE));
        let slowdown = report.as_ref().map_or(1.0, LoadReport::slowdown);
        let Some(gap) = gaps.note_events(now, events, slowdown) else {
            return;
        };
        let service = self.registry.get(server).map(|entry| &entry.service);
        let pace = service.and_then(|service| self.paced_services.get(service));
        if let Some(pace) = pace {
            let time_per_token = gap / pace.tokens_per_event.max(1);
            let engine = hash64(server.as_bytes());
            self.paces.note_sample(now, engine, time_per_token);
        }
    }

    /// Takes what this VM has learned of the pace of engines since it last told others.
    pub fn take_pace_reports(&mut self, now: Timestamp) -> Vec<EnginePaceReport> {
        let reports = self.paces.take_reports(now).into_iter();
        reports
            .map(|(server, pace)| EnginePaceReport { server, pace })
            .collect()
    }

    /// Pace of the engines for which this VM pools what all VMs have learned.
    #[must_use]
    pub fn pooled_pace_reports(&self, now: Timestamp) -> Vec<EnginePaceReport> {
        let reports = self.paces.pooled_reports(now).into_iter();
        reports
            .map(|(server, pace)| EnginePaceReport { server, pace })
            .collect()
    }

    /// Pace of one engine as this VM has pooled it, for the reply to a load query.
    #[must_use]
    pub fn pooled_pace_report(&self, now: Timestamp, server: u64) -> Option<EnginePaceReport> {
        let pace = self.paces.pooled_report(now, server)?;
        Some(EnginePaceReport { server, pace })
    }

    /// Adds what another VM tells of the pace of engines.
    pub(super) fn merge_paces(&mut self, now: Timestamp, digest: &PeerDigest) {
        for report in &digest.paces {
            if self.names_by_hash.contains_key(&report.server) {
                self.paces
                    .note_peer(now, digest.vm, report.server, report.pace);
            }
        }
        for report in &digest.pooled_paces {
            if self.names_by_hash.contains_key(&report.server) {
                self.paces.note_pooled(now, report.server, report.pace);
            }
        }
    }
}

fn nearest_class(exact: f64) -> PaceClass {
    let (fastest, slowest) = CLASS_RANGE;
    let mut nearest = 0;
    for class in fastest..=slowest {
        if (exact - f64::from(class)).abs() < (exact - f64::from(nearest)).abs() {
            nearest = class;
        }
    }
    nearest
}
