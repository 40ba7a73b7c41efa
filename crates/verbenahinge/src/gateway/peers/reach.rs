//! Which VMs are cut off from the servers of which services, so that others take their requests.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use verbenahinge_core::gateway::address_number;
use verbenahinge_core::hash::{hash64, mix64};

use super::send_to;
use crate::gateway::Gateway;
use crate::gateway::peer_message::{MessageKind, PeerMessage, ReachMessage};

/// Services that other VMs are cut off from, by hashes of their names.
#[derive(Default)]
pub(super) struct PeerReach {
    cut_off: RefCell<BTreeMap<IpAddr, BTreeSet<u64>>>,
}

/// Services that this VM is cut off from, in the form for other VMs.
pub(super) fn reach_message(gateway: &Gateway) -> ReachMessage {
    let reach = gateway.reach.borrow();
    let services = reach.cut_off_services();
    ReachMessage {
        cut_off_services: services.map(|name| hash64(name.as_bytes())).collect(),
    }
}

/// Tells all known VMs which services this one is cut off from.
pub(in crate::gateway) fn push_reach(gateway: &Rc<Gateway>) {
    let digest = gateway.state.borrow().digest_without_load(gateway.now());
    let mut message = PeerMessage::new(digest, Vec::new(), Vec::new());
    message.reach = Some(reach_message(gateway));
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.known_addresses();
        send_to(&gateway, MessageKind::Reach, message, &receivers).await;
    });
}

/// Records which services another VM is cut off from.
pub(super) fn handle_reach(gateway: &Gateway, from: IpAddr, message: &ReachMessage) {
    let services: BTreeSet<u64> = message.cut_off_services.iter().copied().collect();
    let mut cut_off = gateway.peers.reach.cut_off.borrow_mut();
    if services.is_empty() {
        cut_off.remove(&from);
    } else {
        cut_off.insert(from, services);
    }
}

/// Live VMs that reach the servers of a service as far as is known, in an order that depends on `seed`.
pub(in crate::gateway) fn vms_in_reach(
    gateway: &Gateway,
    service: &str,
    seed: u64,
) -> Vec<SocketAddr> {
    let service = hash64(service.as_bytes());
    let peers = &gateway.peers;
    let cut_off = peers.reach.cut_off.borrow();
    let members = peers.members.borrow();
    let mut vms = Vec::new();
    for ip in members.live_addresses(gateway.now()) {
        let services = cut_off.get(&ip);
        if services.is_none_or(|services| !services.contains(&service)) {
            vms.push(SocketAddr::new(ip, peers.port));
        }
    }
    vms.sort_by_key(|address| mix64(seed, address_number(address.ip())));
    vms
}
