//! What one order is about.

use super::ServerKind;
use crate::ZoneName;

/// Zone and kind of servers, whose number is ordered.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerSubject {
    /// Availability zone.
    pub zone: ZoneName,
    /// Kind of servers.
    pub kind: ServerKind,
}

impl WorkerSubject {
    /// Subject of a zone and kind.
    #[must_use]
    pub fn new(zone: &ZoneName, kind: ServerKind) -> Self {
        Self {
            zone: ZoneName::clone(zone),
            kind,
        }
    }
}
