//! Running estimates of slot time, time to first token and request cost.

use std::time::Duration;

/// A new sample has a weight of 1/2^`EWMA_SHIFT` in a moving average.
const EWMA_SHIFT: u32 = 5;

/// Number of mean deviations added to the mean time to first token.
const FIRST_TOKEN_DEVIATIONS: u64 = 2;

/// Number of buckets for prompt lengths, one for each power of two.
const PROMPT_BUCKETS: usize = 24;

/// Expected time that a request holds its slot, before the first sample.
const DEFAULT_SLOT_TIME: Duration = Duration::from_secs(2);

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_COST_DIVISOR: u64 = 8;

/// Expected number of generated tokens, before the first sample.
const DEFAULT_TOKENS: u64 = 128;

/// Returns the exponentially weighted moving average after a sample; a mean of 0 has no samples.
fn ewma(mean: u64, sample: u64) -> u64 {
    if mean == 0 {
        return sample;
    }
    mean - (mean >> EWMA_SHIFT) + (sample >> EWMA_SHIFT)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Estimates of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    mean_slot_time_us: u64,
    mean_tokens_milli: u64,
    mean_first_token_us: [u64; PROMPT_BUCKETS],
    first_token_deviation_us: [u64; PROMPT_BUCKETS],
}

impl Estimates {
    /// Records the slot time and the generated tokens of a completed request.
    pub(super) fn record_completion(&mut self, slot_time: Duration, tokens: u32) {
        self.mean_slot_time_us = ewma(self.mean_slot_time_us, micros(slot_time));
        self.mean_tokens_milli = ewma(self.mean_tokens_milli, u64::from(tokens) * 1000);
    }

    /// Records the time from a dispatch to its first token.
    pub(super) fn record_first_token(&mut self, prompt_tokens: u32, delay: Duration) {
        let bucket = prompt_bucket(prompt_tokens);
        let sample = micros(delay);
        let mean = &mut self.mean_first_token_us[bucket];
        let deviation = &mut self.first_token_deviation_us[bucket];
        *deviation = ewma(*deviation, sample.abs_diff(*mean));
        *mean = ewma(*mean, sample);
    }

    /// Returns the mean time that a request holds its slot.
    pub(super) const fn slot_time(&self) -> Duration {
        if self.mean_slot_time_us == 0 {
            return DEFAULT_SLOT_TIME;
        }
        Duration::from_micros(self.mean_slot_time_us)
    }

    /// Returns a time from dispatch to first token that few requests exceed.
    ///
    /// Cached and uncached prompts differ widely, so many requests would exceed the mean.
    pub(super) const fn first_token(&self, prompt_tokens: u32) -> Duration {
        let bucket = prompt_bucket(prompt_tokens);
        let spread = FIRST_TOKEN_DEVIATIONS * self.first_token_deviation_us[bucket];
        Duration::from_micros(self.mean_first_token_us[bucket] + spread)
    }

    /// Returns the expected cost of a request, for fair queueing among client accounts.
    pub(super) fn expected_cost(&self, prompt_tokens: u32) -> u64 {
        let tokens = match self.mean_tokens_milli {
            0 => DEFAULT_TOKENS,
            tokens => tokens / 1000,
        };
        request_cost(prompt_tokens, tokens)
    }
}

/// Returns the cost of a request, in units of one generated token.
pub(super) fn request_cost(prompt_tokens: u32, tokens: u64) -> u64 {
    u64::from(prompt_tokens) / PROMPT_COST_DIVISOR + tokens + 1
}

const fn prompt_bucket(prompt_tokens: u32) -> usize {
    let bits = (u32::BITS - prompt_tokens.leading_zeros()) as usize;
    if bits < PROMPT_BUCKETS {
        bits
    } else {
        PROMPT_BUCKETS - 1
    }
}
