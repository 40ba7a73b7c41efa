//! Registration of one backend server.

use crate::Timestamp;
use crate::gateway::{ServerEntry, ServerState};

/// What is known of a registration beside its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// The entry is in the store.
    Listed,
    /// The entry is missing after an outage of the store, and is removed at the deadline.
    Missing { deadline: Timestamp },
    /// The entry had been removed, and an older copy of the store lists it again; the server stays
    /// unused until then, though the entry says that it is ready.
    Held { until: Timestamp },
    /// The server has said in an answer that it leaves, so it stays unused whatever its entry says.
    Leaving,
}

/// Registry entry of a backend server, and its standing.
#[derive(Clone, Debug)]
pub(super) struct Registration {
    pub(super) entry: ServerEntry,
    pub(super) standing: Standing,
}

impl Registration {
    /// Whether the server gets requests.
    pub(super) fn is_usable(&self) -> bool {
        match self.standing {
            Standing::Listed | Standing::Missing { .. } => self.entry.state == ServerState::Ready,
            Standing::Held { .. } | Standing::Leaving => false,
        }
    }

    /// Whether the server stays unused until its registration is confirmed.
    pub(super) const fn is_held(&self) -> bool {
        matches!(self.standing, Standing::Held { .. })
    }
}
