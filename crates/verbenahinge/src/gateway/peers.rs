//! Messages between VMs over UDP: a lost digest does no harm, since a later full one replaces it.

mod crashes;
mod feeds;
mod leaving;
mod load;
mod permits;
mod reach;
mod streams;
mod usage;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{DIGEST_INTERVAL, LoadChanges, Members, PeerDigest, PeerLoad};
use verbenahinge_core::hash::jitter;
use verbenahinge_platform::node_file::VmSettings;

use self::crashes::CrashPushes;
pub(super) use self::crashes::{push_cleared, push_crashes};
pub(super) use self::feeds::{
    FetchPatience, TableRefusal, encode_feed, fetch_delta, fetch_feed, push_change,
};
use self::feeds::{feed_versions, handle_feed};
use self::leaving::handle_leaving;
pub(super) use self::leaving::note_leaving;
use self::load::{PendingQuery, handle_query_or_reply, send_to_aggregators};
pub(super) use self::load::{query_load, send_load};
use self::permits::handle_permit;
pub(super) use self::permits::{push_limit, request_permit};
use self::reach::{PeerReach, handle_reach, reach_message};
pub(super) use self::reach::{push_reach, vms_in_reach};
use self::streams::{StreamNews, handle_streams};
pub(super) use self::streams::{find_version, push_streams};
pub(super) use self::usage::send_usage;
use self::usage::{duty_message, handle_duties};
use super::peer_message::{
    BrittleMessage, LimitMessage, MessageKind, PeerMessage, pack_ip, unpack_ip,
};
use super::table_body::TableTransfers;
use super::{Gateway, crash_store, thread_holds, watch};
use crate::event_log::LogEvent;

/// Size of the receive buffer; the rest of a longer datagram is lost.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Time over which the VMs of a fleet spread their writes in a new era of the store.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(3);

/// Most crash records in a reply to a VM that starts, which fit into one datagram.
const MAX_WELCOME_RECORDS: usize = 32;

/// Other VMs of the fleet, and the socket for messages to and from them.
pub(crate) struct Peers {
    socket: UdpSocket,
    port: u16,
    members: RefCell<Members>,
    /// Era of the store in which this VM last began to write its address.
    registered_era: Cell<Option<u64>>,
    crash_pushes: CrashPushes,
    stream_news: StreamNews,
    reach: PeerReach,
    last_query_id: Cell<u64>,
    pending_queries: RefCell<BTreeMap<u64, PendingQuery>>,
    pending_permits: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
    slow_until: RefCell<BTreeMap<IpAddr, Timestamp>>,
    table_transfers: TableTransfers,
}

impl Peers {
    /// Binds the socket and adds the seeds as the first VMs to contact.
    pub(crate) async fn bind(now: Timestamp, settings: &VmSettings) -> io::Result<Self> {
        let address = SocketAddr::from((settings.ip, settings.peer_port));
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
        let peers = Self {
            socket,
            port: settings.peer_port,
            members: RefCell::new(Members::new(settings.ip)),
            registered_era: Cell::new(None),
            crash_pushes: CrashPushes::default(),
            stream_news: StreamNews::default(),
            reach: PeerReach::default(),
            last_query_id: Cell::new(0),
            pending_queries: RefCell::default(),
            pending_permits: RefCell::default(),
            slow_until: RefCell::default(),
            table_transfers: TableTransfers::default(),
        };
        for seed in &settings.seeds {
            peers.add(now, seed.ip());
        }
        Ok(peers)
    }

    /// Adds an address that may belong to a VM.
    pub(crate) fn add(&self, now: Timestamp, ip: IpAddr) {
        self.members.borrow_mut().add(now, ip);
    }

    /// Position of this VM in the order in which live VMs are picked to watch the store.
    pub(crate) fn watcher_rank(&self, now: Timestamp) -> usize {
        self.members.borrow().watcher_rank(now)
    }

    /// Rank of this VM, number of other live VMs, and when one was last heard.
    pub(crate) fn lease_standing(&self, now: Timestamp) -> (usize, usize, Option<Timestamp>) {
        let members = self.members.borrow();
        let live = members.live_addresses(now).count();
        (members.watcher_rank(now), live, members.last_heard())
    }

    /// Whether no other VM is live.
    pub(crate) fn is_isolated(&self, now: Timestamp) -> bool {
        self.live_count(now) == 0
    }

    /// Whether the fleet has too many live VMs for each to send its load to all others.
    pub(crate) fn is_large_fleet(&self, now: Timestamp) -> bool {
        self.members.borrow().is_large(now)
    }

    /// Number of other live VMs.
    pub(crate) fn live_count(&self, now: Timestamp) -> usize {
        self.members.borrow().live_addresses(now).count()
    }

    /// Whether another VM is live.
    pub(crate) fn is_live(&self, now: Timestamp, ip: IpAddr) -> bool {
        let members = self.members.borrow();
        members.live_addresses(now).any(|live| live == ip)
    }

    /// Silence after which a VM counts as lost.
    pub(crate) fn lost_after(&self) -> Duration {
        self.members.borrow().lost_after()
    }

    /// Whether this VM has begun to write its address to the store.
    pub(crate) fn is_registered(&self) -> bool {
        self.registered_era.get().is_some()
    }

    fn new_query_id(&self) -> u64 {
        let id = self.last_query_id.get() + 1;
        self.last_query_id.set(id);
        id
    }

    fn known_addresses(&self) -> Vec<IpAddr> {
        self.members.borrow().known_addresses().collect()
    }
}

/// Sends a message to some VMs and counts its messages and bytes.
async fn send_to(
    gateway: &Gateway,
    kind: MessageKind,
    mut message: PeerMessage,
    receivers: &[IpAddr],
) {
    let peers = &gateway.peers;
    let known = peers.members.borrow().known_count();
    message.known_vms = u32::try_from(known).unwrap_or(u32::MAX);
    let datagram = message.encode_to_vec();
    let metrics = &gateway.metrics;
    metrics.count_sent(kind, receivers.len(), datagram.len());
    for &ip in receivers {
        let address = SocketAddr::from((ip, peers.port));
        if let Err(error) = peers.socket.send_to(&datagram, address).await {
            log::debug!("failed to send a message to {address}: {error}");
        }
    }
}

/// Sends a digest in each round, for as long as the process runs.
pub(super) async fn send_digests(gateway: Rc<Gateway>) {
    let mut load_changes = LoadChanges::new();
    loop {
        thread_holds::measured_sleep(&gateway, DIGEST_INTERVAL).await;
        let now = gateway.now();
        let mut digest = gateway.state.borrow().full_digest(now);
        let changed = load_changes.take(&digest.servers);
        let round = {
            let mut members = gateway.peers.members.borrow_mut();
            members.next_round(now, !changed.is_empty())
        };
        if round.is_full {
            let unused = changed.into_iter();
            let unused = unused.filter(|server| server.load == PeerLoad::default());
            digest.servers.extend(unused);
        } else {
            digest.servers = changed;
            digest.crashes.clear();
        }
        let is_large = gateway.peers.is_large_fleet(now);
        {
            let mut state = gateway.state.borrow_mut();
            state.set_uses_permits(is_large);
            state.set_large_fleet(is_large);
        }
        if is_large {
            let paces = gateway.state.borrow_mut().take_pace_reports(now);
            let servers = std::mem::take(&mut digest.servers);
            send_to_aggregators(&gateway, now, servers, paces).await;
            digest.pooled_paces = gateway.state.borrow().pooled_pace_reports(now);
        } else if !round.receivers.is_empty() {
            digest.paces = gateway.state.borrow_mut().take_pace_reports(now);
        }
        if round.receivers.is_empty() {
            continue;
        }
        let addresses = if round.is_full {
            gateway.peers.members.borrow().gossip_addresses()
        } else {
            Vec::new()
        };
        let mut message = digest_message(&gateway, digest, &addresses);
        if round.is_full {
            let reports = gateway.state.borrow().limit_reports(now);
            message.limits = reports.into_iter().map(LimitMessage::from_report).collect();
            message.reach = Some(reach_message(&gateway));
            message.brittle = brittle_messages(&gateway);
        }
        if round.is_full || is_large {
            message.duty = duty_message(&gateway);
        }
        send_to(&gateway, MessageKind::Digest, message, &round.receivers).await;
    }
}

fn brittle_messages(gateway: &Gateway) -> Vec<BrittleMessage> {
    let reports = gateway.state.borrow().brittle_reports(gateway.now());
    let reports = reports.into_iter();
    reports.map(BrittleMessage::from_report).collect()
}

/// Creates a message with a digest, the versions of the replicas and the addresses of some VMs.
fn digest_message(gateway: &Gateway, digest: PeerDigest, addresses: &[IpAddr]) -> PeerMessage {
    let addresses = addresses.iter().filter_map(|&ip| pack_ip(ip)).collect();
    let mut message = PeerMessage::new(digest, feed_versions(gateway), addresses);
    message.config_version = gateway.state.borrow().config_version();
    message
}

/// Writes the address of this VM to the store, once for each era.
pub(super) fn register_in_era(gateway: &Rc<Gateway>, era: u64) {
    let old = gateway.peers.registered_era.get();
    if old.is_some_and(|old| old >= era) {
        return;
    }
    gateway.peers.registered_era.set(Some(era));
    let delay = match old {
        None => Duration::ZERO,
        Some(_) => jitter(rand::random(), REGISTRATION_SPREAD),
    };
    actix_rt::spawn(watch::register_address(Rc::clone(gateway), delay));
}

/// Tells all known VMs that this one is shutting down.
pub(super) async fn announce_shutdown(gateway: &Gateway) {
    let mut message = PeerMessage::new(
        gateway.state.borrow().digest_without_load(gateway.now()),
        Vec::new(),
        Vec::new(),
    );
    message.is_shutting_down = true;
    let receivers = gateway.peers.known_addresses();
    send_to(gateway, MessageKind::Shutdown, message, &receivers).await;
}

/// Receives messages for as long as the process runs.
pub(super) async fn receive_messages(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let (length, from) = match gateway.peers.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("failed to receive a message: {error}");
                actix_rt::time::sleep(DIGEST_INTERVAL).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => handle_message(&gateway, from.ip(), message),
            Err(error) => {
                LogEvent::DigestUnreadable.log(&[("address", &from), ("cause", &error)]);
            }
        }
    }
}

fn handle_message(gateway: &Rc<Gateway>, from: IpAddr, mut message: PeerMessage) {
    let now = gateway.now();
    if message.is_shutting_down {
        gateway.peers.members.borrow_mut().remove(from);
        gateway.state.borrow_mut().forget_peer(message.vm);
        LogEvent::PeerLost.log(&[("address", &from), ("cause", &"the VM is shutting down")]);
        return;
    }
    let known_count = usize::try_from(message.known_vms).unwrap_or(usize::MAX);
    for &bits in &message.addresses {
        gateway.peers.add(now, unpack_ip(bits));
    }
    for feed in std::mem::take(&mut message.feeds) {
        handle_feed(gateway, from, feed);
    }
    if message.config_version > gateway.state.borrow().config_version() {
        gateway
            .replicas
            .note_newer_config(from, message.config_version);
    }
    let limits = std::mem::take(&mut message.limits);
    let reports: Vec<_> = limits.into_iter().map(LimitMessage::into_report).collect();
    gateway
        .state
        .borrow_mut()
        .apply_limit_reports(now, message.vm, &reports);
    handle_leaving(gateway, from, &message.leaving);
    handle_streams(gateway, from, &message);
    let brittle = message.brittle.iter().map(|brittle| brittle.into_report());
    let brittle: Vec<_> = brittle.collect();
    gateway
        .state
        .borrow_mut()
        .apply_brittle_reports(now, &brittle);
    if let Some(reach) = &message.reach {
        handle_reach(gateway, from, reach);
    }
    handle_duties(gateway, from, &mut message);
    if message.permit_server > 0 {
        handle_permit(gateway, from, &message);
    } else if message.query_id > 0 {
        handle_query_or_reply(gateway, from, &mut message);
    }
    let mut digest = message.into_digest();
    let records = std::mem::take(&mut digest.crashes);
    crash_store::merge_records(gateway, &records, &from.to_string());
    gateway.state.borrow_mut().apply_digest(now, &digest);
    let is_new = {
        let mut members = gateway.peers.members.borrow_mut();
        let was_lost = members.record_message(now, from);
        members.note_start(from, digest.vm) || was_lost
    };
    if is_new {
        LogEvent::PeerLinked.log(&[("address", &from)]);
        send_welcome(gateway, from, known_count);
    }
}

/// Answers a VM that did not count as live or has started again, with the addresses of others if it knows
/// fewer.
fn send_welcome(gateway: &Rc<Gateway>, to: IpAddr, known_count: usize) {
    let addresses = gateway
        .peers
        .members
        .borrow()
        .addresses_for_new(known_count);
    let now = gateway.now();
    let digest = {
        let state = gateway.state.borrow();
        let mut digest = state.digest_without_load(now);
        // A VM that starts while the store is away learns them here only.
        digest.crashes = state.crash_guard().refused_records(now);
        digest.crashes.truncate(MAX_WELCOME_RECORDS);
        digest
    };
    let mut message = digest_message(gateway, digest, &addresses);
    message.brittle = brittle_messages(gateway);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { send_to(&gateway, MessageKind::Welcome, message, &[to]).await });
}
