//! Digests between VMs, over UDP: losing one does no harm, since the next one says it all.

mod feeds;
mod load;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{DIGEST_INTERVAL, Members, PeerDigest, ServerDigest};
use verbenahinge_platform::node_file::VmSettings;

pub(super) use self::feeds::{answer_feed, fetch_feed, push_news};
use self::feeds::{feed_messages, take_feed};
use self::load::{Question, take_question, tell_gatherers};
pub(super) use self::load::{ask_load, tell_load};
use super::peer_message::{MessageKind, PeerMessage, pack_ip, unpack_ip};
use super::{Gateway, watch};
use crate::event_log::LogEvent;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Other VMs, and the socket to them.
pub(crate) struct Peers {
    socket: UdpSocket,
    port: u16,
    members: RefCell<Members>,
    is_announced: Cell<bool>,
    next_question: Cell<u64>,
    questions: RefCell<BTreeMap<u64, Question>>,
    slow: RefCell<BTreeMap<IpAddr, Timestamp>>,
}

impl Peers {
    /// Opens the socket; the seeds are the first VMs that are tried.
    pub(crate) async fn bind(settings: &VmSettings) -> io::Result<Self> {
        let address = SocketAddr::from((settings.ip, settings.peer_port));
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
        let peers = Self {
            socket,
            port: settings.peer_port,
            members: RefCell::new(Members::new(settings.ip)),
            is_announced: Cell::new(false),
            next_question: Cell::new(0),
            questions: RefCell::default(),
            slow: RefCell::default(),
        };
        for seed in &settings.seeds {
            peers.add(Duration::ZERO, seed.ip());
        }
        Ok(peers)
    }

    /// Takes note of a VM that may exist.
    pub(crate) fn add(&self, now: Timestamp, ip: IpAddr) {
        self.members.borrow_mut().add(now, ip);
    }

    /// Place of this VM among those that live, the same on all of them.
    pub(crate) fn rank(&self, now: Timestamp) -> usize {
        self.members.borrow().watcher_rank(now)
    }

    /// Says whether no other VM is heard of.
    pub(crate) fn is_lonely(&self, now: Timestamp) -> bool {
        self.live(now) == 0
    }

    /// Says whether there are too many VMs for each to tell each other one its load.
    pub(crate) fn is_large(&self, now: Timestamp) -> bool {
        self.members.borrow().is_large(now)
    }

    /// Number of other VMs that live.
    pub(crate) fn live(&self, now: Timestamp) -> usize {
        self.members.borrow().live_addresses(now).count()
    }

    /// Time after which a VM that was not heard of counts as lost.
    pub(crate) fn lost_after(&self) -> Duration {
        self.members.borrow().lost_after()
    }

    fn all(&self) -> Vec<IpAddr> {
        self.members.borrow().known_addresses().collect()
    }
}

/// Sends a message to some VMs, and counts what it costs.
async fn send_to(
    gateway: &Gateway,
    kind: MessageKind,
    mut message: PeerMessage,
    receivers: &[IpAddr],
) {
    let peers = &gateway.peers;
    let known = peers.members.borrow().known_count();
    message.known = u32::try_from(known).unwrap_or(u32::MAX);
    let datagram = message.encode_to_vec();
    let metrics = &gateway.metrics;
    metrics.note_sent(kind, receivers.len(), datagram.len());
    for &ip in receivers {
        let address = SocketAddr::from((ip, peers.port));
        if let Err(error) = peers.socket.send_to(&datagram, address).await {
            log::debug!("message to {address} not sent: {error}");
        }
    }
}

/// Sends digests for as long as the process lives.
pub(super) async fn send(gateway: Rc<Gateway>) {
    let mut last: BTreeMap<u64, ServerDigest> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(DIGEST_INTERVAL).await;
        let now = gateway.now();
        let mut digest = gateway.state.borrow().full_digest(now);
        let mut changed = digest.servers.clone();
        changed.retain(|server| last.get(&server.server) != Some(server));
        for server in &changed {
            last.insert(server.server, server.clone());
        }
        let round = {
            let mut members = gateway.peers.members.borrow_mut();
            members.next_round(now, !changed.is_empty())
        };
        if !round.is_full {
            digest.servers = changed;
            digest.crashes.clear();
        }
        if gateway.peers.is_large(now) {
            tell_gatherers(&gateway, now, std::mem::take(&mut digest.servers)).await;
        }
        if round.receivers.is_empty() {
            continue;
        }
        let named = if round.is_full {
            gateway.peers.members.borrow().gossip_addresses()
        } else {
            Vec::new()
        };
        let message = new_message(&gateway, digest, &named);
        send_to(&gateway, MessageKind::Digest, message, &round.receivers).await;
    }
}

/// Makes a message that tells some VMs' addresses and the versions of the copies.
fn new_message(gateway: &Gateway, digest: PeerDigest, named: &[IpAddr]) -> PeerMessage {
    let named = named.iter().filter_map(|&ip| pack_ip(ip)).collect();
    PeerMessage::new(digest, feed_messages(gateway), named)
}

/// Writes the address of this VM into the store once it watches for others.
pub(super) fn announce_watcher(gateway: &Rc<Gateway>) {
    if !gateway.peers.is_announced.replace(true) {
        actix_rt::spawn(watch::write_address(Rc::clone(gateway)));
    }
}

/// Tells the other VMs that this one is about to end.
pub(super) async fn say_farewell(gateway: &Gateway) {
    let mut message = PeerMessage::new(
        gateway.state.borrow().digest_without_load(gateway.now()),
        Vec::new(),
        Vec::new(),
    );
    message.is_leaving = true;
    let receivers = gateway.peers.all();
    send_to(gateway, MessageKind::Farewell, message, &receivers).await;
}

/// Receives digests for as long as the process lives.
pub(super) async fn receive(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match gateway.peers.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("no digest received: {error}");
                actix_rt::time::sleep(DIGEST_INTERVAL).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => take_in(&gateway, from.ip(), message),
            Err(error) => {
                LogEvent::DigestUnreadable.log(&[("address", &from), ("cause", &error)]);
            }
        }
    }
}

fn take_in(gateway: &Rc<Gateway>, from: IpAddr, mut message: PeerMessage) {
    let now = gateway.now();
    if message.is_leaving {
        gateway.peers.members.borrow_mut().remove(from);
        gateway.state.borrow_mut().forget_peer(message.vm);
        LogEvent::PeerLost.log(&[("address", &from), ("cause", &"it is about to end")]);
        return;
    }
    let known = usize::try_from(message.known).unwrap_or(usize::MAX);
    for &bits in &message.members {
        gateway.peers.add(now, unpack_ip(bits));
    }
    for feed in std::mem::take(&mut message.feeds) {
        take_feed(gateway, from, feed);
    }
    if message.question > 0 {
        take_question(gateway, from, &mut message);
    }
    gateway
        .state
        .borrow_mut()
        .apply_digest(now, &message.into_digest());
    if gateway.peers.members.borrow_mut().record_message(now, from) {
        LogEvent::PeerLinked.log(&[("address", &from)]);
        welcome(gateway, from, known);
    }
}

/// Tells a VM that did not count as live of others, if it knows of fewer.
fn welcome(gateway: &Rc<Gateway>, to: IpAddr, known: usize) {
    let told = gateway.peers.members.borrow().addresses_for_new(known);
    let digest = gateway.state.borrow().digest_without_load(gateway.now());
    let message = new_message(gateway, digest, &told);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { send_to(&gateway, MessageKind::Welcome, message, &[to]).await });
}
