//! Software versions of each service's servers over time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ServiceName, SoftwareVersion};
use crate::Timestamp;

/// Time by which the clocks of two VMs may differ, when one reads what the other has written.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(10);

/// Version of a service's servers, as kept in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSoftware {
    /// Version of all servers; `None` if they have several.
    pub sole: Option<SoftwareVersion>,
    /// Time since which that holds.
    pub since: Timestamp,
}

/// Versions of one service's servers.
#[derive(Clone, Debug, Default)]
struct Servers {
    /// Number of servers of each version.
    counts: BTreeMap<SoftwareVersion, usize>,
    /// Version of all servers; `None` while there are several. It is kept while there is no server.
    sole: Option<SoftwareVersion>,
    /// Time at which `sole` was first seen to hold; `None` before the next look.
    sole_since: Option<Timestamp>,
    /// Whether there have been servers of other versions than `sole`.
    had_others: bool,
}

impl Servers {
    /// Returns whether the service no longer has the only version that it had.
    fn update_sole(&mut self) -> bool {
        let mut versions = self.counts.keys();
        let sole = match (versions.next(), versions.next()) {
            (None, _) => return false,
            (Some(&only), None) => Some(only),
            (Some(_), Some(_)) => None,
        };
        if sole.is_some() && sole == self.sole {
            return false;
        }
        self.sole_since = None;
        self.had_others |= self.sole.is_some() || sole.is_none();
        std::mem::replace(&mut self.sole, sole).is_some()
    }
}

/// Software versions of each service's servers over time, as far as this VM has seen.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceName, Servers>,
    /// Time from which this VM has seen all changes.
    complete_since: Option<Timestamp>,
}

impl SoftwareHistory {
    /// Notes that no server has served a request before this VM started.
    pub const fn mark_first_start(&mut self) {
        self.complete_since = Some(Duration::ZERO);
    }

    /// Records that the entry of a server is replaced, added or removed; returns whether a service no
    /// longer has the only version that it had.
    pub fn replace(
        &mut self,
        old: Option<(ServiceName, SoftwareVersion)>,
        new: Option<(ServiceName, SoftwareVersion)>,
    ) -> bool {
        if old == new {
            return false;
        }
        let mut has_changed = false;
        if let Some((service, version)) = new {
            let software = self.services.entry(service).or_default();
            *software.counts.entry(version).or_default() += 1;
            has_changed |= software.update_sole();
        }
        if let Some((service, version)) = old {
            let software = self.services.entry(service).or_default();
            if let Some(count) = software.counts.get_mut(&version) {
                *count -= 1;
                if *count == 0 {
                    software.counts.remove(&version);
                }
            }
            has_changed |= software.update_sole();
        }
        has_changed
    }

    /// Notes the time for services whose versions have changed since the last look, once all servers are
    /// known.
    pub fn observe(&mut self, now: Timestamp) {
        let complete_since = *self.complete_since.get_or_insert(now);
        for software in self.services.values_mut() {
            let since = if software.had_others {
                now
            } else {
                complete_since
            };
            software.sole_since.get_or_insert(since);
        }
    }

    /// Version of each service with servers, for the store.
    #[must_use]
    pub fn service_software(&self) -> Vec<(ServiceName, ServiceSoftware)> {
        let mut services = Vec::new();
        for (service, software) in &self.services {
            if let Some(since) = software.sole_since
                && !software.counts.is_empty()
            {
                let sole = software.sole;
                services.push((service.clone(), ServiceSoftware { sole, since }));
            }
        }
        services
    }

    /// Adopts what the store holds of a service, if that is still so: VMs write each change, so that
    /// there has been none.
    pub fn adopt(&mut self, service: &str, stored: ServiceSoftware) {
        let Some(software) = self.services.get_mut(service) else {
            return;
        };
        if stored.sole.is_none() || software.sole != stored.sole || software.had_others {
            return;
        }
        let since = stored.since + MAX_CLOCK_DIFFERENCE;
        if software.sole_since.is_none_or(|known| since < known) {
            software.sole_since = Some(since);
        }
    }

    /// Version that all servers of a service have had for `lifetime` at least.
    #[must_use]
    pub fn sole_version(
        &self,
        now: Timestamp,
        service: &str,
        lifetime: Duration,
    ) -> Option<SoftwareVersion> {
        let software = self.services.get(service)?;
        let known_since = self.complete_since.filter(|_| !software.had_others);
        let since = software.sole_since.or(known_since)?;
        software.sole.filter(|_| since + lifetime <= now)
    }

    /// Whether a service has servers of a version.
    #[must_use]
    pub fn has_version(&self, service: &str, version: SoftwareVersion) -> bool {
        let software = self.services.get(service);
        software.is_some_and(|software| software.counts.contains_key(&version))
    }
}
