//! Backend servers that say that they leave: all VMs learn it from the first one that is told.

use std::net::IpAddr;
use std::rc::Rc;

use verbenahinge_core::gateway::{LeavingNews, ServerStart};

use super::send_to;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::gateway::peer_message::{LeavingMessage, MessageKind, PeerMessage};

/// Records that an answer of a server says that it leaves, and tells all known VMs if the server was in
/// use here; if it was not, the registry has told them.
pub(in crate::gateway) fn note_leaving(gateway: &Rc<Gateway>, start: &ServerStart) {
    if record_leaving(gateway, start, None) == LeavingNews::Stopped {
        push_leaving(gateway, start);
    }
}

/// Records what another VM was told by servers that leave.
pub(super) fn handle_leaving(gateway: &Gateway, from: IpAddr, leaving: &[LeavingMessage]) {
    for message in leaving {
        record_leaving(gateway, &message.to_start(), Some(from));
    }
}

fn record_leaving(gateway: &Gateway, start: &ServerStart, peer: Option<IpAddr>) -> LeavingNews {
    let now = gateway.now();
    let news = gateway.state.borrow_mut().note_leaving(now, start);
    if news != LeavingNews::Known {
        let source = if peer.is_some() { "peer" } else { "answer" };
        LogEvent::ServerLeaving.log(&[
            ("server", &start.server),
            ("source", &source),
            (
                "peer",
                &peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string()),
            ),
            ("in_use", &(news == LeavingNews::Stopped)),
        ]);
    }
    news
}

fn push_leaving(gateway: &Rc<Gateway>, start: &ServerStart) {
    let digest = gateway.state.borrow().digest_without_load(gateway.now());
    let mut message = PeerMessage::new(digest, Vec::new(), Vec::new());
    message.leaving.push(LeavingMessage::from_start(start));
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.known_addresses();
        send_to(&gateway, MessageKind::Leaving, message, &receivers).await;
    });
}
