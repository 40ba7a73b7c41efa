//! Requests of a run, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahinge_core::Timestamp;
use verbenahinge_core::hash::mix64;

use crate::deployment::{ACCOUNTS, ClassLoad, Deployment, ENGINE_POOL};
use crate::fake_engine::{DECODE_STEP_FULL, FRAME_TOKENS, PREFILL_TOKENS_PER_S};
use crate::scenario::{Pattern, Scenario};

/// Longest output, in medians of its class.
const OUTPUT_LIMIT: f64 = 20.0;

/// Part of the load that comes before a sudden start.
const QUIET_PART: f64 = 0.02;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Timestamp,
    /// Index of the VM that the platform's balancer chooses.
    pub vm: usize,
    /// Client account.
    pub account: Arc<str>,
    /// Class.
    pub class: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Conversation.
    pub conversation: u64,
    /// Prompt tokens that turns of the conversation share.
    pub prefix_tokens: u32,
    /// Output tokens; nobody but the oracle and the engine knows them.
    pub output_tokens: u32,
    /// Time that a plain service takes.
    pub service_time: Duration,
}

/// All requests of a run, in the order of their arrival.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// The requests.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Draws a trace.
    #[must_use]
    pub fn draw(scenario: &Scenario, deployment: &Deployment) -> Self {
        let mut arrivals = Vec::new();
        for (index, load) in deployment.loads.iter().enumerate() {
            let seed = mix64(scenario.seed, index as u64);
            let mut source = Source::new(seed, scenario, deployment, load);
            source.draw(&mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }
}

struct Source<'a> {
    rng: ChaCha8Rng,
    scenario: &'a Scenario,
    deployment: &'a Deployment,
    load: &'a ClassLoad,
    rate: f64,
    stream: u64,
}

impl<'a> Source<'a> {
    fn new(
        seed: u64,
        scenario: &'a Scenario,
        deployment: &'a Deployment,
        load: &'a ClassLoad,
    ) -> Self {
        let rate = if load.pool == ENGINE_POOL {
            let slots = f64::from(deployment.engine_slots());
            scenario.load * load.share * slots / hold_seconds(load)
        } else {
            scenario.load.min(1.0) * load.share
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            deployment,
            load,
            rate,
            stream: seed,
        }
    }

    fn draw(&mut self, arrivals: &mut Vec<Arrival>) {
        let end = self.scenario.duration();
        let peak = self.rate * self.peak_factor();
        let mut at = Duration::ZERO;
        loop {
            let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln() / peak;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                return;
            }
            let account = self.draw_account();
            let keep: f64 = self.rng.random();
            if keep < self.rate * self.factor(at, account) / peak {
                arrivals.push(self.arrival(at, account));
            }
        }
    }

    fn peak_factor(&self) -> f64 {
        match &self.scenario.pattern {
            Pattern::ClassBurst { class, factor, .. } if class == self.load.class => *factor,
            Pattern::AccountFlood { factor, .. } => factor.max(1.0),
            Pattern::Steady | Pattern::QuietThenAll { .. } | Pattern::ClassBurst { .. } => 1.0,
        }
    }

    /// Multiple of the usual rate at a moment for an account.
    fn factor(&self, at: Timestamp, account: usize) -> f64 {
        let second = at.as_secs();
        match &self.scenario.pattern {
            Pattern::QuietThenAll { from_s } if second < *from_s => QUIET_PART,
            Pattern::ClassBurst {
                class,
                factor,
                from_s,
                to_s,
            } if class == self.load.class && (*from_s..*to_s).contains(&second) => *factor,
            Pattern::AccountFlood {
                account: flooding,
                factor,
            } if account == *flooding => *factor,
            Pattern::Steady
            | Pattern::QuietThenAll { .. }
            | Pattern::ClassBurst { .. }
            | Pattern::AccountFlood { .. } => 1.0,
        }
    }

    /// Draws an account; the first two send three times as much as the others.
    fn draw_account(&mut self) -> usize {
        let ticket = self.rng.random_range(0..ACCOUNTS + 4);
        match ticket {
            0..3 => 0,
            3..6 => 1,
            other => other - 4,
        }
    }

    fn arrival(&mut self, at: Timestamp, account: usize) -> Arrival {
        let conversation = self.rng.random_range(0..self.conversations());
        let prompt = f64::from(self.load.prompt_tokens) * self.rng.random_range(0.7..1.3);
        let prefix = prompt * self.load.shared_prefix;
        Arrival {
            at,
            vm: self.rng.random_range(0..self.deployment.vms.len()),
            account: Arc::from(format!("account-{account}")),
            class: Arc::from(self.load.class),
            pool: Arc::from(self.load.pool),
            prompt_tokens: whole(prompt),
            conversation: mix64(conversation, self.stream ^ (account as u64) << 8),
            prefix_tokens: whole(prefix),
            output_tokens: self.draw_output(),
            service_time: self
                .load
                .service_time
                .mul_f64(self.rng.random_range(0.5..1.5)),
        }
    }

    /// Conversations of one account and class that go on at any time.
    fn conversations(&self) -> u64 {
        let requests = self.rate * self.scenario.duration().as_secs_f64();
        let per_account = requests / ACCOUNTS as f64;
        let turns = self.load.turns;
        u64::from(whole(per_account)).max(turns) / turns
    }

    fn draw_output(&mut self) -> u32 {
        if self.load.output_tokens == 0.0 {
            return 0;
        }
        let normal = draw_normal(&mut self.rng);
        let scale = (normal * self.load.output_sigma).exp().min(OUTPUT_LIMIT);
        let tokens = whole(self.load.output_tokens * scale);
        // The first token comes alone; whole frames follow, so that the pace is not distorted.
        tokens.div_ceil(FRAME_TOKENS).max(1) * FRAME_TOKENS + 1
    }
}

/// Seconds for which a request of a class holds its slot on average.
fn hold_seconds(load: &ClassLoad) -> f64 {
    let mean = load.output_tokens * (load.output_sigma * load.output_sigma / 2.0).exp();
    let uncached = f64::from(load.prompt_tokens) * (1.0 - load.shared_prefix);
    mean * DECODE_STEP_FULL.as_secs_f64() + uncached / PREFILL_TOKENS_PER_S
}

/// Draws from the standard normal distribution (Box and Muller).
fn draw_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the clamp keeps the value in range"
)]
fn whole(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
