//! Routes, services and client accounts of one version of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::hash::mix64;
use crate::{AccountName, ConfigVersion};

/// Rank of a request among all of one configuration; 0 is the most urgent.
pub type Priority = u8;

/// Ranks that routes have below one rank of client accounts.
const ROUTE_RANKS: u8 = 10;

/// Largest rank of client accounts that is told apart.
const ACCOUNT_RANK_MAX: u8 = 24;

/// Puts the rank of a client account before that of a route.
///
/// Accounts without a rank of their own stand where their route does, and equal accounts go by
/// their routes.
#[must_use]
pub(super) fn priority_of(account: Option<u8>, route: u8) -> Priority {
    let route = route.min(ROUTE_RANKS - 1);
    account.unwrap_or(route).min(ACCOUNT_RANK_MAX) * ROUTE_RANKS + route
}

/// Name of a route.
pub type RouteName = Arc<str>;

/// Name of a service, the set of backend servers that serve the same requests.
pub type ServiceName = Arc<str>;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// The request is idempotent.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events; whether it may be repeated depends on the route.
    Stream,
}

/// One part of a route's traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Service that gets the part.
    pub service: ServiceName,
    /// Size of the part, relative to the route's other parts.
    pub weight: u32,
}

/// Where requests of a host and path prefix go, and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic.
    pub shares: Vec<Share>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
}

impl Route {
    /// Says whether a request that may have run may run again.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks the service for a request; equal seeds get equal services.
    #[must_use]
    pub fn pick_service(&self, seed: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = mix64(seed, 0x0073_6861_7265) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// Limits of model engines that serve a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and cached prompt parts share.
    pub memory_tokens: u64,
    /// Time to copy the state of one read token from another engine; `None` if engines do not.
    pub token_copy: Option<Duration>,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
}

/// Backend servers that serve the same requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all VMs together.
    pub max_connections: u32,
    /// Limits of the engines, if the service consists of model engines.
    pub engine: Option<EngineLimits>,
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Time that a caller has to send the head of a request.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name of the client account.
    pub name: AccountName,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Routing {
    /// Number of the version.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds of what callers may send.
    pub limits: Option<CallerLimits>,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    accounts_by_key: BTreeMap<String, Arc<Account>>,
    route_ranks: BTreeSet<u8>,
    account_ranks: BTreeSet<Option<u8>>,
}

impl Routing {
    /// Creates a version without routes.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host and a path prefix that begins and ends with a slash.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        self.route_ranks.insert(route.priority);
        if route.public {
            self.account_ranks.insert(None);
        }
        self.hosts
            .entry(host.to_ascii_lowercase())
            .or_default()
            .insert(prefix.to_owned(), Arc::new(route));
    }

    /// Adds an API key of a client account.
    pub fn add_key(&mut self, key: &str, account: Arc<Account>) {
        self.account_ranks.insert(account.priority);
        self.accounts_by_key.insert(key.to_owned(), account);
    }

    /// Place of a priority among all that requests of this version can have, the first being 0.
    ///
    /// Engines tell few ranks apart, so that those that nobody has must not use any up.
    #[must_use]
    pub fn place_of(&self, priority: Priority) -> usize {
        let mut before = BTreeSet::new();
        for &account in self.account_ranks.iter().chain([&None]) {
            if account.is_none() && self.has_accounts() && !self.account_ranks.contains(&None) {
                continue;
            }
            for &route in &self.route_ranks {
                before.insert(priority_of(account, route));
            }
        }
        before.range(..priority).count()
    }

    /// Says whether requests need an API key at all.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts_by_key.is_empty()
    }

    /// Finds the route with the longest prefix of the path, one look-up for each slash in it.
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
