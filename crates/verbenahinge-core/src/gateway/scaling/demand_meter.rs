//! Rates of a service's demand, from sums that only grow.

use std::collections::VecDeque;
use std::time::Duration;

use super::{DemandSample, DemandSums};
use crate::Timestamp;

/// Shortest time between two sums that a rate is computed from; VMs tell their sums about as often.
const INTERVAL: Duration = Duration::from_secs(1);

/// Number of rates of which the median counts. One of them may be wrong: a VM that is heard of for the first
/// time tells all that it has counted since its start.
const RATES: usize = 3;

/// Time after the first sums in which demand is unknown, as other VMs may not have told theirs.
const LEARNING_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Rates {
    requests: f64,
    prompt_tokens: f64,
    prefill_tokens: f64,
}

/// Rates of a service's demand.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    began_at: Option<Timestamp>,
    last: Option<(Timestamp, DemandSums)>,
    rates: VecDeque<Rates>,
}

impl DemandMeter {
    /// Notes the sums and the requests in flight at one moment; returns the demand, or `None` while it is
    /// unknown.
    pub fn note(
        &mut self,
        now: Timestamp,
        sums: DemandSums,
        in_flight: u32,
    ) -> Option<DemandSample> {
        let began_at = *self.began_at.get_or_insert(now);
        let (at, last) = *self.last.get_or_insert((now, sums));
        let elapsed = now.saturating_sub(at);
        if elapsed >= INTERVAL {
            let per_s =
                |new: u64, old: u64| to_f64(new.saturating_sub(old)) / elapsed.as_secs_f64();
            self.rates.push_back(Rates {
                requests: per_s(sums.requests, last.requests),
                prompt_tokens: per_s(sums.prompt_tokens, last.prompt_tokens),
                prefill_tokens: per_s(sums.prefill_tokens, last.prefill_tokens),
            });
            if self.rates.len() > RATES {
                self.rates.pop_front();
            }
            self.last = Some((now, sums));
        }
        (now >= began_at + LEARNING_TIME).then(|| DemandSample {
            in_flight,
            requests_per_s: self.median(|rates| rates.requests),
            prompt_tokens_per_s: self.median(|rates| rates.prompt_tokens),
            prefill_tokens_per_s: self.median(|rates| rates.prefill_tokens),
        })
    }

    fn median(&self, rate: impl Fn(&Rates) -> f64) -> f64 {
        let mut rates: Vec<f64> = self.rates.iter().map(rate).collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of seconds are far below 2^53"
)]
const fn to_f64(count: u64) -> f64 {
    count as f64
}
