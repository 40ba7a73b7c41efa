//! Random request traces that are reproducible from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahinge_core::Timestamp;
use verbenahinge_core::hash::mix64;

use crate::deployment::{ACCOUNT_COUNT, ClassLoad, Deployment, ENGINE_POOL};
use crate::fake_engine::{DECODE_STEP_FULL, FRAME_TOKENS, PREFILL_TOKENS_PER_S};
use crate::scenario::{LoadPattern, Scenario};

/// Longest output, as a multiple of the median of its class.
const MAX_OUTPUT_FACTOR: f64 = 20.0;

/// Arrival rate before a sudden start, as a fraction of the full rate.
const QUIET_LOAD_FACTOR: f64 = 0.02;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time.
    pub at: Timestamp,
    /// Index of the VM that the platform's load balancer chooses.
    pub vm: usize,
    /// Client account.
    pub account: Arc<str>,
    /// Name of the class.
    pub class: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Identifier of the conversation.
    pub conversation: u64,
    /// Number of prompt tokens that all turns of the conversation share.
    pub prefix_tokens: u32,
    /// Number of output tokens; the policies under test do not see it.
    pub output_tokens: u32,
    /// Time that a plain service takes for the request.
    pub service_time: Duration,
}

/// Requests of a run, without those that callers resubmit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Requests by arrival time.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Generates the trace of a scenario; the same scenario always gives the same trace.
    #[must_use]
    pub fn generate(scenario: &Scenario, deployment: &Deployment) -> Self {
        let mut arrivals = Vec::new();
        for (index, load) in deployment.class_loads.iter().enumerate() {
            let seed = mix64(scenario.seed, index as u64);
            let mut generator = ClassGenerator::new(seed, scenario, deployment, load);
            generator.generate(&mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }
}

/// Generates the requests of one class.
struct ClassGenerator<'a> {
    rng: ChaCha8Rng,
    scenario: &'a Scenario,
    deployment: &'a Deployment,
    load: &'a ClassLoad,
    rate: f64,
    class_seed: u64,
}

impl<'a> ClassGenerator<'a> {
    fn new(
        seed: u64,
        scenario: &'a Scenario,
        deployment: &'a Deployment,
        load: &'a ClassLoad,
    ) -> Self {
        let rate = if load.pool == ENGINE_POOL {
            let slots = f64::from(deployment.engine_slots());
            scenario.load * load.base_load * slots / mean_slot_seconds(load)
        } else {
            scenario.load.min(1.0) * load.base_load
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            deployment,
            load,
            rate,
            class_seed: seed,
        }
    }

    /// Generates a Poisson process of varying rate by thinning one of the peak rate.
    fn generate(&mut self, arrivals: &mut Vec<Arrival>) {
        let end = self.scenario.duration();
        let peak = self.rate * self.peak_factor();
        let mut at = Duration::ZERO;
        loop {
            let interval: f64 = -(1.0 - self.rng.random::<f64>()).ln() / peak;
            at += Duration::from_secs_f64(interval);
            if at >= end {
                return;
            }
            let account = self.sample_account();
            let sample: f64 = self.rng.random();
            if sample < self.rate * self.rate_factor(at, account) / peak {
                arrivals.push(self.sample_arrival(at, account));
            }
        }
    }

    fn peak_factor(&self) -> f64 {
        match &self.scenario.pattern {
            LoadPattern::ClassBurst { class, factor, .. } if class == self.load.class => *factor,
            LoadPattern::AccountFlood { factor, .. } => factor.max(1.0),
            LoadPattern::Steady
            | LoadPattern::QuietThenAll { .. }
            | LoadPattern::ClassBurst { .. } => 1.0,
        }
    }

    /// Multiple of the usual rate at which an account sends at a given time.
    fn rate_factor(&self, at: Timestamp, account: usize) -> f64 {
        let second = at.as_secs();
        match &self.scenario.pattern {
            LoadPattern::QuietThenAll { from_s } if second < *from_s => QUIET_LOAD_FACTOR,
            LoadPattern::ClassBurst {
                class,
                factor,
                from_s,
                to_s,
            } if class == self.load.class && (*from_s..*to_s).contains(&second) => *factor,
            LoadPattern::AccountFlood {
                account: flooding,
                factor,
            } if account == *flooding => *factor,
            LoadPattern::Steady
            | LoadPattern::QuietThenAll { .. }
            | LoadPattern::ClassBurst { .. }
            | LoadPattern::AccountFlood { .. } => 1.0,
        }
    }

    /// Picks an account; the first two send three times as much as the others.
    fn sample_account(&mut self) -> usize {
        let pick = self.rng.random_range(0..ACCOUNT_COUNT + 4);
        match pick {
            0..3 => 0,
            3..6 => 1,
            other => other - 4,
        }
    }

    fn sample_arrival(&mut self, at: Timestamp, account: usize) -> Arrival {
        let conversation = self.rng.random_range(0..self.conversation_count());
        let prompt = f64::from(self.load.prompt_tokens) * self.rng.random_range(0.7..1.3);
        let prefix = prompt * self.load.prefix_ratio;
        Arrival {
            at,
            vm: self.rng.random_range(0..self.deployment.vms.len()),
            account: Arc::from(format!("account-{account}")),
            class: Arc::from(self.load.class),
            pool: Arc::from(self.load.pool),
            prompt_tokens: truncate_to_u32(prompt),
            conversation: mix64(conversation, self.class_seed ^ (account as u64) << 8),
            prefix_tokens: truncate_to_u32(prefix),
            output_tokens: self.sample_output_tokens(),
            service_time: self
                .load
                .service_time
                .mul_f64(self.rng.random_range(0.5..1.5)),
        }
    }

    /// Number of conversations over which the requests of one account and class are spread.
    fn conversation_count(&self) -> u64 {
        let requests = self.rate * self.scenario.duration().as_secs_f64();
        let per_account = requests / ACCOUNT_COUNT as f64;
        let turns = self.load.turns;
        u64::from(truncate_to_u32(per_account)).max(turns) / turns
    }

    fn sample_output_tokens(&mut self) -> u32 {
        if self.load.median_output_tokens == 0.0 {
            return 0;
        }
        let normal = sample_normal(&mut self.rng);
        let scale = (normal * self.load.output_sigma)
            .exp()
            .min(MAX_OUTPUT_FACTOR);
        let tokens = truncate_to_u32(self.load.median_output_tokens * scale);
        // The engine sends the first token alone and the others in full frames; a partial last frame
        // would distort the measured time per token.
        tokens.div_ceil(FRAME_TOKENS).max(1) * FRAME_TOKENS + 1
    }
}

/// Mean time in seconds for which a request of a class occupies a slot.
fn mean_slot_seconds(load: &ClassLoad) -> f64 {
    let mean_output_tokens =
        load.median_output_tokens * (load.output_sigma * load.output_sigma / 2.0).exp();
    let uncached_tokens = f64::from(load.prompt_tokens) * (1.0 - load.prefix_ratio);
    mean_output_tokens * DECODE_STEP_FULL.as_secs_f64() + uncached_tokens / PREFILL_TOKENS_PER_S
}

/// Samples the standard normal distribution by the Box-Muller transform.
fn sample_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32"
)]
fn truncate_to_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
