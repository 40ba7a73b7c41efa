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
use verbenahinge_core::gateway::ServerDigest;
use verbenahinge_core::hash::mix64;
use verbenahinge_platform::node_file::VmSettings;

pub(super) use self::feeds::{answer_feed, fetch_feed, push_news};
use self::feeds::{feed_messages, take_feed};
use self::load::{Question, take_question, tell_gatherers};
pub(super) use self::load::{ask_load, tell_load};
use super::peer_message::{PeerMessage, address_number, pack_ip, unpack_ip};
use super::{Gateway, watch};
use crate::event_log::LogEvent;

/// Time between two digests; a few of them fit into the time that an engine takes for one prompt.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Digests after which a complete one is sent, also when nothing has changed.
const FULL_EVERY: u32 = 5;

/// Time after which a VM that was not heard of counts as lost; each VM hears of each other one
/// several times in it.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// Time after which a VM that was not heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(40);

/// VMs that one digest names, so that all learn of all.
const MEMBERS_NAMED: usize = 6;

/// VMs that a VM sends its digests to at most.
const FANOUT: usize = 16;

/// Rounds after which VMs that are many tell each other what they know of the store.
const GOSSIP_EVERY: u32 = 3;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 16 << 10;

#[derive(Clone, Copy, Debug)]
struct Member {
    heard: Option<Timestamp>,
    added: Timestamp,
}

impl Member {
    fn is_live(self, now: Timestamp) -> bool {
        self.heard.is_some_and(|heard| heard + LOST_AFTER > now)
    }
}

/// Other VMs, and the socket to them.
pub(crate) struct Peers {
    socket: UdpSocket,
    port: u16,
    own_ip: IpAddr,
    members: RefCell<BTreeMap<IpAddr, Member>>,
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
            own_ip: settings.ip,
            members: RefCell::default(),
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
        if ip != self.own_ip {
            let mut members = self.members.borrow_mut();
            members.entry(ip).or_insert(Member {
                heard: None,
                added: now,
            });
        }
    }

    fn remove(&self, ip: IpAddr) {
        self.members.borrow_mut().remove(&ip);
    }

    /// Takes note of a word from a VM; says whether it is the first one.
    fn heard(&self, now: Timestamp, ip: IpAddr) -> bool {
        let member = Member {
            heard: Some(now),
            added: now,
        };
        let old = self.members.borrow_mut().insert(ip, member);
        old.is_none_or(|old| !old.is_live(now))
    }

    /// Place of this VM among those that live, the same on all of them.
    pub(crate) fn rank(&self, now: Timestamp) -> usize {
        let order = |ip: IpAddr| mix64(address_number(ip), 0x7761_7463);
        let own = order(self.own_ip);
        let members = self.members.borrow();
        let live = members.iter().filter(|(_, member)| member.is_live(now));
        live.filter(|&(&ip, _)| order(ip) < own).count()
    }

    /// Says whether no other VM is heard of.
    pub(crate) fn is_lonely(&self, now: Timestamp) -> bool {
        let members = self.members.borrow();
        !members.values().any(|member| member.is_live(now))
    }

    fn forget_old(&self, now: Timestamp) {
        let mut members = self.members.borrow_mut();
        members.retain(|_, member| {
            let last = member
                .heard
                .map_or(member.added, |heard| heard.max(member.added));
            last + FORGET_AFTER > now
        });
    }

    /// VMs that get the digest of a round.
    fn receivers(&self, now: Timestamp, round: u32) -> Vec<IpAddr> {
        let members = self.members.borrow();
        let mut receivers = Vec::new();
        for (&ip, member) in members.iter() {
            if member.is_live(now) || round.is_multiple_of(FULL_EVERY) {
                receivers.push(ip);
            }
        }
        if receivers.len() > FANOUT {
            // Everyone gets a turn within a few rounds.
            let turns = receivers.len().div_ceil(FANOUT);
            let turn = usize::try_from(round).unwrap_or(0) % turns;
            return receivers.into_iter().skip(turn).step_by(turns).collect();
        }
        receivers
    }

    /// Says whether there are too many VMs for each to tell each other one its load.
    pub(crate) fn is_large(&self, now: Timestamp) -> bool {
        self.live(now) > FANOUT
    }

    /// Number of other VMs that live.
    pub(crate) fn live(&self, now: Timestamp) -> usize {
        let members = self.members.borrow();
        members
            .values()
            .filter(|member| member.is_live(now))
            .count()
    }

    fn all(&self) -> Vec<IpAddr> {
        self.members.borrow().keys().copied().collect()
    }

    fn named(&self, round: u32) -> Vec<u32> {
        let members = self.members.borrow();
        let skip = usize::try_from(round).unwrap_or(0) * MEMBERS_NAMED;
        members
            .keys()
            .cycle()
            .skip(skip % members.len().max(1))
            .take(MEMBERS_NAMED.min(members.len()))
            .filter_map(|&ip| pack_ip(ip))
            .collect()
    }

    async fn send(&self, message: &PeerMessage, receivers: &[IpAddr]) {
        let datagram = message.encode_to_vec();
        for &ip in receivers {
            let address = SocketAddr::from((ip, self.port));
            if let Err(error) = self.socket.send_to(&datagram, address).await {
                log::debug!("digest to {address} not sent: {error}");
            }
        }
    }
}

/// Sends digests for as long as the process lives.
pub(super) async fn send(gateway: Rc<Gateway>) {
    let mut round = 0_u32;
    let mut last: BTreeMap<u64, ServerDigest> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(DIGEST_INTERVAL).await;
        round = round.wrapping_add(1);
        let now = gateway.now();
        gateway.peers.forget_old(now);
        let is_full = round.is_multiple_of(FULL_EVERY);
        let mut digest = gateway.state.borrow().digest(now);
        if !is_full {
            digest
                .servers
                .retain(|server| last.get(&server.server) != Some(server));
            digest.crashes.clear();
        }
        for server in &digest.servers {
            last.insert(server.server, server.clone());
        }
        if gateway.peers.is_large(now) {
            tell_gatherers(&gateway, now, std::mem::take(&mut digest.servers)).await;
            if !round.is_multiple_of(GOSSIP_EVERY) {
                continue;
            }
        } else if digest.servers.is_empty() && !is_full {
            continue;
        }
        let members = if is_full {
            gateway.peers.named(round)
        } else {
            Vec::new()
        };
        let message = PeerMessage::new(digest, feed_messages(&gateway), members);
        let receivers = gateway.peers.receivers(now, round);
        gateway.peers.send(&message, &receivers).await;
    }
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
        gateway.state.borrow().own_digest(gateway.now()),
        Vec::new(),
        Vec::new(),
    );
    message.is_leaving = true;
    let receivers = gateway.peers.all();
    gateway.peers.send(&message, &receivers).await;
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
        gateway.peers.remove(from);
        gateway.state.borrow_mut().forget_peer(message.vm);
        LogEvent::PeerLost.log(&[("address", &from), ("cause", &"it is about to end")]);
        return;
    }
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
        .note_digest(now, &message.into_digest());
    if gateway.peers.heard(now, from) {
        LogEvent::PeerLinked.log(&[("address", &from)]);
        welcome(gateway, from);
    }
}

/// Tells a VM that is new of all others.
fn welcome(gateway: &Rc<Gateway>, to: IpAddr) {
    let members = gateway.peers.all();
    let members = members.into_iter().filter_map(pack_ip).collect();
    let digest = gateway.state.borrow().own_digest(gateway.now());
    let message = PeerMessage::new(digest, feed_messages(gateway), members);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { gateway.peers.send(&message, &[to]).await });
}
