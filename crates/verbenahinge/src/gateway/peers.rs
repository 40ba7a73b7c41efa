//! Digests between VMs, over UDP: losing one does no harm, since the next one says it all.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prost::Message as _;
use tokio::net::UdpSocket;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::ServerDigest;
use verbenahinge_platform::node_file::VmSettings;
use verbenahinge_platform::routing;

use super::control::ROUTING_PATH;
use super::peer_message::{PeerMessage, pack_ip, unpack_ip};
use super::{Gateway, watch};
use crate::event_log::LogEvent;

/// Time between two digests; a few of them fit into the time that an engine takes for one prompt.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Digests after which a complete one is sent, also when nothing has changed.
const FULL_EVERY: u32 = 8;

/// Time after which a VM that was not heard of gets digests less often.
const QUIET_AFTER: Duration = Duration::from_secs(3);

/// Time after which a VM that was not heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(40);

/// VMs that one digest names, so that all learn of all.
const MEMBERS_NAMED: usize = 6;

/// VMs that a VM sends its digests to at most.
const FANOUT: usize = 16;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Time for which a newer version is left to the store's own watch before a VM is asked for it.
const ASK_AFTER: Duration = Duration::from_millis(250);

/// Time within which a VM answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest configuration that is read from another VM.
const ROUTING_LIMIT_BYTES: usize = 8 << 20;

#[derive(Clone, Copy, Debug)]
struct Member {
    heard: Timestamp,
}

/// Other VMs, and the socket to them.
pub(crate) struct Peers {
    socket: UdpSocket,
    port: u16,
    own_ip: IpAddr,
    members: RefCell<BTreeMap<IpAddr, Member>>,
    asking: RefCell<BTreeSet<IpAddr>>,
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
            asking: RefCell::default(),
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
            members.entry(ip).or_insert(Member { heard: now });
        }
    }

    fn remove(&self, ip: IpAddr) {
        self.members.borrow_mut().remove(&ip);
    }

    fn heard(&self, now: Timestamp, ip: IpAddr) {
        self.members.borrow_mut().insert(ip, Member { heard: now });
    }

    /// VMs that get the next digest, those that were heard of lately first.
    fn receivers(&self, now: Timestamp, round: u32) -> Vec<IpAddr> {
        let mut members = self.members.borrow_mut();
        members.retain(|_, member| member.heard + FORGET_AFTER > now);
        let mut receivers = Vec::new();
        for (&ip, member) in members.iter() {
            let is_quiet = member.heard + QUIET_AFTER < now;
            if !is_quiet || round.is_multiple_of(FULL_EVERY) {
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
}

/// Sends digests for as long as the process lives.
pub(super) async fn send(gateway: Rc<Gateway>) {
    let mut round = 0_u32;
    let mut last: BTreeMap<u64, ServerDigest> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(DIGEST_INTERVAL).await;
        round = round.wrapping_add(1);
        let now = gateway.now();
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
        if digest.servers.is_empty() && !is_full {
            continue;
        }
        let members = if is_full {
            gateway.peers.named(round)
        } else {
            Vec::new()
        };
        send_to_all(
            &gateway,
            PeerMessage::new(digest, members, false),
            now,
            round,
        )
        .await;
    }
}

async fn send_to_all(gateway: &Gateway, message: PeerMessage, now: Timestamp, round: u32) {
    let datagram = message.encode_to_vec();
    for ip in gateway.peers.receivers(now, round) {
        let address = SocketAddr::from((ip, gateway.peers.port));
        if let Err(error) = gateway.peers.socket.send_to(&datagram, address).await {
            log::debug!("digest to {address} not sent: {error}");
        }
    }
}

/// Tells the other VMs that this one is about to end.
pub(super) async fn say_farewell(gateway: &Gateway) {
    let now = gateway.now();
    let digest = gateway.state.borrow().digest(now);
    let message = PeerMessage::new(digest, Vec::new(), true);
    send_to_all(gateway, message, now, 0).await;
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

fn take_in(gateway: &Rc<Gateway>, from: IpAddr, message: PeerMessage) {
    let now = gateway.now();
    if message.is_leaving {
        gateway.peers.remove(from);
        LogEvent::PeerLost.log(&[("address", &from), ("cause", &"it is about to end")]);
        return;
    }
    gateway.peers.heard(now, from);
    for &bits in &message.members {
        gateway.peers.add(now, unpack_ip(bits));
    }
    let digest = message.into_digest();
    let version = digest.config_version;
    let (is_new, is_behind) = {
        let mut state = gateway.state.borrow_mut();
        let is_new = state.note_digest(now, &digest);
        (is_new, version > state.config_version())
    };
    if is_new {
        LogEvent::PeerLinked.log(&[("address", &from)]);
    }
    if is_behind && gateway.peers.asking.borrow_mut().insert(from) {
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ASK_AFTER).await;
            if version > gateway.state.borrow().config_version() {
                ask_for_routing(&gateway, from).await;
            }
            gateway.peers.asking.borrow_mut().remove(&from);
        });
    }
}

/// Reads the configuration from a VM that has a newer version, when the store does not tell.
async fn ask_for_routing(gateway: &Gateway, from: IpAddr) {
    let control = gateway.settings.borrow().control_listen;
    let Some(control) = control else {
        return;
    };
    let address = SocketAddr::from((from, control.port()));
    match actix_rt::time::timeout(ASK_TIMEOUT, fetch(address)).await {
        Ok(Ok(bytes)) => match routing::decode(&bytes) {
            Ok(routing) => watch::adopt(gateway, routing, bytes, "peer"),
            Err(error) => {
                LogEvent::ConfigUnreadable.log(&[("source", &address), ("cause", &error)])
            }
        },
        Ok(Err(error)) => log::debug!("no configuration from {address}: {error}"),
        Err(_) => log::debug!("no configuration from {address} in time"),
    }
}

async fn fetch(address: SocketAddr) -> io::Result<Bytes> {
    let stream = verbenahinge_http::connect(address, ASK_TIMEOUT).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    let request = Request::get(ROUTING_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let body = Limited::new(answer.into_body(), ROUTING_LIMIT_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    driver.abort();
    Ok(body.to_bytes())
}
