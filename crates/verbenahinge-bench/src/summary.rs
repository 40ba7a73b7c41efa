//! Metrics of a run by class and by account, and the invariants that it violated.

mod checks;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use verbenahinge_core::declaration::Class;

use self::checks::{check_request_ends, check_tier_order, longest_starvation_ms};
use crate::deployment::{Deployment, ENGINE_POOL};
use crate::outcome::Outcome;
use crate::policy::Policy;
use crate::request_record::{RequestRecord, TargetMiss};
use crate::scenario::Scenario;

/// Last part of a run whose requests are not counted, because the load drops to zero after them.
const EXCLUDED_TAIL: Duration = Duration::from_secs(10);

/// Metrics of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Number of requests that arrived.
    pub offered: u64,
    /// Fraction of the requests that met the targets of their class.
    pub attainment: f64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of refused requests by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of requests whose first token was late or missing or whose answer did not end.
    pub late: u64,
    /// Number of requests whose time per token exceeded the target.
    pub slow: u64,
    /// Median time from arrival to first token.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the time from arrival to first token.
    pub first_token_p95_ms: u64,
    /// Ratio of prefilled prompt tokens to all prompt tokens of requests that were prefilled.
    pub prefill_ratio: f64,
    /// Longest time from arrival to a refusal.
    pub refusal_max_ms: u64,
    /// Longest time in which requests arrived and none was dispatched.
    pub starvation_max_ms: u64,
}

/// Metrics of one client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountSummary {
    /// Number of requests that arrived.
    pub offered: u64,
    /// Fraction of the requests that met the targets of their class.
    pub attainment: f64,
    /// Number of output tokens of requests that met the targets.
    pub good_tokens: u64,
}

/// Metrics of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Policy that routed the requests.
    pub policy: Policy,
    /// Offered load as a multiple of capacity.
    pub load: f64,
    /// Output tokens per second of requests that met the targets.
    pub goodput: f64,
    /// Fraction of the computed tokens that were wasted.
    pub waste: f64,
    /// Number of prompt tokens that engines prefilled.
    pub prefilled: u64,
    /// Ratio of dispatches after the first to dispatched requests.
    pub retry_ratio: f64,
    /// Jain's fairness index of the accounts' attainment.
    pub jain: f64,
    /// Metrics by class.
    pub classes: BTreeMap<String, ClassSummary>,
    /// Metrics by client account.
    pub accounts: BTreeMap<String, AccountSummary>,
    /// Digests sent per second.
    pub digests_per_s: f64,
    /// Violated invariants; only the first few of each kind are listed.
    pub violations: Vec<String>,
}

impl Summary {
    /// Computes the metrics of a run and checks its invariants.
    #[must_use]
    pub fn new(
        scenario: &Scenario,
        policy: Policy,
        deployment: &Deployment,
        outcome: &Outcome,
    ) -> Self {
        let measured = scenario.duration().saturating_sub(EXCLUDED_TAIL);
        let seconds = measured.as_secs_f64();
        let mut tally = RunTally::new(deployment);
        for record in &outcome.records {
            if record.arrival.at < measured {
                tally.add(record);
            }
        }
        let accounts = tally.account_summaries();
        let mut violations = Vec::new();
        check_request_ends(&outcome.records, &mut violations);
        if policy == Policy::Shares {
            check_tier_order(deployment, outcome, &mut violations);
        }
        let mut classes = tally.class_summaries();
        for (name, class) in &mut classes {
            class.starvation_max_ms = longest_starvation_ms(name, outcome);
        }
        Self {
            scenario: scenario.name.clone(),
            policy,
            load: scenario.load,
            goodput: tally.good_tokens as f64 / seconds,
            waste: ratio(tally.wasted_tokens, tally.computed_tokens),
            prefilled: tally.prefilled_tokens,
            retry_ratio: ratio(tally.retries, tally.dispatched),
            jain: jain_index(&accounts),
            classes,
            accounts,
            digests_per_s: outcome.digests as f64 / scenario.duration().as_secs_f64(),
            violations,
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

#[derive(Default)]
struct ClassTally {
    offered: u64,
    attained: u64,
    refused: u64,
    reasons: BTreeMap<String, u64>,
    late: u64,
    slow: u64,
    prefilled_tokens: u64,
    prompt_tokens: u64,
    max_refusal_delay: Duration,
    first_token_ms: Option<Histogram<u64>>,
}

/// Totals of the requests of a run.
struct RunTally<'a> {
    deployment: &'a Deployment,
    by_class: BTreeMap<Arc<str>, ClassTally>,
    /// Offered requests, requests that met their targets, and output tokens of the latter.
    by_account: BTreeMap<Arc<str>, (u64, u64, u64)>,
    good_tokens: u64,
    wasted_tokens: u64,
    computed_tokens: u64,
    prefilled_tokens: u64,
    retries: u64,
    dispatched: u64,
}

impl<'a> RunTally<'a> {
    const fn new(deployment: &'a Deployment) -> Self {
        Self {
            deployment,
            by_class: BTreeMap::new(),
            by_account: BTreeMap::new(),
            good_tokens: 0,
            wasted_tokens: 0,
            computed_tokens: 0,
            prefilled_tokens: 0,
            retries: 0,
            dispatched: 0,
        }
    }

    fn add(&mut self, record: &RequestRecord) {
        let class: &Class = &self.deployment.declaration.classes[&record.arrival.class];
        let attained = record.meets_targets(class);
        let good_tokens = u64::from(attained) * u64::from(record.delivered_tokens);
        self.wasted_tokens += u64::from(record.wasted_tokens(class));
        self.computed_tokens += u64::from(record.generated_tokens + record.prefilled_tokens);
        self.prefilled_tokens += u64::from(record.prefilled_tokens);
        self.retries += u64::from(record.dispatches.saturating_sub(1));
        self.dispatched += u64::from(record.dispatches.min(1));
        self.good_tokens += good_tokens;
        self.add_class(record, attained);
        if &*record.arrival.pool != ENGINE_POOL {
            return;
        }
        let account = self.by_account.entry(record.arrival.account.clone());
        let (account_offered, account_attained, account_tokens) = account.or_default();
        *account_offered += 1;
        *account_attained += u64::from(attained);
        *account_tokens += good_tokens;
    }

    fn add_class(&mut self, record: &RequestRecord, attained: bool) {
        let tally = self
            .by_class
            .entry(record.arrival.class.clone())
            .or_default();
        tally.offered += 1;
        tally.prefilled_tokens += u64::from(record.prefilled_tokens);
        if record.prefilled_tokens > 0 {
            tally.prompt_tokens += u64::from(record.arrival.prompt_tokens);
        }
        tally.attained += u64::from(attained);
        let class = &self.deployment.declaration.classes[&record.arrival.class];
        match record.target_miss(class) {
            Some(TargetMiss::Late) => tally.late += 1,
            Some(TargetMiss::Slow) => tally.slow += 1,
            Some(TargetMiss::Refused) | None => {}
        }
        if let Some(refusal) = record.refusals.first() {
            tally.refused += 1;
            *tally.reasons.entry(refusal.reason.to_string()).or_default() += 1;
            let delay = refusal.at.saturating_sub(record.arrival.at);
            tally.max_refusal_delay = tally.max_refusal_delay.max(delay);
        }
        if let Some(first) = record.first_token {
            let histogram = tally
                .first_token_ms
                .get_or_insert_with(|| Histogram::new(3).expect("3 significant digits are valid"));
            let sample = millis(first.saturating_sub(record.arrival.at));
            histogram
                .record(sample)
                .expect("the histogram resizes automatically");
        }
    }

    fn class_summaries(&self) -> BTreeMap<String, ClassSummary> {
        let mut classes = BTreeMap::new();
        for (name, tally) in &self.by_class {
            let value_at = |quantile| {
                let histogram = tally.first_token_ms.as_ref();
                histogram.map_or(0, |histogram| histogram.value_at_quantile(quantile))
            };
            let summary = ClassSummary {
                offered: tally.offered,
                attainment: ratio(tally.attained, tally.offered),
                refused: tally.refused,
                reasons: tally.reasons.clone(),
                prefill_ratio: ratio(tally.prefilled_tokens, tally.prompt_tokens),
                late: tally.late,
                slow: tally.slow,
                first_token_p50_ms: value_at(0.5),
                first_token_p95_ms: value_at(0.95),
                refusal_max_ms: millis(tally.max_refusal_delay),
                starvation_max_ms: 0,
            };
            classes.insert(name.to_string(), summary);
        }
        classes
    }

    fn account_summaries(&self) -> BTreeMap<String, AccountSummary> {
        let mut accounts = BTreeMap::new();
        for (name, &(offered, attained, good_tokens)) in &self.by_account {
            let summary = AccountSummary {
                offered,
                attainment: ratio(attained, offered),
                good_tokens,
            };
            accounts.insert(name.to_string(), summary);
        }
        accounts
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Computes Jain's fairness index of the accounts' attainment; 1 if all accounts are equal.
fn jain_index(accounts: &BTreeMap<String, AccountSummary>) -> f64 {
    let sum: f64 = accounts.values().map(|account| account.attainment).sum();
    let squares: f64 = accounts
        .values()
        .map(|account| account.attainment * account.attainment)
        .sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (accounts.len() as f64 * squares)
}
