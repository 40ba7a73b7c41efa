//! Permits for requests to rate-limited servers in a large fleet: for each server, one VM hands out
//! what the limit allows, and the others ask it before each request.

use std::net::IpAddr;
use std::rc::Rc;

use tokio::sync::oneshot;
use verbenahinge_core::ServerName;
use verbenahinge_core::hash::hash64;

use super::load::{QUERY_TIMEOUT, SLOW_PENALTY};
use super::send_to;
use crate::gateway::Gateway;
use crate::gateway::peer_message::{LimitMessage, MessageKind, PeerMessage};

/// Asks the VM that hands out permits for a server; returns whether it grants one in time.
pub(in crate::gateway) async fn request_permit(gateway: &Gateway, server: &ServerName) -> bool {
    let now = gateway.now();
    let hash = hash64(server.as_bytes());
    let Some(ip) = gateway.peers.aggregator(now, hash) else {
        return gateway.state.borrow_mut().grant_permit(now, hash);
    };
    let peers = &gateway.peers;
    let query_id = peers.new_query_id();
    let (completion, completed) = oneshot::channel();
    peers
        .pending_permits
        .borrow_mut()
        .insert(query_id, completion);
    let mut message = permit_message(gateway, hash, query_id);
    message.is_permit_query = true;
    send_to(gateway, MessageKind::PermitQuery, message, &[ip]).await;
    let reply = verbenahinge_http::timeout(QUERY_TIMEOUT, completed).await;
    peers.pending_permits.borrow_mut().remove(&query_id);
    if let Ok(Ok(is_granted)) = reply {
        return is_granted;
    }
    let mut slow_until = peers.slow_until.borrow_mut();
    slow_until.insert(ip, now + SLOW_PENALTY);
    false
}

/// Message about one server, with what this VM knows of its limit.
fn permit_message(gateway: &Gateway, server: u64, query_id: u64) -> PeerMessage {
    let now = gateway.now();
    let state = gateway.state.borrow();
    let mut message = PeerMessage::new(state.digest_without_load(now), Vec::new(), Vec::new());
    let report = state.limit_report(now, server);
    message.limits = report.into_iter().map(LimitMessage::from_report).collect();
    message.permit_server = server;
    message.query_id = query_id;
    message
}

/// Handles a message that asks for a permit, or that replies to such a query.
pub(super) fn handle_permit(gateway: &Rc<Gateway>, from: IpAddr, message: &PeerMessage) {
    let query_id = message.query_id;
    if !message.is_permit_query {
        let completion = gateway.peers.pending_permits.borrow_mut().remove(&query_id);
        if completion.is_none_or(|completion| completion.send(message.is_permitted).is_err()) {
            log::debug!("permit query {query_id} timed out before its reply");
        }
        return;
    }
    let now = gateway.now();
    let mut reply = permit_message(gateway, message.permit_server, query_id);
    reply.is_permitted = gateway
        .state
        .borrow_mut()
        .grant_permit(now, message.permit_server);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        send_to(&gateway, MessageKind::PermitReply, reply, &[from]).await;
    });
}

/// Tells all known VMs of a limit that has begun, ended or changed, if the fleet is large: full
/// digests reach all VMs of a small one within half a second.
pub(in crate::gateway) fn push_limit(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    if !gateway.peers.is_large_fleet(now) {
        return;
    }
    let message = {
        let state = gateway.state.borrow();
        let mut message = PeerMessage::new(state.digest_without_load(now), Vec::new(), Vec::new());
        let report = state.limit_report(now, hash64(server.as_bytes()));
        message.limits = report.into_iter().map(LimitMessage::from_report).collect();
        message
    };
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.known_addresses();
        send_to(&gateway, MessageKind::Limit, message, &receivers).await;
    });
}
