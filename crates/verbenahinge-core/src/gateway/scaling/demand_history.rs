//! Demand over time, in servers.

use std::collections::VecDeque;
use std::time::Duration;

use super::{DemandSample, LearnedDemand, ServerCapacity};
use crate::Timestamp;

/// Largest factor of a burst over the load before it.
const BURST_FACTOR: f64 = 2.8;

/// Reserve over the highest demand that was seen.
const PEAK_RESERVE: f64 = 1.1;

/// Seconds with traffic that count: two of the longest waves, so that each kind of burst recurs in them.
const WINDOW_S: usize = 30;

/// Time constant over which demand is smoothed; the shortest bursts last twice as long.
const SMOOTHING_S: f64 = 1.0;

/// Time after the first request in which prompts are read that are cached from then on.
const COLD_TIME: Duration = Duration::from_secs(8);

/// Demand over the lowest one of the window at which a burst is under way.
const BURST_THRESHOLD: f64 = 1.6;

/// Time after a burst in which no server is released: bursts recur.
const CALM_AFTER_BURST: Duration = Duration::from_secs(3);

/// Time without a request after which there is no traffic.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Demand over time, in servers.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandHistory {
    updated_at: Timestamp,
    began_at: Option<Timestamp>,
    traffic_at: Option<Timestamp>,
    burst_at: Option<Timestamp>,
    is_reported: bool,
    /// Smoothed demand.
    level: f64,
    /// Highest and lowest level of each second with traffic, the last one at the back.
    seconds: VecDeque<Second>,
}

#[derive(Clone, Copy, Debug)]
struct Second {
    unix_s: u64,
    highest: f64,
    lowest: f64,
}

impl DemandHistory {
    /// Continues from what an earlier holder has learned.
    ///
    /// Its window leaves second by second, as those with traffic that follow are seen.
    pub(super) fn restored(learned: LearnedDemand) -> Self {
        let second = Second {
            // No second of this holder's clock, so that the next one begins a new entry.
            unix_s: u64::MAX,
            highest: f64::from(learned.highest_centiservers) / 100.0,
            lowest: f64::from(learned.lowest_centiservers) / 100.0,
        };
        let seconds = usize::try_from(learned.seconds).unwrap_or(WINDOW_S);
        let is_warm = u64::from(learned.seconds) >= COLD_TIME.as_secs();
        Self {
            began_at: is_warm.then_some(Timestamp::ZERO),
            seconds: vec![second; seconds.min(WINDOW_S)].into(),
            ..Self::default()
        }
    }

    /// What a successor has to know; `None` before traffic.
    pub(super) fn learned(&self) -> Option<LearnedDemand> {
        if self.seconds.is_empty() {
            return None;
        }
        Some(LearnedDemand {
            highest_centiservers: ceil(self.highest() * 100.0),
            lowest_centiservers: ceil(self.lowest() * 100.0),
            seconds: u32::try_from(self.seconds.len()).unwrap_or(u32::MAX),
        })
    }

    /// Records the demand of this moment.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        demand: Option<DemandSample>,
        capacity: &ServerCapacity,
    ) {
        self.is_reported = demand.is_some();
        // A pause between two waves says nothing of the next one.
        let Some(mut demand) = demand.filter(|demand| !demand.is_idle()) else {
            return;
        };
        self.traffic_at = Some(now);
        let began_at = *self.began_at.get_or_insert(now);
        if now < began_at + COLD_TIME {
            demand.prefill_tokens_per_s = 0.0;
        }
        let servers = capacity.servers_for(&demand);
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed_s / SMOOTHING_S).exp();
        self.level += (servers - self.level) * weight;
        self.note_level(now);
        if self.level > self.lowest() * BURST_THRESHOLD {
            self.burst_at = Some(now);
        }
    }

    fn note_level(&mut self, now: Timestamp) {
        let level = self.level;
        let unix_s = now.as_secs();
        if let Some(second) = self.seconds.back_mut()
            && second.unix_s == unix_s
        {
            second.highest = second.highest.max(level);
            second.lowest = second.lowest.min(level);
            return;
        }
        self.seconds.push_back(Second {
            unix_s,
            highest: level,
            lowest: level,
        });
        if self.seconds.len() > WINDOW_S {
            self.seconds.pop_front();
        }
    }

    /// Lowest level of the window, without the second in which traffic began.
    fn lowest(&self) -> f64 {
        let levels = self.seconds.iter().skip(1).map(|second| second.lowest);
        levels.min_by(f64::total_cmp).unwrap_or(self.level)
    }

    /// Highest level of the window.
    fn highest(&self) -> f64 {
        let levels = self.seconds.iter().map(|second| second.highest);
        levels.max_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Whether the window covers enough time for the demand to count as known.
    pub(super) fn is_known(&self) -> bool {
        self.seconds.len() >= WINDOW_S
    }

    /// Number of servers that the load of the window needs with a burst.
    pub(super) fn needed_servers(&self) -> u32 {
        ceil((self.highest() * PEAK_RESERVE).max(self.lowest() * BURST_FACTOR))
    }

    /// Whether the last demand was known.
    pub(super) const fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Whether it is known that there is no traffic.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.is_reported && self.traffic_at.is_none_or(|at| at + IDLE_TIME <= now)
    }

    /// Whether a burst is under way or has just ended.
    pub(super) fn is_bursting(&self, now: Timestamp) -> bool {
        self.burst_at.is_some_and(|at| at + CALM_AFTER_BURST > now)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn ceil(servers: f64) -> u32 {
    servers.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
