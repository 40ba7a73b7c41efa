//! Routes, services and client accounts of one version of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::{MoveLimits, ScalingLimits};
use crate::hash::mix64;
use crate::{AccountName, ConfigVersion};

/// Priority of a request, from those of its client account and route; 0 is the most urgent.
pub type Priority = u8;

/// Number of distinct route priorities within one account priority.
const ROUTE_PRIORITY_LEVELS: u8 = 10;

/// Largest account priority; larger ones count as this one.
const ACCOUNT_PRIORITY_MAX: u8 = 24;

/// Combines the priorities of a client account and a route; the account's takes precedence.
///
/// Accounts without a priority use that of the route, and accounts of equal priority are ordered by
/// their routes.
#[must_use]
pub fn combine_priorities(account: Option<u8>, route: u8) -> Priority {
    let route = route.min(ROUTE_PRIORITY_LEVELS - 1);
    account.unwrap_or(route).min(ACCOUNT_PRIORITY_MAX) * ROUTE_PRIORITY_LEVELS + route
}

/// Time for a token below which a gap target is tight.
const TIGHT_TOKEN_TIME: Duration = Duration::from_millis(40);

/// Name of a route.
pub type RouteName = Arc<str>;

/// Name of a service: a set of backend servers that serve the same requests.
pub type ServiceName = Arc<str>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// The request is idempotent.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of events; [`Route::resumable`] tells whether it may run again.
    Stream,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Service that gets this part.
    pub service: ServiceName,
    /// Size of this part, relative to the other parts of the route.
    pub weight: u32,
}

/// Target services and limits of the requests that match a host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Latency target of a response, or of the first event of a stream.
    pub latency_target: Duration,
    /// Latency target between two events of a stream.
    pub gap_target: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that the traffic is split between.
    pub shares: Vec<TrafficShare>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a stream may be resumed on another backend server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may already have run may run again.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks a service by weight; equal seeds give the same service.
    #[must_use]
    pub fn pick_service(&self, seed: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remaining = mix64(seed, 0x0073_6861_7265) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Limits of the inference engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of concurrent requests of one engine.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub memory_tokens: u64,
    /// Time to copy the KV cache of one prompt token from another engine; `None` if engines cannot.
    pub token_copy: Option<Duration>,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
}

impl EngineLimits {
    /// Whether engines of the usual pace under usual load cannot always keep a gap target.
    #[must_use]
    pub fn is_tight(&self, gap_target: Duration) -> bool {
        gap_target < TIGHT_TOKEN_TIME * self.tokens_per_event
    }
}

/// Properties of a set of backend servers that serve the same requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Maximum number of connections to one backend server from all VMs together.
    pub max_connections: u32,
    /// Limits of the engines, if the service consists of inference engines.
    pub engine: Option<EngineLimits>,
    /// Limits and prices for orders of backend servers; `None` if none are to be ordered.
    pub scaling: Option<ScalingLimits>,
    /// How engines move running requests; `None` if they are not to be moved.
    pub moves: Option<MoveLimits>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name of the client account.
    pub name: AccountName,
    /// Priority that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Routing {
    /// Version number.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Option<CallerLimits>,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    accounts_by_key: BTreeMap<String, Arc<Account>>,
    requires_keys: bool,
    route_priorities: BTreeSet<u8>,
    account_priorities: BTreeSet<Option<u8>>,
    longest_timeout: Duration,
    /// Tightest gap target of the routes to each service.
    gap_targets: BTreeMap<ServiceName, Duration>,
}

impl Routing {
    /// Creates a configuration without routes.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host and a path prefix that begins and ends with a slash.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        self.route_priorities.insert(route.priority);
        self.longest_timeout = self.longest_timeout.max(route.timeout);
        if route.public {
            self.account_priorities.insert(None);
        }
        if let Some(gap_target) = route.gap_target {
            for share in &route.shares {
                let tightest = self.gap_targets.entry(share.service.clone());
                let tightest = tightest.or_insert(gap_target);
                *tightest = gap_target.min(*tightest);
            }
        }
        self.hosts
            .entry(host.to_ascii_lowercase())
            .or_default()
            .insert(prefix.to_owned(), Arc::new(route));
    }

    /// Has routes that are not public require an API key, also if no key is configured.
    pub const fn require_keys(&mut self) {
        self.requires_keys = true;
    }

    /// Number of API keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.accounts_by_key.len()
    }

    /// Adds an API key of a client account.
    pub fn add_key(&mut self, key: &str, account: Arc<Account>) {
        self.account_priorities.insert(account.priority);
        self.accounts_by_key.insert(key.to_owned(), account);
    }

    /// Zero-based rank of a priority among those that requests of this version can have.
    ///
    /// Engines support few priority levels, so priorities that no request has must not take up any.
    #[must_use]
    pub fn rank_of(&self, priority: Priority) -> usize {
        let mut priorities = BTreeSet::new();
        for &account in self.account_priorities.iter().chain([&None]) {
            if account.is_none() && self.has_accounts() && !self.account_priorities.contains(&None)
            {
                continue;
            }
            for &route in &self.route_priorities {
                priorities.insert(combine_priorities(account, route));
            }
        }
        priorities.range(..priority).count()
    }

    /// Longest time that callers of any route wait.
    #[must_use]
    pub const fn longest_timeout(&self) -> Duration {
        self.longest_timeout
    }

    /// Tightest gap target of the routes to a service of engines, if engines of the usual pace cannot always
    /// keep it.
    #[must_use]
    pub fn tight_gap_target(&self, service: &str) -> Option<Duration> {
        let engine = self.services.get(service)?.engine?;
        let gap_target = *self.gap_targets.get(service)?;
        engine.is_tight(gap_target).then_some(gap_target)
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Drops up to `count` routes and as many API keys; returns whether any are left.
    ///
    /// Dropping a large configuration at once takes milliseconds.
    pub fn drop_some(&mut self, count: usize) -> bool {
        for _ in 0..count {
            self.accounts_by_key.pop_first();
            let Some(mut host) = self.hosts.first_entry() else {
                continue;
            };
            host.get_mut().pop_first();
            if host.get().is_empty() {
                host.remove();
            }
        }
        !self.hosts.is_empty() || !self.accounts_by_key.is_empty()
    }

    /// Whether the configuration has client accounts, so that routes that are not public need an API key.
    ///
    /// Accounts whose last key was taken away still count: nobody may send requests then.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        self.requires_keys || !self.accounts_by_key.is_empty()
    }

    /// Finds the route with the longest matching path prefix, by one lookup per slash in the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        for (end, _) in path.rmatch_indices('/') {
            if let Some(route) = prefixes.get(&path[..=end]) {
                return Some(route);
            }
        }
        None
    }

    /// Finds the client account of an API key.
    #[must_use]
    pub fn find_account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts_by_key.get(key)
    }
}
