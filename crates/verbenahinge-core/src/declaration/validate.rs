//! Validation of whole declarations, which reports all problems at once.

use std::collections::BTreeMap;

use super::{Account, Class, Declaration, Pool, PoolKind, Problem};
use crate::Tier;

/// Number of priority tiers.
pub const TIER_COUNT: usize = 7;

const MAX_SLOTS: u32 = 65_536;

impl Declaration {
    /// Returns all problems of the declaration; it may come into force if there are none.
    #[must_use]
    pub fn validate(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (name, class) in &self.classes {
            validate_class(name, class, &mut problems);
        }
        for (name, account) in &self.accounts {
            self.validate_account(name, account, &mut problems);
        }
        for (name, pool) in &self.pools {
            validate_pool(name, pool, &mut problems);
        }
        for (name, operator) in &self.operators {
            let path = format!("/operators/{name}/token_hash");
            validate_hash(&path, &operator.token_hash, &mut problems);
        }
        self.validate_unique_models(&mut problems);
        self.validate_unique_servers(&mut problems);
        self.validate_unique_keys(&mut problems);
        problems
    }

    fn validate_account(&self, name: &str, account: &Account, problems: &mut Vec<Problem>) {
        let path = format!("/accounts/{name}");
        if account.weight == 0 {
            problems.push(Problem::new(format!("{path}/weight"), "must be at least 1"));
        }
        for (index, class) in account.classes.iter().enumerate() {
            if self.classes.contains_key(class) {
                continue;
            }
            problems.push(Problem::new(
                format!("{path}/classes/{index}"),
                format!("unknown class {class}"),
            ));
        }
        if !account.classes.contains(&account.default_class) {
            problems.push(Problem::new(
                format!("{path}/default_class"),
                "must be one of the account's classes",
            ));
        }
        for (index, hash) in account.key_hashes.iter().enumerate() {
            validate_hash(&format!("{path}/key_hashes/{index}"), hash, problems);
        }
    }

    fn validate_unique_models(&self, problems: &mut Vec<Problem>) {
        let mut seen = BTreeMap::new();
        for (name, pool) in &self.pools {
            for (index, model) in pool.models.iter().enumerate() {
                if let Some(other) = seen.insert(model, name) {
                    problems.push(Problem::new(
                        format!("/pools/{name}/models/{index}"),
                        format!("model {model} is already served by pool {other}"),
                    ));
                }
            }
        }
    }

    fn validate_unique_servers(&self, problems: &mut Vec<Problem>) {
        let mut seen = BTreeMap::new();
        for (name, pool) in &self.pools {
            for server in pool.servers.keys() {
                if let Some(other) = seen.insert(server, name) {
                    problems.push(Problem::new(
                        format!("/pools/{name}/servers/{server}"),
                        format!("backend server is already part of pool {other}"),
                    ));
                }
            }
        }
    }

    fn validate_unique_keys(&self, problems: &mut Vec<Problem>) {
        let mut seen = BTreeMap::new();
        for (name, account) in &self.accounts {
            for (index, hash) in account.key_hashes.iter().enumerate() {
                if let Some(other) = seen.insert(hash, name) {
                    problems.push(Problem::new(
                        format!("/accounts/{name}/key_hashes/{index}"),
                        format!("key already belongs to account {other}"),
                    ));
                }
            }
        }
    }
}

fn validate_class(name: &str, class: &Class, problems: &mut Vec<Problem>) {
    let path = format!("/classes/{name}");
    if usize::from(class.tier) >= TIER_COUNT {
        problems.push(Problem::new(
            format!("{path}/tier"),
            format!("must be below {TIER_COUNT}"),
        ));
    }
    let durations = [
        ("first_token_ms", class.first_token_ms),
        ("per_token_ms", class.per_token_ms),
        ("max_starvation_ms", class.max_starvation_ms),
    ];
    for (field, value) in durations {
        if value == 0 {
            problems.push(Problem::new(
                format!("{path}/{field}"),
                "must be at least 1",
            ));
        }
    }
}

fn validate_pool(name: &str, pool: &Pool, problems: &mut Vec<Problem>) {
    let path = format!("/pools/{name}");
    if pool.kind == PoolKind::Engine && pool.models.is_empty() {
        problems.push(Problem::new(
            format!("{path}/models"),
            "a pool of engines serves at least one model",
        ));
    }
    if pool.kind == PoolKind::Service && !pool.models.is_empty() {
        problems.push(Problem::new(
            format!("{path}/models"),
            "a pool of services serves no models",
        ));
    }
    for (server_name, server) in &pool.servers {
        if server.slots == 0 || server.slots > MAX_SLOTS {
            problems.push(Problem::new(
                format!("{path}/servers/{server_name}/slots"),
                format!("must be between 1 and {MAX_SLOTS}"),
            ));
        }
    }
}

fn validate_hash(path: &str, hash: &str, problems: &mut Vec<Problem>) {
    if blake3::Hash::from_hex(hash).is_err() {
        problems.push(Problem::new(path, "must be 64 hexadecimal digits"));
    }
}

/// Converts a tier to an index below [`TIER_COUNT`]; validated tiers are never clamped.
#[must_use]
pub fn tier_index(tier: Tier) -> usize {
    usize::from(tier).min(TIER_COUNT - 1)
}
