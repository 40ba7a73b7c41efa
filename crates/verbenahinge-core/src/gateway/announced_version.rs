//! The newest version of a table that other VMs have announced, and a VM to fetch it from.

use std::net::IpAddr;

use super::StoreVersion;

/// The newest version of a table that other VMs have announced, and the VM that did so last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedVersion {
    source: IpAddr,
    version: StoreVersion,
    has_failed: bool,
}

impl AnnouncedVersion {
    /// Creates the record of a first announcement.
    #[must_use]
    pub const fn new(source: IpAddr, version: StoreVersion) -> Self {
        Self {
            source,
            version,
            has_failed: false,
        }
    }

    /// VM that has the version.
    #[must_use]
    pub const fn source(&self) -> IpAddr {
        self.source
    }

    /// The announced version.
    #[must_use]
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Records another announcement.
    ///
    /// An older version does not replace a newer one, unless that could not be fetched. The last VM that
    /// announces a version becomes its source, so that those that have fetched it share the work.
    pub fn announce(&mut self, source: IpAddr, version: StoreVersion) {
        if version >= self.version || self.has_failed {
            *self = Self::new(source, version);
        }
    }

    /// Records that the version could not be fetched from the source.
    pub const fn record_failure(&mut self) {
        self.has_failed = true;
    }
}
