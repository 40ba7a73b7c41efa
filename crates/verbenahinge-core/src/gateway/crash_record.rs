//! Crashes of servers that were running one request, or prompts with one part.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashOrder, Suspect, SuspectScope};
use crate::{CrashId, Fingerprint};

/// Crashes of servers at which one suspect was running, as told to other VMs and kept in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// Identifies the suspect.
    pub fingerprint: Fingerprint,
    /// Requests that the suspect stands for.
    pub scope: SuspectScope,
    /// Crashes at which it was running, with the time since each.
    pub crashes: BTreeMap<CrashId, Duration>,
    /// Order of the runs that the crashes broke off, where it is known.
    pub orders: BTreeMap<CrashId, CrashOrder>,
    /// Crashes after which a request with the suspect succeeded, so that it was not their cause.
    pub refuted: Vec<CrashId>,
    /// Time since the latest news of the suspect.
    pub age: Duration,
}

impl CrashRecord {
    /// The suspect of the record.
    #[must_use]
    pub const fn suspect(&self) -> Suspect {
        Suspect {
            fingerprint: self.fingerprint,
            scope: self.scope,
        }
    }
}
