//! Pace of inference engines: how long one engine takes for a token, compared with the others.
//!
//! Load pattern: engines of one service differ in speed by a factor of two, each VM of a large fleet sees
//! few streams of each engine, and prefill or a busy machine stretches some of the gaps between events.
//! See `docs/design/engine-pace.md`.

mod estimate;
mod gap_model;
mod pace_report;
mod stream_gaps;

use std::collections::BTreeMap;
use std::time::Duration;

use self::estimate::Estimate;
pub(super) use self::gap_model::EngineMoment;
pub use self::gap_model::GapModel;
pub use self::pace_report::PaceReport;
pub use self::stream_gaps::StreamGaps;
use crate::{Timestamp, VmId};

/// Weight of an estimate, in samples, at which its deviation from the usual pace counts half.
const PRIOR_WEIGHT: f64 = 1.0;

/// Weight from which the estimate of an engine is part of the usual pace.
const KNOWN_WEIGHT: f64 = 1.0;

/// Engines of known pace from which there is a usual pace.
const MIN_KNOWN_ENGINES: usize = 3;

/// Weight below which an estimate is dropped.
const MIN_WEIGHT: f64 = 0.05;

/// Minimum time between two reports of this VM's own estimate of one engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// What is known of the pace of one engine.
#[derive(Clone, Debug, Default)]
struct EngineEstimates {
    own: Estimate,
    /// Whether there are samples that no report has included.
    has_news: bool,
    reported_at: Timestamp,
    peers: BTreeMap<VmId, Estimate>,
    /// Estimate of the VM that pools those of all VMs.
    pooled: Estimate,
}

impl EngineEstimates {
    /// Estimate from the samples of this VM and the reports that it has received.
    fn pool(&self, now: Timestamp) -> Estimate {
        let mut pool = self.own;
        for &peer in self.peers.values() {
            pool.merge(now, peer);
        }
        pool
    }

    /// The weightier of the estimates from this VM's pool and from that of another VM, which overlap.
    fn best(&self, now: Timestamp) -> Estimate {
        let pool = self.pool(now);
        if self.pooled.weight_at(now) > pool.weight_at(now) {
            self.pooled
        } else {
            pool
        }
    }
}

/// Pace of the engines of all services, by the hash of the engine's name.
#[derive(Clone, Debug, Default)]
pub struct EnginePaces {
    engines: BTreeMap<u64, EngineEstimates>,
}

impl EnginePaces {
    /// Creates the state of a VM that knows no pace.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            engines: BTreeMap::new(),
        }
    }

    /// Adds the time for a token in a stream that passes this VM.
    pub fn note_sample(&mut self, now: Timestamp, engine: u64, time_per_token: Duration) {
        let estimates = self.engines.entry(engine).or_default();
        estimates.own.add(now, time_per_token);
        estimates.has_news = true;
    }

    /// Records the estimate of another VM from the streams that pass it.
    pub fn note_peer(&mut self, now: Timestamp, vm: VmId, engine: u64, report: PaceReport) {
        let estimates = self.engines.entry(engine).or_default();
        estimates
            .peers
            .insert(vm, Estimate::from_report(now, report));
    }

    /// Records an estimate from the streams of all VMs.
    ///
    /// While VMs disagree on which of them pools the estimates of an engine, the weightier one stays.
    pub fn note_pooled(&mut self, now: Timestamp, engine: u64, report: PaceReport) {
        let estimates = self.engines.entry(engine).or_default();
        let told = Estimate::from_report(now, report);
        if told.weight_at(now) * 2.0 >= estimates.pooled.weight_at(now) {
            estimates.pooled = told;
        }
    }

    /// Takes this VM's own estimates that have changed since they were last taken.
    pub fn take_reports(&mut self, now: Timestamp) -> Vec<(u64, PaceReport)> {
        let mut reports = Vec::new();
        for (&engine, estimates) in &mut self.engines {
            if !estimates.has_news || estimates.reported_at + REPORT_INTERVAL > now {
                continue;
            }
            estimates.has_news = false;
            estimates.reported_at = now;
            reports.push((engine, estimates.own.report(now)));
        }
        reports
    }

    /// Pooled estimates of the engines whose pace other VMs have reported to this one.
    #[must_use]
    pub fn pooled_reports(&self, now: Timestamp) -> Vec<(u64, PaceReport)> {
        let mut reports = Vec::new();
        for (&engine, estimates) in &self.engines {
            if !estimates.peers.is_empty() {
                let report = estimates.pool(now).report(now);
                if report.is_known() {
                    reports.push((engine, report));
                }
            }
        }
        reports
    }

    /// Estimate of one engine from this VM's samples and the reports that it has received.
    #[must_use]
    pub fn pooled_report(&self, now: Timestamp, engine: u64) -> Option<PaceReport> {
        let report = self.engines.get(&engine)?.pool(now).report(now);
        report.is_known().then_some(report)
    }

    /// Usual time for a token, in log2 of microseconds: the median over some engines of known pace.
    #[must_use]
    pub fn usual(&self, now: Timestamp, engines: impl Iterator<Item = u64>) -> Option<f64> {
        let mut known = Vec::new();
        for engine in engines {
            let Some(estimates) = self.engines.get(&engine) else {
                continue;
            };
            let best = estimates.best(now);
            if best.weight_at(now) >= KNOWN_WEIGHT {
                known.push(best.log_time());
            }
        }
        if known.len() < MIN_KNOWN_ENGINES {
            return None;
        }
        known.sort_unstable_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// Pace of an engine relative to the usual one, in octaves: -1 for an engine that is twice as fast.
    ///
    /// An estimate from few or old samples counts as close to the usual pace.
    #[must_use]
    pub fn octaves(&self, now: Timestamp, engine: u64, usual: Option<f64>) -> f64 {
        let (Some(usual), Some(estimates)) = (usual, self.engines.get(&engine)) else {
            return 0.0;
        };
        let best = estimates.best(now);
        let weight = best.weight_at(now);
        (best.log_time() - usual) * weight / (weight + PRIOR_WEIGHT)
    }

    /// Drops what is known of an engine that starts again or has left.
    pub fn forget(&mut self, engine: u64) {
        self.engines.remove(&engine);
    }

    /// Drops the reports of a VM that has shut down.
    pub fn forget_peer(&mut self, vm: VmId) {
        for estimates in self.engines.values_mut() {
            estimates.peers.remove(&vm);
        }
    }

    /// Drops estimates that have become too old to count.
    pub fn expire(&mut self, now: Timestamp) {
        self.engines.retain(|_, estimates| {
            let peers = &mut estimates.peers;
            peers.retain(|_, peer| peer.weight_at(now) >= MIN_WEIGHT);
            let is_own_known = estimates.own.weight_at(now) >= MIN_WEIGHT;
            let is_pooled_known = estimates.pooled.weight_at(now) >= MIN_WEIGHT;
            is_own_known || is_pooled_known || !estimates.peers.is_empty()
        });
    }
}
