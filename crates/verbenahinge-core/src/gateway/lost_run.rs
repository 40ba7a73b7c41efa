//! Run of a request that broke off when its server crashed.

use super::Suspect;
use crate::Timestamp;

/// Run of a request that broke off when its server crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// Time at which the request was sent to the server.
    pub sent_at: Timestamp,
    /// What the request may have crashed the server with.
    pub suspects: Vec<Suspect>,
}

impl LostRun {
    /// Creates a run with its suspects.
    #[must_use]
    pub fn new(sent_at: Timestamp, suspects: impl Into<Vec<Suspect>>) -> Self {
        Self {
            sent_at,
            suspects: suspects.into(),
        }
    }
}
