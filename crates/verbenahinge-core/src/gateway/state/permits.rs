//! Permits for requests to limited servers, which one VM hands out for each server in a large fleet.

use std::time::Duration;

use super::GatewayState;
use crate::Timestamp;

/// Time that permits may build up over, if that is more than one request.
const PERMIT_BURST_TIME: Duration = Duration::from_millis(250);

/// Permits that this VM hands out for one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitBucket {
    allowance: f64,
    refilled_at: Timestamp,
}

impl GatewayState {
    /// Sets whether one VM hands out permits for each limited server, as in a fleet in which most VMs
    /// send too few requests to use a share.
    pub fn set_uses_permits(&mut self, uses_permits: bool) {
        let is_new = uses_permits && !self.uses_permits;
        self.uses_permits = uses_permits;
        if !is_new {
            return;
        }
        for server in &self.limited_servers {
            if let Some(backend) = self.backends.get_mut(server) {
                backend.limiter.open();
            }
        }
    }

    /// Keeps a server in use that a request is sent to: where permits are used, they alone decide.
    pub(super) fn reopen_limited(&mut self, server: &str) {
        if !self.uses_permits {
            return;
        }
        if let Some(backend) = self.backends.get_mut(server) {
            backend.limiter.open();
        }
    }

    /// Whether a request to a server needs a permit.
    #[must_use]
    pub fn needs_permit(&self, server: &str) -> bool {
        self.uses_permits && self.limit_per_s(server).is_some()
    }

    /// Hands out a permit for one request to a server, if its limit allows one now.
    pub fn grant_permit(&mut self, now: Timestamp, server: u64) -> bool {
        let name = self.names_by_hash.get(&server);
        let Some(limit_per_s) = name.and_then(|name| self.limit_per_s(name)) else {
            return true;
        };
        let bucket = self.permit_buckets.entry(server).or_insert(PermitBucket {
            allowance: 0.0,
            refilled_at: now,
        });
        let elapsed = now.saturating_sub(bucket.refilled_at);
        let most = (limit_per_s * PERMIT_BURST_TIME.as_secs_f64()).max(1.0);
        bucket.refilled_at = now;
        bucket.allowance = (bucket.allowance + limit_per_s * elapsed.as_secs_f64()).min(most);
        if bucket.allowance < 1.0 {
            return false;
        }
        bucket.allowance -= 1.0;
        true
    }
}
