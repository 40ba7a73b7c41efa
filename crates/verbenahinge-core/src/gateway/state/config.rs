//! The configuration in force.

use std::sync::Arc;

use super::GatewayState;
use crate::ConfigVersion;
use crate::gateway::Routing;

impl GatewayState {
    /// Configuration in force, or `None` before the first one.
    #[must_use]
    pub const fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Version of the configuration in force, or 0 before the first one.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.routing.as_ref().map_or(0, |routing| routing.version)
    }

    /// Brings a configuration into force if it is newer than the current one, and returns whether
    /// it is.
    pub fn adopt_routing(&mut self, routing: Routing) -> bool {
        self.replace_routing(Arc::new(routing)).is_ok()
    }

    /// Brings a configuration into force if it is newer than the current one, and returns the one
    /// that was in force before.
    ///
    /// # Errors
    ///
    /// Returns the given configuration if it is not newer.
    pub fn replace_routing(
        &mut self,
        routing: Arc<Routing>,
    ) -> Result<Option<Arc<Routing>>, Arc<Routing>> {
        if self.routing.is_some() && routing.version <= self.config_version() {
            return Err(routing);
        }
        let old = self.routing.replace(routing);
        self.update_stream_lifetime();
        self.update_paced_services();
        Ok(old)
    }
}
