//! Crash records that are sent as soon as they are found.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::hash::jitter;

use super::send_to;
use crate::gateway::Gateway;
use crate::gateway::peer_message::{CrashMessage, MessageKind, PeerMessage};

/// Time in which crash records are collected before they are sent: a server that crashes ends all of
/// its connections at the same moment.
const CRASH_PUSH_DELAY: Duration = Duration::from_millis(10);

/// Time over which VMs spread the news that a suspect is cleared, so that most hear it before they
/// would send it; it is short against the time until a blamed part is refused.
const CLEARED_SPREAD: Duration = Duration::from_millis(30);

/// The same in a large fleet, in which a message takes longer to reach all.
const LARGE_FLEET_CLEARED_SPREAD: Duration = Duration::from_millis(150);

/// Records in one datagram, which stays below the usual maximum of 1,500 bytes for most records.
const RECORDS_PER_DATAGRAM: usize = 32;

/// Messages about crashes that are about to be sent.
#[derive(Default)]
pub(super) struct CrashPushes {
    has_pending_crashes: Cell<bool>,
    has_pending_cleared: Cell<bool>,
}

/// Tells all known VMs the new crash records, once for all crashes within [`CRASH_PUSH_DELAY`].
pub(in crate::gateway) fn push_crashes(gateway: &Rc<Gateway>) {
    if gateway.peers.crash_pushes.has_pending_crashes.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(CRASH_PUSH_DELAY).await;
        gateway.peers.crash_pushes.has_pending_crashes.set(false);
        send_news(&gateway).await;
    });
}

/// Tells all known VMs which suspects this one has cleared, unless it hears that from another first.
pub(in crate::gateway) fn push_cleared(gateway: &Rc<Gateway>) {
    if gateway.peers.crash_pushes.has_pending_cleared.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let spread = if gateway.peers.is_large_fleet(gateway.now()) {
            LARGE_FLEET_CLEARED_SPREAD
        } else {
            CLEARED_SPREAD
        };
        actix_rt::time::sleep(jitter(rand::random(), spread)).await;
        gateway.peers.crash_pushes.has_pending_cleared.set(false);
        send_news(&gateway).await;
    });
}

async fn send_news(gateway: &Gateway) {
    let now = gateway.now();
    let (news, digest) = {
        let mut state = gateway.state.borrow_mut();
        (state.take_crash_news(now), state.digest_without_load(now))
    };
    let receivers = gateway.peers.known_addresses();
    for records in news.chunks(RECORDS_PER_DATAGRAM) {
        let mut message = PeerMessage::new(digest.clone(), Vec::new(), Vec::new());
        let records = records.iter().cloned();
        message.crashes = records.map(CrashMessage::from_record).collect();
        send_to(gateway, MessageKind::Crash, message, &receivers).await;
    }
}
