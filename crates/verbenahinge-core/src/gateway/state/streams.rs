//! Software versions of streams: where they began, and which of them have to be told to other VMs.

use std::time::Duration;

use super::GatewayState;
use crate::Timestamp;
use crate::gateway::{
    Route, ServiceName, ServiceSoftware, SoftwareVersion, StreamId, StreamOrigin, StreamOrigins,
};

/// Longest stream over all tries of its caller, in timeouts of its route.
const TIMEOUTS_PER_STREAM: u32 = 2;

impl GatewayState {
    /// Notes that the whole system starts for the first time, so that no stream has begun before.
    pub const fn mark_first_start(&mut self) {
        self.software.mark_first_start();
    }

    /// Records that a caller gets the first event of an answer; returns whether other VMs have to be told
    /// where its stream began.
    pub fn note_stream_begin(
        &mut self,
        now: Timestamp,
        service: &str,
        stream: StreamId,
        version: SoftwareVersion,
    ) -> bool {
        let origin = StreamOrigin {
            stream,
            version,
            time_left: self.stream_lifetime,
        };
        self.stream_origins.note_own(now, origin);
        let lifetime = self.stream_lifetime;
        let sole = self.software.sole_version(now, service, lifetime);
        if sole.is_none() {
            self.stream_origins.mark_untold(stream);
        }
        sole.is_none()
    }

    /// Version that all servers of a route's services have had for as long as any stream lasts, so that
    /// every stream of the route began at it.
    #[must_use]
    pub fn sole_version(&self, now: Timestamp, route: &Route) -> Option<SoftwareVersion> {
        match route.shares.as_slice() {
            [share] => self
                .software
                .sole_version(now, &share.service, self.stream_lifetime),
            _ => None,
        }
    }

    /// Origin of any stream of a service that has had one version for as long as any stream lasts.
    #[must_use]
    pub fn sole_origin(
        &self,
        now: Timestamp,
        service: &str,
        stream: StreamId,
    ) -> Option<StreamOrigin> {
        let lifetime = self.stream_lifetime;
        let version = self.software.sole_version(now, service, lifetime)?;
        Some(StreamOrigin {
            stream,
            version,
            time_left: lifetime,
        })
    }

    /// Service of a route whose servers have a version.
    #[must_use]
    pub fn service_of_version<'a>(
        &self,
        route: &'a Route,
        version: SoftwareVersion,
    ) -> Option<&'a ServiceName> {
        let mut services = route.shares.iter().map(|share| &share.service);
        services.find(|service| self.software.has_version(service, version))
    }

    /// Versions at which streams began.
    #[must_use]
    pub const fn stream_origins(&self) -> &StreamOrigins {
        &self.stream_origins
    }

    /// Adds what another VM knows of streams.
    pub fn merge_stream_origins(&mut self, now: Timestamp, origins: &[StreamOrigin]) {
        self.stream_origins.merge(now, origins);
    }

    /// Takes the streams that other VMs have to be told of.
    pub fn take_stream_news(&mut self, now: Timestamp) -> Vec<StreamOrigin> {
        self.stream_origins.take_untold(now)
    }

    /// Time after its beginning by which a stream has ended, over all tries of its caller.
    #[must_use]
    pub const fn stream_lifetime(&self) -> Duration {
        self.stream_lifetime
    }

    /// Version of each service's servers, for the store.
    #[must_use]
    pub fn service_software(&self) -> Vec<(ServiceName, ServiceSoftware)> {
        self.software.service_software()
    }

    /// Adopts what the store holds of a service.
    pub fn adopt_software(&mut self, service: &str, stored: ServiceSoftware) {
        self.software.adopt(service, stored);
    }

    /// Software of a server by its present entry.
    pub(super) fn software_of(&self, id: &str) -> Option<(ServiceName, SoftwareVersion)> {
        let entry = self.registry.get(id)?;
        Some((entry.service.clone(), entry.software_version()))
    }

    /// Records that the entry of a server has changed from one with the given software.
    pub(super) fn note_software_change(
        &mut self,
        id: &str,
        old: Option<(ServiceName, SoftwareVersion)>,
    ) {
        let new = self.software_of(id);
        if self.software.replace(old, new) {
            // Until now, other VMs could tell from the registry where these streams began.
            self.stream_origins.mark_own_untold();
        }
    }

    pub(super) fn update_stream_lifetime(&mut self) {
        let longest = self
            .routing
            .as_ref()
            .map(|routing| routing.longest_timeout());
        let lifetime = longest.unwrap_or_default() * TIMEOUTS_PER_STREAM;
        self.stream_lifetime = self.stream_lifetime.max(lifetime);
    }
}
