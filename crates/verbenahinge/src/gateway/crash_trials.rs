//! Claims in the store for the one request in the fleet that tries a suspect whose servers were lost together.
//!
//! See `docs/design/crash-records.md`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::gateway::OUTSIDE_CAUSE_DELAY;
use verbenahinge_core::quarantine::RECORD_TTL;
use verbenahinge_core::{Fingerprint, Timestamp};
use verbenahinge_platform::quarantine;
use verbenahinge_platform::store::{StoreClient, StoreError, TRIAL_TABLE};

use super::Gateway;
use super::crash_check::hex;
use crate::event_log::LogEvent;

/// Time in which the store has to grant a claim; without it the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// Suspects for which this VM has asked for a claim.
pub(super) struct CrashTrials {
    asked_at: RefCell<BTreeMap<Fingerprint, Timestamp>>,
}

impl CrashTrials {
    pub(super) const fn new() -> Self {
        Self {
            asked_at: RefCell::new(BTreeMap::new()),
        }
    }

    /// Notes that a claim is asked for; returns whether this VM has not done so lately.
    fn begin(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let mut asked_at = self.asked_at.borrow_mut();
        asked_at.retain(|_, at| *at + OUTSIDE_CAUSE_DELAY > now);
        if asked_at.contains_key(&fingerprint) {
            return false;
        }
        asked_at.insert(fingerprint, now);
        true
    }
}

/// Claims the trial of a suspect for one request; returns whether it may run.
///
/// A claim holds as long as the record of the suspect, so that one server at most is lost to it.
pub(super) async fn claim(gateway: &Gateway, request_id: &str, fingerprint: Fingerprint) -> bool {
    let trials = &gateway.crash_store.trials;
    if !trials.begin(gateway.now(), fingerprint) {
        return false;
    }
    let granted =
        verbenahinge_http::timeout(CLAIM_TIMEOUT, write_claim(gateway, fingerprint)).await;
    let outcome = match &granted {
        Ok(Ok(true)) => "granted".to_owned(),
        Ok(Ok(false)) => "claimed_before".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    LogEvent::CrashTrial.log(&[
        ("request_id", &request_id),
        ("fingerprint", &hex(fingerprint)),
        ("outcome", &outcome),
    ]);
    matches!(granted, Ok(Ok(true)))
}

async fn write_claim(gateway: &Gateway, fingerprint: Fingerprint) -> Result<bool, StoreError> {
    let mut store = StoreClient::new(gateway.settings.borrow().store);
    let key = quarantine::row_key(fingerprint);
    let row = store.read_row(TRIAL_TABLE, &key).await?.row;
    let now = gateway.now();
    if let Some(row) = &row {
        let claimed_at = row.value.as_deref().and_then(quarantine::decode_trial);
        if claimed_at.is_none_or(|at| at + RECORD_TTL > now) {
            return Ok(false);
        }
    }
    let row_version = row.map_or(0, |row| row.version);
    let value = quarantine::encode_trial(now);
    match store.replace(TRIAL_TABLE, &key, row_version, &value).await {
        Ok(_) => Ok(true),
        Err(error) if error.is_version_conflict() => Ok(false),
        Err(error) => Err(error),
    }
}
