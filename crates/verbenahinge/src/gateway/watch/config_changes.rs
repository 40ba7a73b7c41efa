//! Configurations that come into force.

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenahinge_core::gateway::{Feed, FeedDelta, Routing, RowState};
use verbenahinge_platform::routing::{RoutingDecoder, RoutingError};
use verbenahinge_platform::store::CONFIG_KEY;

use crate::event_log::LogEvent;
use crate::gateway::Gateway;

/// Size up to which a configuration is decoded at once, which takes less than half a millisecond.
const SMALL_CONFIG_BYTES: usize = 64 << 10;

/// Number of routes that are dropped between two pauses.
const ROUTES_PER_DROP: usize = 256;

/// Configuration that is decoded in steps, between which requests are handled.
pub(in crate::gateway) struct LargeConfig {
    value: Arc<[u8]>,
    source: &'static str,
}

/// Configuration that has been decoded, and how long that took without the pauses.
struct DecodedConfig {
    routing: Arc<Routing>,
    decode_time: Duration,
}

/// Brings a configuration into force if it is small; returns a large one.
#[must_use]
pub(super) fn apply_config(
    gateway: &Gateway,
    value: &Arc<[u8]>,
    source: &'static str,
) -> Option<LargeConfig> {
    if value.len() > SMALL_CONFIG_BYTES {
        return Some(LargeConfig {
            value: Arc::clone(value),
            source,
        });
    }
    drop(adopt(gateway, value, source, decode(value)));
    None
}

fn decode(value: &[u8]) -> Result<DecodedConfig, RoutingError> {
    let started = Instant::now();
    let mut decoder = RoutingDecoder::new(value)?;
    while decoder.step()? {}
    Ok(DecodedConfig {
        routing: Arc::new(decoder.finish()),
        decode_time: started.elapsed(),
    })
}

impl LargeConfig {
    /// Decodes the configuration in steps and brings it into force, unless a newer one is by then.
    pub(in crate::gateway) async fn apply(self, gateway: &Gateway) {
        let _decoding = DecodingGuard::new(&gateway.replicas.decoding);
        let decoded = match self.decode(gateway).await {
            Ok(Some(decoded)) => Ok(decoded),
            Ok(None) => return,
            Err(error) => Err(error),
        };
        if let Some(replaced) = adopt(gateway, &self.value, self.source, decoded) {
            drop_in_pieces(replaced).await;
        }
    }

    /// Returns `None` if a newer configuration came into force meanwhile.
    async fn decode(&self, gateway: &Gateway) -> Result<Option<DecodedConfig>, RoutingError> {
        let started = Instant::now();
        let mut decoder = RoutingDecoder::new(&self.value)?;
        let mut decode_time = started.elapsed();
        let version = decoder.version();
        loop {
            tokio::task::yield_now().await;
            if gateway.state.borrow().config_version() > version && self.is_superseded(gateway) {
                return Ok(None);
            }
            let started = Instant::now();
            let has_more = decoder.step()?;
            decode_time += started.elapsed();
            if !has_more {
                break;
            }
        }
        Ok(Some(DecodedConfig {
            routing: Arc::new(decoder.finish()),
            decode_time,
        }))
    }

    /// Whether the replica has another value by now.
    fn is_superseded(&self, gateway: &Gateway) -> bool {
        !replica_has(gateway, &self.value)
    }
}

/// Counts a configuration as being decoded until dropped.
struct DecodingGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> DecodingGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for DecodingGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// Brings a decoded configuration into force if it is newer; returns the one that it replaces.
fn adopt(
    gateway: &Gateway,
    value: &Arc<[u8]>,
    source: &'static str,
    decoded: Result<DecodedConfig, RoutingError>,
) -> Option<Arc<Routing>> {
    let decoded = match decoded {
        Ok(decoded) => decoded,
        Err(error) => {
            LogEvent::ConfigUnreadable.log(&[("source", &source), ("cause", &error)]);
            if replica_has(gateway, value) {
                restore_config(gateway);
            }
            return None;
        }
    };
    let version = decoded.routing.version;
    let routes = decoded.routing.route_count();
    let is_closed = decoded.routing.has_accounts() && decoded.routing.key_count() == 0;
    let limits = decoded.routing.limits;
    let in_force = gateway.state.borrow().config_version();
    let started = Instant::now();
    let replaced = gateway.state.borrow_mut().replace_routing(decoded.routing);
    let Ok(replaced) = replaced else {
        if version < in_force {
            LogEvent::ConfigOutdated.log(&[
                ("version", &version),
                ("in_force", &in_force),
                ("source", &source),
            ]);
            if replica_has(gateway, value) {
                restore_config(gateway);
            }
        }
        return None;
    };
    let adopt_time = started.elapsed();
    gateway.caller_limits.set(limits);
    let old_value = gateway
        .replicas
        .config_in_force
        .replace(Some(Arc::clone(value)));
    if old_value.is_some_and(|old_value| replica_has(gateway, &old_value)) {
        // An older version from the store was replaced by the one in force, which no longer is.
        restore_config(gateway);
    }
    LogEvent::ConfigInForce.log(&[
        ("version", &version),
        ("source", &source),
        ("bytes", &value.len()),
        ("routes", &routes),
        ("decode_us", &decoded.decode_time.as_micros()),
        ("adopt_us", &adopt_time.as_micros()),
    ]);
    if is_closed {
        LogEvent::ConfigWithoutKeys.log(&[("version", &version)]);
    }
    replaced
}

fn replica_has(gateway: &Gateway, value: &Arc<[u8]>) -> bool {
    let current = gateway
        .replicas
        .with(Feed::Config, |replica| replica.value(CONFIG_KEY));
    current.is_some_and(|current| Arc::ptr_eq(&current, value))
}

/// Puts the configuration in force back into the replica, so that other VMs get it from this one.
fn restore_config(gateway: &Gateway) {
    let in_force = gateway.replicas.config_in_force.borrow().clone();
    if let Some(value) = in_force {
        gateway.replicas.with(Feed::Config, |replica| {
            replica.restore_value(CONFIG_KEY, value);
        });
    }
}

/// Brings the configuration of another VM into force if it is newer, though the store may not have
/// it any more.
pub(super) async fn apply_newer_config(gateway: &Gateway, delta: &FeedDelta) {
    for row in &delta.rows {
        let (CONFIG_KEY, RowState::Present(value)) = (row.key.as_str(), &row.state) else {
            continue;
        };
        if let Some(large_config) = apply_config(gateway, value, "peer") {
            large_config.apply(gateway).await;
        }
    }
    restore_config(gateway);
}

/// Drops a configuration, in pieces if no request uses it.
async fn drop_in_pieces(routing: Arc<Routing>) {
    let Ok(mut routing) = Arc::try_unwrap(routing) else {
        return;
    };
    while routing.drop_some(ROUTES_PER_DROP) {
        tokio::task::yield_now().await;
    }
}
