//! Orders backend servers from the platform, on the VM that holds the lease for duties.
//!
//! `verbenahinge_core::gateway::ScalingPlan` decides; this task collects its inputs, keeps the orders in the
//! store and sends them. See `docs/design/scaling.md`.

mod order_store;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use verbenahinge_core::gateway::{
    DemandMeter, DemandSample, DemandSums, Duty, OrderOutcome, OrderRecord, ScalingInputs,
    ScalingLimits, ScalingPlan, ServerKind, ServiceName, WorkerOrder, WorkerSubject,
};
use verbenahinge_platform::duty_api::{DutyApiClient, DutyOutcome, ScaleOrder};
use verbenahinge_platform::store::StoreClient;

use self::order_store::OrderStore;
use super::duties::has_duty;
use super::{Gateway, metrics, usage};
use crate::boot_clock::boot_time;
use crate::event_log::LogEvent;

/// Time between two looks at the services.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after the orders of earlier holders could not be read.
const READ_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Rounds of orders of one service in a row: a refusal is followed by an order elsewhere at once.
const MAX_ROUNDS: usize = 8;

/// Age of a decision from which its orders are not sent any more.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// Status of the platform for a zone that has no server of the kind at the moment.
const STATUS_UNAVAILABLE: u16 = 409;

/// Plans of this VM while it holds the lease.
struct Orders {
    client: DutyApiClient,
    store: OrderStore,
    /// Fencing token under which the plans were made.
    number: Option<u64>,
    plans: BTreeMap<ServiceName, ScalingPlan>,
    meters: BTreeMap<ServiceName, DemandMeter>,
    /// Orders of services that have no plan at the moment.
    records: BTreeMap<ServiceName, OrderRecord>,
    /// Services whose lack of servers has been logged.
    limited: BTreeMap<ServiceName, bool>,
    /// Reclaims that have been logged.
    reclaimed: BTreeMap<(ServiceName, WorkerSubject), u32>,
    is_off: bool,
}

/// Orders servers while this VM holds the lease, for as long as the process runs.
pub(super) async fn order_workers(gateway: Rc<Gateway>) {
    let address = gateway.settings.borrow().duties.usable_address();
    let Some(address) = address else {
        return std::future::pending().await;
    };
    let mut orders = Orders {
        client: DutyApiClient::new(address, boot_time, gateway.duties.call_timeout())
            .source(gateway.settings.borrow().ip),
        store: OrderStore::new(StoreClient::new(gateway.settings.borrow().store)),
        number: None,
        plans: BTreeMap::new(),
        meters: BTreeMap::new(),
        records: BTreeMap::new(),
        limited: BTreeMap::new(),
        reclaimed: BTreeMap::new(),
        is_off: false,
    };
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if !orders.take_up(&gateway).await || !gateway.state.borrow().is_serving() {
            continue;
        }
        orders.update_plans(&gateway);
        let services: Vec<ServiceName> = orders.plans.keys().cloned().collect();
        for service in services {
            orders.order_for(&gateway, &service).await;
        }
        if let Some(number) = orders.number {
            let records = orders.all_records(None);
            orders.store.save(&gateway, number, &records).await;
        }
    }
}

impl Orders {
    /// Reads what earlier holders ordered when this VM begins to hold the lease; returns whether orders
    /// may be given.
    async fn take_up(&mut self, gateway: &Gateway) -> bool {
        let permit = gateway.duties.permit();
        let number = permit
            .filter(|_| has_duty(gateway, Duty::Scaling))
            .map(|permit| permit.number);
        if number.is_some() && number == self.number {
            return true;
        }
        if self.number.take().is_some() {
            self.plans.clear();
            self.meters.clear();
            self.limited.clear();
            self.reclaimed.clear();
            gateway.metrics.clear_workers();
        }
        if number.is_none() {
            return false;
        }
        let Some(records) = self.store.load(gateway).await else {
            actix_rt::time::sleep(READ_RETRY_PAUSE).await;
            return false;
        };
        self.records = records;
        self.is_off = false;
        self.number = number;
        true
    }

    /// Adopts the limits of the configuration in force.
    fn update_plans(&mut self, gateway: &Gateway) {
        let routing = gateway.state.borrow().routing().cloned();
        let Some(routing) = routing else {
            return;
        };
        let mut limits: BTreeMap<&ServiceName, &ScalingLimits> = BTreeMap::new();
        for (service, declared) in &routing.services {
            if let Some(scaling) = &declared.scaling {
                limits.insert(service, scaling);
            }
        }
        if limits.is_empty() && !self.is_off {
            LogEvent::OrdersOff.log(&[
                ("service", &"any"),
                ("config", &routing.version),
                ("cause", &"no service has valid limits"),
            ]);
        }
        self.is_off = limits.is_empty();
        let lost: Vec<ServiceName> = self
            .plans
            .keys()
            .filter(|&service| !limits.contains_key(service))
            .cloned()
            .collect();
        for service in lost {
            LogEvent::OrdersOff.log(&[
                ("service", &service),
                ("config", &routing.version),
                ("cause", &"the service has no valid limits any more"),
            ]);
            if let Some(plan) = self.plans.remove(&service) {
                self.records.insert(service, plan.record(&[]));
            }
            gateway.metrics.clear_workers();
        }
        for (service, limits) in limits {
            if let Some(plan) = self.plans.get_mut(service) {
                plan.set_limits(limits.clone());
                continue;
            }
            let plan = match self.records.remove(service) {
                Some(record) => ScalingPlan::restore(limits.clone(), record),
                None => ScalingPlan::new(limits.clone()),
            };
            self.plans.insert(service.clone(), plan);
        }
    }

    /// Demand of a service, of all VMs together; `None` while it is unknown.
    fn demand_of(&mut self, gateway: &Gateway, service: &ServiceName) -> Option<DemandSample> {
        let sums = gateway.usage.demand();
        let demand = sums.get(&usage::service_hash(service)).copied();
        let demand = demand.unwrap_or_default();
        let sums = DemandSums {
            requests: demand.requests,
            prompt_tokens: demand.prompt_tokens,
            prefill_tokens: demand.prefill_tokens,
        };
        let in_flight = u32::try_from(demand.in_flight).unwrap_or(u32::MAX);
        let meter = self.meters.entry(service.clone()).or_default();
        meter.note(gateway.now(), sums, in_flight)
    }

    /// Gives the orders of one service.
    async fn order_for(&mut self, gateway: &Gateway, service: &ServiceName) {
        for _ in 0..MAX_ROUNDS {
            let now = gateway.now();
            let demand = self.demand_of(gateway, service);
            let inputs = gateway.state.borrow().scaling_inputs(now, service, demand);
            let Some(plan) = self.plans.get_mut(service) else {
                return;
            };
            let orders = plan.next_orders(now, &inputs);
            self.report(gateway, service, &inputs);
            if orders.is_empty() || !self.send_all(gateway, service, &inputs, orders).await {
                return;
            }
        }
    }

    /// Sends orders; returns whether others may follow at once.
    async fn send_all(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        inputs: &ScalingInputs,
        orders: Vec<WorkerOrder>,
    ) -> bool {
        let Some(number) = self.number else {
            return false;
        };
        let decided_at = Instant::now();
        // A successor that does not know of an increase sees it in the registry, but it might repeat a
        // release.
        let records = self.all_records(Some((service, &orders)));
        let is_saved = self.store.save(gateway, number, &records).await;
        let mut may_continue = true;
        for order in orders {
            let outcome =
                if order.is_release() && !is_saved || decided_at.elapsed() > MAX_DECISION_AGE {
                    OrderOutcome::Delayed
                } else {
                    self.send(gateway, service, inputs, &order).await
                };
            may_continue &= !matches!(outcome, OrderOutcome::Delayed | OrderOutcome::Unanswered);
            gateway.metrics.count_order(outcome);
            if let Some(plan) = self.plans.get_mut(service) {
                plan.note_outcome(gateway.now(), &order, outcome);
            }
        }
        may_continue
    }

    async fn send(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        inputs: &ScalingInputs,
        order: &WorkerOrder,
    ) -> OrderOutcome {
        let calls_per_s = gateway.settings.borrow().duties.calls_per_s;
        gateway.duties.wait_for_turn(calls_per_s).await;
        // The plans are those of one holding of the lease.
        let permit = gateway.duties.permit();
        let Some(permit) = permit.filter(|permit| Some(permit.number) == self.number) else {
            return OrderOutcome::Delayed;
        };
        let subject = &order.subject;
        let is_spot = subject.kind == ServerKind::Spot;
        let content = ScaleOrder::new(service, &subject.zone, is_spot, order.desired);
        let answer = self.client.order_workers(&permit, &content).await;
        let outcome = match answer {
            DutyOutcome::Accepted => OrderOutcome::Accepted,
            DutyOutcome::Refused {
                status: STATUS_UNAVAILABLE,
            } => OrderOutcome::Unavailable,
            DutyOutcome::Refused { .. } | DutyOutcome::NotSent { .. } => OrderOutcome::Delayed,
            DutyOutcome::Unknown { .. } => OrderOutcome::Unanswered,
        };
        let needed = self
            .plans
            .get(service)
            .and_then(ScalingPlan::survivors_needed);
        log_order(
            service,
            inputs,
            order,
            needed,
            permit.number,
            outcome,
            &answer,
        );
        outcome
    }

    /// Orders of all services, with those that are about to be sent.
    fn all_records(
        &self,
        next: Option<(&ServiceName, &[WorkerOrder])>,
    ) -> BTreeMap<ServiceName, OrderRecord> {
        let mut records = self.records.clone();
        for (service, plan) in &self.plans {
            let orders = match next {
                Some((of_service, orders)) if of_service == service => orders,
                _ => &[],
            };
            records.insert(service.clone(), plan.record(orders));
        }
        records
    }

    /// Updates metrics, and logs what operators have to know beside the orders.
    fn report(&mut self, gateway: &Gateway, service: &ServiceName, inputs: &ScalingInputs) {
        let Some(plan) = self.plans.get(service) else {
            return;
        };
        for zone in plan.limits().zone_prices_ppm.keys() {
            for kind in [ServerKind::OnDemand, ServerKind::Spot] {
                let subject = WorkerSubject::new(zone, kind);
                let counts = inputs.counts(&subject);
                let numbers = metrics::WorkerNumbers {
                    wanted: plan.wanted(&subject),
                    ordered: plan.ordered(&subject),
                    running: counts.present(),
                    leaving: counts.leaving,
                };
                gateway.metrics.set_workers(service, &subject, numbers);
                let reclaimed = counts.reclaimed;
                let key = (service.clone(), subject);
                let before = self.reclaimed.insert(key, reclaimed).unwrap_or_default();
                if reclaimed > 0 && before == 0 && kind == ServerKind::Spot {
                    LogEvent::ServersReclaimed.log(&[
                        ("service", service),
                        ("zone", zone),
                        ("reclaimed", &reclaimed),
                        ("remaining", &counts.present()),
                    ]);
                }
            }
        }
        let is_limited = plan.is_limited();
        let was_limited = self.limited.insert(service.clone(), is_limited);
        if is_limited && was_limited != Some(true) {
            LogEvent::OrdersLimited.log(&[
                ("service", service),
                ("needed", &plan.survivors_needed().unwrap_or_default()),
                ("min_servers", &plan.limits().min_servers),
                ("max_servers", &plan.limits().max_servers),
            ]);
        }
    }
}

fn log_order(
    service: &str,
    inputs: &ScalingInputs,
    order: &WorkerOrder,
    needed: Option<u32>,
    number: u64,
    outcome: OrderOutcome,
    answer: &DutyOutcome,
) {
    let counts = inputs.counts(&order.subject);
    let ready: u32 = inputs.servers.values().map(|counts| counts.ready).sum();
    let demand = inputs.demand.unwrap_or_default();
    LogEvent::ServersOrdered.log(&[
        ("service", &service),
        ("zone", &order.subject.zone),
        ("kind", &order.subject.kind),
        ("desired", &order.desired),
        ("previous", &order.previous),
        ("reason", &order.reason),
        ("outcome", &outcome),
        ("answer", &format!("{answer:?}")),
        ("number", &number),
        ("needed", &needed.unwrap_or_default()),
        ("ready", &ready),
        ("zone_ready", &counts.ready),
        ("zone_warming", &counts.warming),
        ("zone_leaving", &counts.leaving),
        ("zone_reclaimed", &counts.reclaimed),
        ("demand_known", &inputs.demand.is_some()),
        ("in_flight", &demand.in_flight),
        ("requests_per_s", &format!("{:.1}", demand.requests_per_s)),
        (
            "prefill_per_s",
            &format!("{:.0}", demand.prefill_tokens_per_s),
        ),
    ]);
}
