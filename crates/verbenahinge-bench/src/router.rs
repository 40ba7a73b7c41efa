//! Routers that a run can use: the decision core, load balancers and an oracle.

mod core_router;
mod load_balancer;
mod oracle;

use verbenahinge_core::{Action, Event, Timestamp};

pub(crate) use self::core_router::CoreRouter;
pub(crate) use self::load_balancer::{LoadBalancer, Selection};
pub(crate) use self::oracle::OracleRouter;
use crate::deployment::Deployment;
use crate::policy::Policy;
use crate::trace::Trace;

/// Router that handles the events of all VMs.
pub(crate) enum Router {
    Core(CoreRouter),
    LoadBalancer(LoadBalancer),
    Oracle(OracleRouter),
}

impl Router {
    pub(crate) fn new(policy: Policy, deployment: &Deployment, trace: &Trace, seed: u64) -> Self {
        match policy {
            Policy::Shares => Self::Core(CoreRouter::new(deployment)),
            Policy::RoundRobin => {
                Self::LoadBalancer(LoadBalancer::new(deployment, Selection::RoundRobin, seed))
            }
            Policy::TwoChoices => {
                Self::LoadBalancer(LoadBalancer::new(deployment, Selection::TwoChoices, seed))
            }
            Policy::Oracle => Self::Oracle(OracleRouter::new(deployment, trace)),
        }
    }

    pub(crate) fn handle(&mut self, now: Timestamp, vm: usize, event: Event) -> Vec<Action> {
        match self {
            Self::Core(router) => router.handle(now, vm, event),
            Self::LoadBalancer(balancer) => balancer.handle(vm, event),
            Self::Oracle(router) => router.handle(now, event),
        }
    }

    pub(crate) fn next_timer(&self, vm: usize) -> Option<Timestamp> {
        match self {
            Self::Core(router) => router.next_timer(vm),
            Self::LoadBalancer(_) | Self::Oracle(_) => None,
        }
    }
}
