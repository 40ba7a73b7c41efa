//! Counters and latency histograms of the gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use verbenahinge_core::gateway::{Duty, OrderOutcome, WorkerSubject};
use verbenahinge_platform::duty_api::DutyOutcome;

use verbenahinge_core::gateway::ServiceName;

use super::peer_message::MessageKind;

const TIMER_DELAY_BUCKETS_S: [f64; 6] = [0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

const LATENCY_BUCKETS_S: [f64; 11] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0];

/// Bounds of the longest gap of a stream relative to the predicted gap.
const GAP_RATIO_BUCKETS: [f64; 11] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 8.0, 12.0];

/// Registry of the gateway's metrics; its families are missing if they could not be registered.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    families: Option<Families>,
}

struct Families {
    first_seconds: HistogramVec,
    total_seconds: HistogramVec,
    gap_ratio: HistogramVec,
    ended: IntCounterVec,
    rejected: IntCounterVec,
    sent_messages: IntCounterVec,
    sent_bytes: IntCounterVec,
    duty_calls: IntCounterVec,
    timer_delay_seconds: Histogram,
    busiest_over_mean: GaugeVec,
    dropped: IntCounterVec,
    held_bytes: IntGauge,
    caller_connections: IntGauge,
    workers: IntGaugeVec,
    orders: IntCounterVec,
    stream_moves: IntCounterVec,
}

/// Numbers of servers of one service, zone and kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerNumbers {
    pub(crate) wanted: u32,
    pub(crate) ordered: u32,
    pub(crate) running: u32,
    pub(crate) leaving: u32,
}

fn busiest_over_mean(registry: &Registry) -> prometheus::Result<GaugeVec> {
    let opts = Opts::new(
        "verbenahinge_gateway_busiest_over_mean",
        "Load of the busiest backend server over the mean, as this VM knows it, by service.",
    );
    let family = GaugeVec::new(opts, &["service"])?;
    registry.register(Box::new(family.clone()))?;
    Ok(family)
}

fn stream_moves(registry: &Registry) -> prometheus::Result<IntCounterVec> {
    let opts = Opts::new(
        "verbenahinge_gateway_stream_moves_total",
        "Calls and continuations of streams that move away from engines, by outcome.",
    );
    let family = IntCounterVec::new(opts, &["step", "outcome"])?;
    registry.register(Box::new(family.clone()))?;
    Ok(family)
}

impl Families {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        let histogram_in = |buckets: &[f64], name: &str, help: &str, label: &str| {
            let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let family = HistogramVec::new(opts, &[label])?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let histogram = |name: &str, help: &str, label: &str| {
            histogram_in(&LATENCY_BUCKETS_S, name, help, label)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let opts = HistogramOpts::new(
            "verbenahinge_gateway_timer_delay_seconds",
            "Delay of a timer that fires ten times a second: how long the thread was held.",
        );
        let timer_delay_seconds =
            Histogram::with_opts(opts.buckets(TIMER_DELAY_BUCKETS_S.to_vec()))?;
        registry.register(Box::new(timer_delay_seconds.clone()))?;
        let opts = Opts::new(
            "verbenahinge_gateway_workers",
            "Servers by service, zone, kind and state, on the VM that orders them.",
        );
        let workers = IntGaugeVec::new(opts, &["service", "zone", "kind", "state"])?;
        registry.register(Box::new(workers.clone()))?;
        Ok(Self {
            timer_delay_seconds,
            busiest_over_mean: busiest_over_mean(registry)?,
            dropped: counter(
                "verbenahinge_gateway_callers_dropped_total",
                "Requests and connections of callers that were refused or closed at a bound.",
                &["bound"],
            )?,
            held_bytes: gauge(
                "verbenahinge_gateway_held_bytes",
                "Memory held for bodies and unread responses.",
            )?,
            caller_connections: gauge(
                "verbenahinge_gateway_caller_connections",
                "Open connections of callers and of VMs that hand requests over.",
            )?,
            workers,
            orders: counter(
                "verbenahinge_gateway_orders_total",
                "Orders of servers, by outcome.",
                &["outcome"],
            )?,
            stream_moves: stream_moves(registry)?,
            first_seconds: histogram(
                "verbenahinge_gateway_first_seconds",
                "Arrival to first event or whole answer, by route.",
                "route",
            )?,
            total_seconds: histogram(
                "verbenahinge_gateway_total_seconds",
                "Arrival to end of the answer, by client account.",
                "account",
            )?,
            gap_ratio: histogram_in(
                &GAP_RATIO_BUCKETS,
                "verbenahinge_gateway_gap_ratio",
                "Longest gap of a stream relative to the predicted one, by route.",
                "route",
            )?,
            ended: counter(
                "verbenahinge_gateway_ended_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            )?,
            rejected: counter(
                "verbenahinge_gateway_turned_away_total",
                "Requests that were not taken in, by status.",
                &["status"],
            )?,
            sent_messages: counter(
                "verbenahinge_gateway_vm_messages_total",
                "Messages sent to other VMs, by kind.",
                &["kind"],
            )?,
            sent_bytes: counter(
                "verbenahinge_gateway_vm_bytes_total",
                "Bytes of the messages sent to other VMs, by kind.",
                &["kind"],
            )?,
            duty_calls: counter(
                "verbenahinge_gateway_duty_calls_total",
                "Calls to the platform that this VM made for all, by duty and outcome.",
                &["duty", "outcome"],
            )?,
        })
    }
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let families = match Families::new(&registry) {
            Ok(families) => Some(families),
            Err(error) => {
                log::error!("metrics are disabled, since registration failed: {error}");
                None
            }
        };
        Self { registry, families }
    }

    /// Records the outcome and the latencies of a request that has ended.
    pub(crate) fn record_end(
        &self,
        route: &str,
        account: &str,
        outcome: &str,
        time_to_first_event: Duration,
        total_time: Duration,
    ) {
        let Some(families) = &self.families else {
            return;
        };
        families
            .first_seconds
            .with_label_values(&[route])
            .observe(time_to_first_event.as_secs_f64());
        families
            .total_seconds
            .with_label_values(&[account])
            .observe(total_time.as_secs_f64());
        families.ended.with_label_values(&[route, outcome]).inc();
    }

    /// Records the longest gap of a stream for which a gap was predicted.
    pub(crate) fn record_gap_error(&self, route: &str, predicted: Duration, longest: Duration) {
        if let Some(families) = &self.families {
            let ratio = longest.as_secs_f64() / predicted.as_secs_f64().max(0.001);
            families
                .gap_ratio
                .with_label_values(&[route])
                .observe(ratio);
        }
    }

    /// Counts a request that was rejected before it was handled.
    pub(crate) fn count_rejected(&self, status: u16) {
        if let Some(families) = &self.families {
            let status = status.to_string();
            families.rejected.with_label_values(&[&status]).inc();
        }
    }

    /// Counts what was refused or closed at a bound on callers.
    pub(crate) fn count_dropped(&self, bound: &str, count: u64) {
        if let Some(families) = &self.families {
            families.dropped.with_label_values(&[bound]).inc_by(count);
        }
    }

    /// Sets the memory and the number of connections that callers hold.
    pub(crate) fn set_held(&self, bytes: usize, connections: usize) {
        if let Some(families) = &self.families {
            let to_i64 = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
            families.held_bytes.set(to_i64(bytes));
            families.caller_connections.set(to_i64(connections));
        }
    }

    /// Counts messages of equal length that were sent to other VMs.
    pub(crate) fn count_sent(&self, kind: MessageKind, messages: usize, bytes_each: usize) {
        let Some(families) = &self.families else {
            return;
        };
        let kind: &str = kind.into();
        let count = |family: &IntCounterVec, count: usize| {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            family.with_label_values(&[kind]).inc_by(count);
        };
        count(&families.sent_messages, messages);
        count(&families.sent_bytes, messages * bytes_each);
    }

    /// Records the load of the busiest server over the mean of each service; others are forgotten.
    pub(crate) fn set_balance(&self, busiest_over_mean: &BTreeMap<ServiceName, f64>) {
        let Some(families) = &self.families else {
            return;
        };
        families.busiest_over_mean.reset();
        for (service, &ratio) in busiest_over_mean {
            let gauge = families.busiest_over_mean.with_label_values(&[service]);
            gauge.set(ratio);
        }
    }

    /// Counts a call to the platform's duty interface.
    pub(crate) fn count_duty_call(&self, duty: Duty, outcome: &DutyOutcome) {
        let Some(families) = &self.families else {
            return;
        };
        let duty = duty.to_string();
        let labels = [duty.as_str(), outcome.into()];
        families.duty_calls.with_label_values(&labels).inc();
    }

    /// Records by how much a periodic timer was late.
    pub(crate) fn record_timer_delay(&self, delay: Duration) {
        if let Some(families) = &self.families {
            families.timer_delay_seconds.observe(delay.as_secs_f64());
        }
    }

    /// Sets the numbers of servers of one service, zone and kind.
    pub(crate) fn set_workers(
        &self,
        service: &str,
        subject: &WorkerSubject,
        numbers: WorkerNumbers,
    ) {
        let Some(families) = &self.families else {
            return;
        };
        let kind: &str = subject.kind.into();
        for (state, number) in [
            ("wanted", numbers.wanted),
            ("ordered", numbers.ordered),
            ("running", numbers.running),
            ("leaving", numbers.leaving),
        ] {
            families
                .workers
                .with_label_values(&[service, &*subject.zone, kind, state])
                .set(i64::from(number));
        }
    }

    /// Drops the numbers of servers, on a VM that no longer orders them.
    pub(crate) fn clear_workers(&self) {
        if let Some(families) = &self.families {
            families.workers.reset();
        }
    }

    /// Counts an order of servers.
    pub(crate) fn count_order(&self, outcome: OrderOutcome) {
        if let Some(families) = &self.families {
            let outcome: &str = outcome.into();
            families.orders.with_label_values(&[outcome]).inc();
        }
    }

    /// Counts a step of a stream that moves away from an engine.
    pub(crate) fn count_move(&self, step: &str, outcome: &str) {
        if let Some(families) = &self.families {
            let labels = [step, outcome];
            families.stream_moves.with_label_values(&labels).inc();
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("failed to encode the metrics: {error}");
                String::new()
            }
        }
    }
}
