//! Software versions of backend servers.

use std::sync::Arc;

use crate::hash::{hash64, mix64};

/// Name of a software version, as a backend server registers it.
pub type SoftwareName = Arc<str>;

/// Software version of the servers of one service.
///
/// Servers of several versions may serve side by side. What two versions write does not fit together, so
/// that a stream continues only at the version that began it. See `docs/design/stream-versions.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// Creates the version of a service's servers that register the given name, or none.
    #[must_use]
    pub fn new(service: &str, name: Option<&str>) -> Self {
        let name = name.map_or(0, |name| hash64(name.as_bytes()));
        Self(mix64(hash64(service.as_bytes()), name))
    }

    /// Decodes a version from [`bits`](Self::bits).
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Encodes the version for messages between VMs and for the log.
    #[must_use]
    pub const fn bits(self) -> u64 {
        self.0
    }
}
