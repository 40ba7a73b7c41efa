//! Finds out which servers have crashed, and what their crashes mean for requests.
//!
//! All requests that a VM loses with one server are one check. See `docs/design/deadly-parts.md`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use verbenahinge_core::gateway::{CrashRefusal, LostRun, Suspect, SuspectScope};
use verbenahinge_core::{CrashId, Fingerprint, ServerName, Timestamp};

use super::{Gateway, crash_store, peers};
use crate::event_log::LogEvent;

/// Delay of the check after a connection broke; by then, a crashed server refuses new connections.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Maximum wait of a request for the outcome of a check before it is tried again.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(200);

/// Time after a crash that this VM has found in which connections that broke count to it without another
/// check.
const FOUND_CRASH_AGE: Duration = Duration::from_secs(5);

/// Checks that are under way, and the suspects that were blamed when that was last looked at.
#[derive(Default)]
pub(crate) struct CrashChecks {
    pending: RefCell<BTreeMap<CrashId, PendingCheck>>,
    /// Crashes that this VM has found lately, and when they happened.
    found: RefCell<BTreeMap<CrashId, Timestamp>>,
    blamed: RefCell<BTreeSet<Fingerprint>>,
    refusal_notify: Notify,
}

/// A check that has not ended, with the requests that were lost.
struct PendingCheck {
    broke_at: Timestamp,
    lost: Vec<LostRun>,
    outcome: CrashCheck,
}

/// Check whether a server has crashed, which a request may wait for.
#[derive(Clone, Default)]
pub(crate) struct CrashCheck {
    state: Rc<CheckState>,
}

#[derive(Default)]
struct CheckState {
    has_ended: Cell<bool>,
    notify: Notify,
}

impl CrashCheck {
    /// Waits until the check has ended, or for as long as a request may wait for it.
    pub(crate) async fn wait(&self) {
        let ended = async {
            loop {
                let notified = self.state.notify.notified();
                if self.state.has_ended.get() {
                    return;
                }
                notified.await;
            }
        };
        // A check that takes longer finds a server that is cut off, not one that crashed.
        let ended = verbenahinge_http::timeout(MAX_CHECK_WAIT, ended).await;
        if ended.is_err() {
            log::debug!("a crash check takes longer than {MAX_CHECK_WAIT:?}");
        }
    }

    fn end(&self) {
        self.state.has_ended.set(true);
        self.state.notify.notify_waiters();
    }
}

/// Checks in the background whether a server has crashed whose connection broke during a run.
pub(super) fn check_crash(
    gateway: &Rc<Gateway>,
    server: &ServerName,
    crash: CrashId,
    run: LostRun,
) -> CrashCheck {
    let now = gateway.now();
    let found_at = {
        let mut found = gateway.crash_checks.found.borrow_mut();
        found.retain(|_, &mut at| at + FOUND_CRASH_AGE > now);
        found.get(&crash).copied()
    };
    if let Some(at) = found_at {
        record_crash(gateway, server, crash, at, &[run]);
        let check = CrashCheck::default();
        check.end();
        return check;
    }
    let mut pending = gateway.crash_checks.pending.borrow_mut();
    if let Some(check) = pending.get_mut(&crash) {
        check.lost.push(run);
        return check.outcome.clone();
    }
    let outcome = CrashCheck::default();
    let check = PendingCheck {
        broke_at: now,
        lost: vec![run],
        outcome: outcome.clone(),
    };
    pending.insert(crash, check);
    let (gateway, server) = (Rc::clone(gateway), server.clone());
    actix_rt::spawn(async move {
        let has_crashed = refuses_connections(&gateway, &server).await;
        let check = gateway.crash_checks.pending.borrow_mut().remove(&crash);
        let Some(check) = check else {
            return;
        };
        if has_crashed {
            let mut found = gateway.crash_checks.found.borrow_mut();
            found.insert(crash, check.broke_at);
            drop(found);
            record_crash(&gateway, &server, crash, check.broke_at, &check.lost);
        }
        check.outcome.end();
    });
    outcome
}

/// A crashed server refuses a new connection. One that is cut off or overloaded lets it time out or
/// resets it, and errors of this VM tell nothing.
async fn refuses_connections(gateway: &Gateway, server: &ServerName) -> bool {
    actix_rt::time::sleep(CRASH_CHECK_DELAY).await;
    let address = {
        let state = gateway.state.borrow();
        let entry = state.registry().usable(server);
        entry.map(|entry| entry.address)
    };
    let Some(address) = address else {
        // An entry lapses seconds after a crash, so this server has left as planned.
        return false;
    };
    match gateway.connections.connect(server, address).await {
        Ok(connection) => {
            connection.release(None, false);
            false
        }
        Err(error) => {
            log::debug!("server {server} accepts no connection: {error}");
            error.kind() == io::ErrorKind::ConnectionRefused
        }
    }
}

fn record_crash(
    gateway: &Rc<Gateway>,
    server: &ServerName,
    crash: CrashId,
    at: Timestamp,
    lost: &[LostRun],
) {
    if !gateway.state.borrow_mut().note_crash(at, crash, lost) {
        return;
    }
    for LostRun { sent_at, suspects } in lost {
        let is_quarantined = {
            let state = gateway.state.borrow();
            let mut suspects = suspects.iter();
            suspects.any(|suspect| state.is_quarantined(suspect.fingerprint))
        };
        let has_begun = suspects
            .iter()
            .all(|suspect| suspect.scope == SuspectScope::Stream);
        if has_begun && !is_quarantined {
            continue;
        }
        let mut fingerprints = suspects.iter().map(|suspect| hex(suspect.fingerprint));
        let fingerprint = fingerprints.next().unwrap_or_default();
        let parts: Vec<_> = fingerprints.collect();
        LogEvent::ServerCrashed.log(&[
            ("server", server),
            ("fingerprint", &fingerprint),
            ("parts", &parts.join(",")),
            ("crash", &hex(crash)),
            ("ran_ms", &at.saturating_sub(*sent_at).as_millis()),
            ("quarantined", &is_quarantined),
        ]);
    }
    peers::push_crashes(gateway);
    update_blame(gateway, BlameSource::Own);
}

/// Records that a request, sent to its server at `sent_at`, has begun its response or ended well, which clears
/// its suspects of earlier crashes.
pub(super) fn record_success(gateway: &Rc<Gateway>, sent_at: Timestamp, suspects: &[Suspect]) {
    let now = gateway.now();
    let mut state = gateway.state.borrow_mut();
    let cleared = state.note_success(now, sent_at, suspects);
    drop(state);
    if cleared.is_empty() {
        return;
    }
    for fingerprint in cleared {
        LogEvent::CrashSuspectCleared.log(&[("fingerprint", &hex(fingerprint))]);
    }
    peers::push_cleared(gateway);
    update_blame(gateway, BlameSource::Own);
}

/// Who found what changed the blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BlameSource {
    /// This VM.
    Own,
    /// Another VM, or the store.
    Other,
}

/// Logs which suspects are blamed now and which no longer, and has the store changed.
pub(super) fn update_blame(gateway: &Rc<Gateway>, source: BlameSource) {
    let now = gateway.now();
    let mut is_withdrawn = false;
    let mut delays = Vec::new();
    {
        let state = gateway.state.borrow();
        let guard = state.crash_guard();
        let mut known = gateway.crash_checks.blamed.borrow_mut();
        known.retain(|&fingerprint| {
            let is_blamed = guard.is_blamed(fingerprint);
            if !is_blamed {
                let is_cleared = guard.is_cleared(fingerprint);
                is_withdrawn = true;
                LogEvent::CrashBlameWithdrawn
                    .log(&[("fingerprint", &hex(fingerprint)), ("cleared", &is_cleared)]);
            }
            is_blamed
        });
        for (&fingerprint, &refused_from) in guard.blamed() {
            if !known.insert(fingerprint) {
                continue;
            }
            let delay = refused_from.saturating_sub(now);
            LogEvent::CrashBlamed.log(&[
                ("fingerprint", &hex(fingerprint)),
                ("scope", &scope_name(guard.scope(fingerprint))),
                ("refused_in_ms", &delay.as_millis()),
            ]);
            delays.push(delay);
        }
    }
    if is_withdrawn {
        crash_store::request_sync(gateway, source);
    }
    for delay in delays {
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            // A request with the suspect is refused once the time is past.
            actix_rt::time::sleep(delay + Duration::from_millis(1)).await;
            gateway.crash_checks.refusal_notify.notify_waiters();
            crash_store::request_sync(&gateway, source);
        });
    }
}

/// Waits until requests with one of these suspects are refused.
pub(super) async fn until_refused(gateway: &Gateway, suspects: &[Suspect]) -> CrashRefusal {
    loop {
        let notified = gateway.crash_checks.refusal_notify.notified();
        let now = gateway.now();
        let refusal = gateway.state.borrow().crash_refusal(now, suspects);
        if let Some(refusal) = refusal {
            return refusal;
        }
        notified.await;
    }
}

/// Why a request with a refused suspect is not run.
pub(super) const fn refusal_message(refusal: &CrashRefusal) -> &'static str {
    match refusal.suspect.scope {
        SuspectScope::Part { .. } | SuspectScope::PartOfAnyModel { .. } => {
            "a part of the prompt crashed backend servers and is not run again"
        }
        SuspectScope::Stream | SuspectScope::Prompt | SuspectScope::Request => {
            "the request crashed backend servers and is not run again"
        }
    }
}

fn scope_name(scope: Option<SuspectScope>) -> String {
    match scope {
        Some(SuspectScope::Part { position }) => format!("part-{position}"),
        Some(SuspectScope::PartOfAnyModel { position }) => format!("part-{position}-any-model"),
        Some(SuspectScope::Prompt) => "prompt".to_owned(),
        Some(SuspectScope::Stream) => "stream".to_owned(),
        Some(SuspectScope::Request) | None => "request".to_owned(),
    }
}

/// Fingerprint or crash as the log has it.
pub(super) fn hex(id: u64) -> String {
    format!("{id:016x}")
}
