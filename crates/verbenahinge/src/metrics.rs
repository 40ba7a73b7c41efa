//! Metrics in the Prometheus text format.
//!
//! Series are kept for each class and each active client account. The series of an account that
//! has been idle for [`IDLE_TIMEOUT`] are removed, so that memory use depends on the number of
//! active accounts. `docs/operators/metrics.md` explains how to interpret the metrics.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use verbenahinge_core::{AccountName, ClassName, ConfigVersion, RefusalReason, Timestamp};

/// Time without requests after which the series of a client account are removed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// Histogram buckets for times since a request's arrival.
const REQUEST_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.61, 1.0, 3.0, 10.0];
/// Histogram buckets for times between tokens.
const TOKEN_INTERVAL_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.3, 1.0];

/// Histograms and counters partitioned by one label.
#[derive(Clone)]
struct LabeledMetrics {
    queue_wait: HistogramVec,
    first_token: HistogramVec,
    token_interval: HistogramVec,
    total: HistogramVec,
    tokens: IntCounterVec,
}

/// Histograms and counters for one value of the label.
#[derive(Clone, Debug)]
struct Series {
    queue_wait: Histogram,
    first_token: Histogram,
    token_interval: Histogram,
    total: Histogram,
    tokens: IntCounter,
}

impl LabeledMetrics {
    fn new(registry: &Registry, label: &str) -> prometheus::Result<Self> {
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let opts = HistogramOpts::new(format!("verbenahinge_{label}_{name}_seconds"), help)
                .buckets(buckets.to_vec());
            let vec = HistogramVec::new(opts, &[label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let tokens = IntCounterVec::new(
            Opts::new(
                format!("verbenahinge_{label}_tokens_total"),
                "Tokens relayed.",
            ),
            &[label],
        )?;
        registry.register(Box::new(tokens.clone()))?;
        Ok(Self {
            queue_wait: histogram(
                "queue_wait",
                "Arrival to first dispatch.",
                &REQUEST_BUCKETS_S,
            )?,
            first_token: histogram("first_token", "Arrival to first token.", &REQUEST_BUCKETS_S)?,
            token_interval: histogram(
                "token_interval",
                "Between tokens.",
                &TOKEN_INTERVAL_BUCKETS_S,
            )?,
            total: histogram("total", "Arrival to end of the answer.", &REQUEST_BUCKETS_S)?,
            tokens,
        })
    }

    fn series(&self, value: &str) -> Series {
        Series {
            queue_wait: self.queue_wait.with_label_values(&[value]),
            first_token: self.first_token.with_label_values(&[value]),
            token_interval: self.token_interval.with_label_values(&[value]),
            total: self.total.with_label_values(&[value]),
            tokens: self.tokens.with_label_values(&[value]),
        }
    }

    fn remove(&self, value: &str) {
        let labels = &[value];
        let removed = [
            self.queue_wait.remove_label_values(labels),
            self.first_token.remove_label_values(labels),
            self.token_interval.remove_label_values(labels),
            self.total.remove_label_values(labels),
            self.tokens.remove_label_values(labels),
        ];
        for error in removed.into_iter().filter_map(Result::err) {
            log::debug!("failed to remove a series of {value}: {error}");
        }
    }
}

struct RegisteredMetrics {
    classes: LabeledMetrics,
    accounts: LabeledMetrics,
    refusals: IntCounterVec,
    retries: IntCounter,
    config_version: IntGauge,
}

impl RegisteredMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        let refusals = IntCounterVec::new(
            Opts::new("verbenahinge_refusals_total", "Refused requests."),
            &["class", "reason"],
        )?;
        let retries = IntCounter::new("verbenahinge_retries_total", "Attempts after the first.")?;
        let config_version = IntGauge::new(
            "verbenahinge_config_version",
            "Version that is in force here.",
        )?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        Ok(Self {
            classes: LabeledMetrics::new(registry, "class")?,
            accounts: LabeledMetrics::new(registry, "account")?,
            refusals,
            retries,
            config_version,
        })
    }
}

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    registered: RegisteredMetrics,
    /// Series of each active client account and the time of its last request.
    active: RefCell<BTreeMap<AccountName, (Series, Timestamp)>>,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which no input can cause.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let registered = RegisteredMetrics::new(&registry).expect("metric names are unique");
        Self {
            registry,
            registered,
            active: RefCell::default(),
        }
    }

    /// Returns the metrics that a request updates.
    pub(crate) fn for_request(
        &self,
        now: Timestamp,
        class: &ClassName,
        account: &AccountName,
    ) -> RequestMetrics {
        let mut active = self.active.borrow_mut();
        let entry = active
            .entry(account.clone())
            .or_insert_with(|| (self.registered.accounts.series(account), now));
        entry.1 = now;
        RequestMetrics {
            class: class.clone(),
            class_series: self.registered.classes.series(class),
            account_series: entry.0.clone(),
            refusals: self.registered.refusals.clone(),
            retries: self.registered.retries.clone(),
        }
    }

    /// Removes the series of client accounts without requests for [`IDLE_TIMEOUT`].
    pub(crate) fn remove_idle_accounts(&self, now: Timestamp) {
        let mut active = self.active.borrow_mut();
        let idle: Vec<AccountName> = active
            .iter()
            .filter(|(_, (_, last))| *last + IDLE_TIMEOUT <= now)
            .map(|(account, _)| account.clone())
            .collect();
        for account in idle {
            active.remove(&account);
            self.registered.accounts.remove(&account);
        }
    }

    /// Sets the configuration version in force.
    pub(crate) fn set_config_version(&self, version: ConfigVersion) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.registered.config_version.set(version);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let families = self.registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("failed to encode metrics: {error}");
                String::new()
            }
        }
    }
}

/// Metrics that a request updates, looked up once per request.
pub(crate) struct RequestMetrics {
    class: ClassName,
    class_series: Series,
    account_series: Series,
    refusals: IntCounterVec,
    retries: IntCounter,
}

impl RequestMetrics {
    pub(crate) fn observe_queue_wait(&self, wait: Duration) {
        self.class_series.queue_wait.observe(wait.as_secs_f64());
        self.account_series.queue_wait.observe(wait.as_secs_f64());
    }

    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn observe_first_token(&self, delay: Duration) {
        self.class_series.first_token.observe(delay.as_secs_f64());
        self.account_series.first_token.observe(delay.as_secs_f64());
    }

    pub(crate) fn observe_token_interval(&self, interval: Duration) {
        let seconds = interval.as_secs_f64();
        self.class_series.token_interval.observe(seconds);
        self.account_series.token_interval.observe(seconds);
    }

    pub(crate) fn count_tokens(&self, count: u32) {
        self.class_series.tokens.inc_by(u64::from(count));
        self.account_series.tokens.inc_by(u64::from(count));
    }

    pub(crate) fn observe_total(&self, total: Duration) {
        self.class_series.total.observe(total.as_secs_f64());
        self.account_series.total.observe(total.as_secs_f64());
    }

    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        let labels = [&*self.class, reason.into()];
        self.refusals.with_label_values(&labels).inc();
    }
}
