//! Metrics in the Prometheus text format.
//!
//! Histograms are kept for each class and each client account that is active; the series of an
//! account that has been idle for [`IDLE_LIMIT`] are dropped, so that memory follows the active
//! accounts. `docs/operators/metrics.md` explains how to read them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use verbenahinge_core::{AccountName, ClassName, ConfigVersion, RefusalReason, Timestamp};

/// Time after which the series of an idle account are dropped.
const IDLE_LIMIT: Duration = Duration::from_mins(10);

const WAIT_BUCKETS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.61, 1.0, 3.0, 10.0];
const TOKEN_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.3, 1.0];

/// Histograms and counters under one label.
#[derive(Clone)]
struct Family {
    queue_wait: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    total: HistogramVec,
    tokens: IntCounterVec,
}

#[derive(Clone, Debug)]
struct Series {
    queue_wait: Histogram,
    first_token: Histogram,
    between_tokens: Histogram,
    total: Histogram,
    tokens: IntCounter,
}

impl Family {
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
            queue_wait: histogram("queue_wait", "Arrival to first dispatch.", &WAIT_BUCKETS_S)?,
            first_token: histogram("first_token", "Arrival to first token.", &WAIT_BUCKETS_S)?,
            between_tokens: histogram("token_interval", "Between tokens.", &TOKEN_BUCKETS_S)?,
            total: histogram("total", "Arrival to end of the answer.", &WAIT_BUCKETS_S)?,
            tokens,
        })
    }

    fn series(&self, value: &str) -> Series {
        Series {
            queue_wait: self.queue_wait.with_label_values(&[value]),
            first_token: self.first_token.with_label_values(&[value]),
            between_tokens: self.between_tokens.with_label_values(&[value]),
            total: self.total.with_label_values(&[value]),
            tokens: self.tokens.with_label_values(&[value]),
        }
    }

    fn remove(&self, value: &str) {
        let labels = &[value];
        let removed = [
            self.queue_wait.remove_label_values(labels),
            self.first_token.remove_label_values(labels),
            self.between_tokens.remove_label_values(labels),
            self.total.remove_label_values(labels),
            self.tokens.remove_label_values(labels),
        ];
        for error in removed.into_iter().filter_map(Result::err) {
            log::debug!("series of {value} could not be dropped: {error}");
        }
    }
}

struct Registered {
    classes: Family,
    accounts: Family,
    refusals: IntCounterVec,
    retries: IntCounter,
    config_version: IntGauge,
}

impl Registered {
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
            classes: Family::new(registry, "class")?,
            accounts: Family::new(registry, "account")?,
            refusals,
            retries,
            config_version,
        })
    }
}

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    registered: Registered,
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
        let registered = Registered::new(&registry).expect("names of metrics are unique");
        Self {
            registry,
            registered,
            active: RefCell::default(),
        }
    }

    /// Returns the series of one request.
    pub(crate) fn request(
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

    /// Drops the series of accounts that have sent nothing for [`IDLE_LIMIT`].
    pub(crate) fn drop_idle(&self, now: Timestamp) {
        let mut active = self.active.borrow_mut();
        let idle: Vec<AccountName> = active
            .iter()
            .filter(|(_, (_, last))| *last + IDLE_LIMIT <= now)
            .map(|(account, _)| account.clone())
            .collect();
        for account in idle {
            active.remove(&account);
            self.registered.accounts.remove(&account);
        }
    }

    /// Sets the version in force.
    pub(crate) fn config_version(&self, version: ConfigVersion) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.registered.config_version.set(version);
    }

    /// Formats all metrics.
    pub(crate) fn encode(&self) -> String {
        let families = self.registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("metrics could not be formatted: {error}");
                String::new()
            }
        }
    }
}

/// Series of one request, looked up once.
pub(crate) struct RequestMetrics {
    class: ClassName,
    class_series: Series,
    account_series: Series,
    refusals: IntCounterVec,
    retries: IntCounter,
}

impl RequestMetrics {
    pub(crate) fn dispatched(&self, wait: Duration) {
        self.class_series.queue_wait.observe(wait.as_secs_f64());
        self.account_series.queue_wait.observe(wait.as_secs_f64());
    }

    pub(crate) fn retried(&self) {
        self.retries.inc();
    }

    pub(crate) fn first_token(&self, delay: Duration) {
        self.class_series.first_token.observe(delay.as_secs_f64());
        self.account_series.first_token.observe(delay.as_secs_f64());
    }

    pub(crate) fn token(&self, interval: Duration) {
        let seconds = interval.as_secs_f64();
        self.class_series.between_tokens.observe(seconds);
        self.account_series.between_tokens.observe(seconds);
    }

    pub(crate) fn tokens(&self, count: u32) {
        self.class_series.tokens.inc_by(u64::from(count));
        self.account_series.tokens.inc_by(u64::from(count));
    }

    pub(crate) fn finished(&self, total: Duration) {
        self.class_series.total.observe(total.as_secs_f64());
        self.account_series.total.observe(total.as_secs_f64());
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        let labels = [&*self.class, reason.into()];
        self.refusals.with_label_values(&labels).inc();
    }
}
