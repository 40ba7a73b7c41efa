//! Pools of backend servers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::Display;

use super::Server;
use crate::{ModelName, ServerName};

/// Kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// A route of a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix that the route matches.
    pub prefix: String,
    /// Whether calls can safely run more than once.
    pub repeatable: bool,
}

/// A pool of interchangeable backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of the backend servers.
    pub kind: PoolKind,
    /// Models that every backend server of the pool serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Routes of a plain service; the longest matching prefix takes precedence.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Backend servers by name.
    #[serde(default)]
    pub servers: BTreeMap<ServerName, Server>,
}

impl Pool {
    /// Returns whether a call with this method and path may be repeated.
    ///
    /// Without a matching route, only idempotent HTTP methods are repeatable.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let route = self
            .routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len());
        match route {
            Some(route) => route.repeatable,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        }
    }

    /// Total number of slots of all backend servers.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.servers.values().map(|server| server.slots).sum()
    }
}
