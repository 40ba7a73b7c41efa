//! Server load in a large fleet: for each server, one VM aggregates the load that all VMs put on it,
//! and the others query that VM.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use verbenahinge_core::gateway::{
    Call, EnginePaceReport, PeerDigest, Prompt, ServerDigest, address_number,
};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{ServerName, Timestamp};

use super::{Peers, send_to};
use crate::gateway::Gateway;
use crate::gateway::peer_message::{
    MessageKind, PaceMessage, PeerMessage, decode_server, encode_server,
};

/// Maximum time to wait for aggregated load from other VMs: a few network round trips.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(15);

/// Time for which a VM that did not reply in time is not used as an aggregator.
pub(super) const SLOW_PENALTY: Duration = Duration::from_secs(1);

/// A load query that some of the queried VMs have not replied to yet.
pub(super) struct PendingQuery {
    outstanding: usize,
    completion: Option<oneshot::Sender<()>>,
}

impl Peers {
    /// VM that aggregates the load on a server, or `None` if it is this one.
    ///
    /// VMs that count the same VMs as live and responsive pick the same one.
    pub(super) fn aggregator(&self, now: Timestamp, server: u64) -> Option<IpAddr> {
        let weight = |ip: IpAddr| mix64(server, address_number(ip));
        let members = self.members.borrow();
        let slow_until = self.slow_until.borrow();
        let mut best = (weight(members.own_address()), None);
        for ip in members.live_addresses(now) {
            let is_slow = slow_until.get(&ip).is_some_and(|until| *until > now);
            if !is_slow && weight(ip) > best.0 {
                best = (weight(ip), Some(ip));
            }
        }
        best.1
    }
}

/// Sends the load on each server, and the pace of engines, to the VMs that aggregate them.
pub(super) async fn send_to_aggregators(
    gateway: &Gateway,
    now: Timestamp,
    servers: Vec<ServerDigest>,
    paces: Vec<EnginePaceReport>,
) {
    let mut by_vm: BTreeMap<IpAddr, (Vec<ServerDigest>, Vec<EnginePaceReport>)> = BTreeMap::new();
    for server in servers {
        if let Some(ip) = gateway.peers.aggregator(now, server.server) {
            by_vm.entry(ip).or_default().0.push(server);
        }
    }
    for pace in paces {
        if let Some(ip) = gateway.peers.aggregator(now, pace.server) {
            by_vm.entry(ip).or_default().1.push(pace);
        }
    }
    for (ip, (servers, paces)) in by_vm {
        let digest = PeerDigest {
            servers,
            paces,
            ..gateway.state.borrow().digest_without_load(now)
        };
        let message = PeerMessage::new(digest, Vec::new(), Vec::new());
        send_to(gateway, MessageKind::Load, message, &[ip]).await;
    }
}

/// Sends the load on one server to the VM that aggregates it, if the fleet is large.
///
/// Called at the start of an attempt, so that the aggregator counts it before the next digest.
pub(in crate::gateway) fn send_load(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    if !gateway.peers.is_large_fleet(now) {
        return;
    }
    let load = gateway.state.borrow().own_load(server);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        send_to_aggregators(&gateway, now, load.into_iter().collect(), Vec::new()).await;
    });
}

/// Queries the aggregated load on some servers and waits up to [`QUERY_TIMEOUT`] for all replies.
pub(in crate::gateway) async fn query_load(gateway: &Gateway, servers: &[ServerName], call: &Call) {
    let now = gateway.now();
    let mut by_vm: BTreeMap<IpAddr, Vec<u64>> = BTreeMap::new();
    for server in servers {
        let hash = hash64(server.as_bytes());
        if let Some(ip) = gateway.peers.aggregator(now, hash) {
            by_vm.entry(ip).or_default().push(hash);
        }
    }
    if by_vm.is_empty() {
        return;
    }
    let peers = &gateway.peers;
    let query_id = peers.new_query_id();
    let (completion, completed) = oneshot::channel();
    let outstanding = by_vm.len();
    let receivers: Vec<IpAddr> = by_vm.keys().copied().collect();
    peers.pending_queries.borrow_mut().insert(
        query_id,
        PendingQuery {
            outstanding,
            completion: Some(completion),
        },
    );
    let shared_parts = call.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
    for (ip, servers) in by_vm {
        let digest = gateway.state.borrow().digest_without_load(now);
        let mut message = PeerMessage::new(digest, Vec::new(), Vec::new());
        message.queried_servers = servers;
        message.queried_parts = shared_parts.iter().map(|part| part.id).collect();
        message.query_id = query_id;
        send_to(gateway, MessageKind::LoadQuery, message, &[ip]).await;
    }
    let in_time = verbenahinge_http::timeout(QUERY_TIMEOUT, completed).await;
    peers.pending_queries.borrow_mut().remove(&query_id);
    if let ([only], true) = (receivers.as_slice(), in_time.is_err()) {
        peers
            .slow_until
            .borrow_mut()
            .insert(*only, now + SLOW_PENALTY);
    }
}

/// Handles a message that queries aggregated load, or that replies to such a query.
pub(super) fn handle_query_or_reply(
    gateway: &Rc<Gateway>,
    from: IpAddr,
    message: &mut PeerMessage,
) {
    let now = gateway.now();
    let query_id = message.query_id;
    for server in std::mem::take(&mut message.aggregated) {
        gateway
            .state
            .borrow_mut()
            .note_aggregated_load(now, decode_server(server));
    }
    if message.queried_servers.is_empty() {
        let mut pending_queries = gateway.peers.pending_queries.borrow_mut();
        if let Some(pending) = pending_queries.get_mut(&query_id) {
            pending.outstanding = pending.outstanding.saturating_sub(1);
            if pending.outstanding == 0
                && let Some(completion) = pending.completion.take()
                && completion.send(()).is_err()
            {
                log::debug!("load query {query_id} timed out before its last reply");
            }
        }
        return;
    }
    let mut reply = {
        let state = gateway.state.borrow();
        let mut reply = PeerMessage::new(state.digest_without_load(now), Vec::new(), Vec::new());
        for server in std::mem::take(&mut message.queried_servers) {
            let parts = &message.queried_parts;
            let pace = state.pooled_pace_report(now, server);
            reply
                .pooled_paces
                .extend(pace.map(PaceMessage::from_report));
            if let Some(digest) = state.aggregated_load_for(now, message.vm, server, parts) {
                reply.aggregated.push(encode_server(digest));
            }
        }
        reply
    };
    reply.query_id = query_id;
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { send_to(&gateway, MessageKind::LoadReply, reply, &[from]).await });
}
