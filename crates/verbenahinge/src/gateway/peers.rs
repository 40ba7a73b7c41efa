//! Digests between VMs, over UDP: losing one does no harm, since the next one says it all.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
use strum::IntoEnumIterator;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use verbenahinge_core::gateway::{Call, Feed, PeerDigest, Prompt, ServerDigest};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{ServerName, Timestamp};
use verbenahinge_platform::node_file::VmSettings;

use super::control::FEED_PATH;
use super::peer_message::{
    DeltaMessage, FeedMessage, PeerMessage, address_number, decode_server, encode_server,
    feed_number, feed_of, pack_ip, unpack_ip,
};
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

/// Time within which another VM tells gathered load; a few times the way there and back.
const ANSWER_TIME: Duration = Duration::from_millis(15);

/// Time for which a VM that did not tell gathered load is not asked again.
const SLOW_TIME: Duration = Duration::from_secs(1);

/// Largest datagram.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Largest change that is told in a datagram; larger ones are read from the store.
const DELTA_BYTES: usize = 1100;

/// Time within which a VM answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest copy of a table that is read from another VM.
const FEED_LIMIT_BYTES: usize = 8 << 20;

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

/// A question to other VMs that is not answered by all of them yet.
struct Question {
    open: usize,
    done: Option<oneshot::Sender<()>>,
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

    /// VM that gathers the load of a server, the same on all VMs; `None` if it is this one.
    fn gatherer(&self, now: Timestamp, server: u64) -> Option<IpAddr> {
        let weight = |ip: IpAddr| mix64(server, address_number(ip));
        let mut best = (weight(self.own_ip), None);
        let slow = self.slow.borrow();
        for (&ip, member) in self.members.borrow().iter() {
            let is_slow = slow.get(&ip).is_some_and(|until| *until > now);
            if !is_slow && member.is_live(now) && weight(ip) > best.0 {
                best = (weight(ip), Some(ip));
            }
        }
        best.1
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

fn feed_messages(gateway: &Gateway) -> Vec<FeedMessage> {
    let now = gateway.now();
    let mut feeds = Vec::new();
    for feed in Feed::iter() {
        let (version, age) = gateway
            .feeds
            .with(feed, |copy| (copy.changed_at(), copy.age(now)));
        let (Some(version), Some(age)) = (version, age) else {
            continue;
        };
        feeds.push(FeedMessage {
            feed: feed_number(feed),
            version,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            delta: None,
        });
    }
    feeds
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

/// Tells the load on each server to the VM that gathers it.
async fn tell_gatherers(gateway: &Gateway, now: Timestamp, servers: Vec<ServerDigest>) {
    let mut by_vm: BTreeMap<IpAddr, Vec<ServerDigest>> = BTreeMap::new();
    for server in servers {
        if let Some(ip) = gateway.peers.gatherer(now, server.server) {
            by_vm.entry(ip).or_default().push(server);
        }
    }
    for (ip, servers) in by_vm {
        let digest = PeerDigest {
            servers,
            ..gateway.state.borrow().own_digest(now)
        };
        let message = PeerMessage::new(digest, Vec::new(), Vec::new());
        gateway.peers.send(&message, &[ip]).await;
    }
}

/// Tells the load on one server to the VM that gathers it, right after it has changed.
pub(super) fn tell_load(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    if !gateway.peers.is_large(now) {
        return;
    }
    let load = gateway.state.borrow().own_load(server);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        tell_gatherers(&gateway, now, load.into_iter().collect()).await;
    });
}

/// Asks the VMs that gather the load of some servers for it, and waits a moment for answers.
pub(super) async fn ask_load(gateway: &Gateway, servers: &[ServerName], call: &Call) {
    let now = gateway.now();
    let mut by_vm: BTreeMap<IpAddr, Vec<u64>> = BTreeMap::new();
    for server in servers {
        let hash = hash64(server.as_bytes());
        if let Some(ip) = gateway.peers.gatherer(now, hash) {
            by_vm.entry(ip).or_default().push(hash);
        }
    }
    if by_vm.is_empty() {
        return;
    }
    let peers = &gateway.peers;
    let question = peers.next_question.get() + 1;
    peers.next_question.set(question);
    let (done, answered) = oneshot::channel();
    let open = by_vm.len();
    let asked: Vec<IpAddr> = by_vm.keys().copied().collect();
    peers.questions.borrow_mut().insert(
        question,
        Question {
            open,
            done: Some(done),
        },
    );
    let shared = call.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
    for (ip, servers) in by_vm {
        let digest = gateway.state.borrow().own_digest(now);
        let mut message = PeerMessage::new(digest, Vec::new(), Vec::new());
        message.asked = servers;
        message.asked_parts = shared.iter().map(|part| part.id).collect();
        message.question = question;
        peers.send(&message, &[ip]).await;
    }
    let in_time = actix_rt::time::timeout(ANSWER_TIME, answered).await;
    peers.questions.borrow_mut().remove(&question);
    if let ([only], true) = (asked.as_slice(), in_time.is_err()) {
        peers.slow.borrow_mut().insert(*only, now + SLOW_TIME);
    }
}

fn take_question(gateway: &Rc<Gateway>, from: IpAddr, message: &mut PeerMessage) {
    let now = gateway.now();
    let question = message.question;
    for server in std::mem::take(&mut message.gathered) {
        gateway
            .state
            .borrow_mut()
            .note_gathered(now, decode_server(server));
    }
    if message.asked.is_empty() {
        let mut questions = gateway.peers.questions.borrow_mut();
        if let Some(waiting) = questions.get_mut(&question) {
            waiting.open = waiting.open.saturating_sub(1);
            if waiting.open == 0
                && let Some(done) = waiting.done.take()
                && done.send(()).is_err()
            {
                log::debug!("question {question} was given up");
            }
        }
        return;
    }
    let mut answer = {
        let state = gateway.state.borrow();
        let mut answer = PeerMessage::new(state.own_digest(now), Vec::new(), Vec::new());
        for server in std::mem::take(&mut message.asked) {
            let parts = &message.asked_parts;
            if let Some(digest) = state.gathered_for(now, message.vm, server, parts) {
                answer.gathered.push(encode_server(digest));
            }
        }
        answer
    };
    answer.question = question;
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { gateway.peers.send(&answer, &[from]).await });
}

/// Tells all VMs at once that a table has changed.
pub(super) fn push_news(gateway: &Rc<Gateway>, feed: Feed, base: Option<u64>) {
    let mut feeds = feed_messages(gateway);
    let delta = base.and_then(|base| {
        gateway
            .feeds
            .with(feed, |copy| copy.delta_since(Some(base)))
    });
    if let Some(delta) = delta.map(DeltaMessage::encode_delta)
        && delta.encoded_len() <= DELTA_BYTES
    {
        for message in &mut feeds {
            if message.feed == feed_number(feed) {
                message.delta = Some(delta.clone());
            }
        }
    }
    let mut message = PeerMessage::new(
        gateway.state.borrow().own_digest(gateway.now()),
        feeds,
        Vec::new(),
    );
    message.servers.clear();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.all();
        gateway.peers.send(&message, &receivers).await;
    });
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

fn take_feed(gateway: &Gateway, from: IpAddr, message: FeedMessage) {
    let Some(feed) = feed_of(message.feed) else {
        return;
    };
    let now = gateway.now();
    let version = message.version;
    if let Some(delta) = message.delta {
        watch::take_delta(gateway, feed, &delta.into_delta());
    }
    if gateway.feeds.with(feed, |copy| copy.is_behind(version)) {
        gateway.feeds.fall_behind(feed, from, version);
    }
    let age = Duration::from_millis(u64::from(message.age_ms));
    gateway
        .feeds
        .with(feed, |copy| copy.confirm(now, version, age));
}

/// Reads a table from a VM that has a newer copy.
pub(super) async fn fetch_feed(gateway: &Gateway, from: IpAddr, feed: Feed) {
    let control = gateway.settings.borrow().control_listen;
    let Some(control) = control else {
        return;
    };
    let address = SocketAddr::from((from, control.port()));
    let own = gateway.feeds.with(feed, |copy| copy.seen_until());
    let number = feed_number(feed);
    let path = format!("{FEED_PATH}/{number}/{}", own.unwrap_or(0));
    match actix_rt::time::timeout(ASK_TIMEOUT, fetch(address, &path)).await {
        Ok(Ok(bytes)) => match DeltaMessage::decode(bytes) {
            Ok(message) => {
                watch::take_delta(gateway, feed, &message.into_delta());
            }
            Err(error) => {
                LogEvent::DigestUnreadable.log(&[("address", &address), ("cause", &error)]);
            }
        },
        Ok(Err(error)) => log::debug!("no copy of {number} from {address}: {error}"),
        Err(_) => log::debug!("no copy of {number} from {address} in time"),
    }
}

/// Answers a VM that asks for a table.
pub(super) fn answer_feed(gateway: &Gateway, path: &str) -> Option<Bytes> {
    let (number, since) = path.strip_prefix('/')?.split_once('/')?;
    let feed = feed_of(number.parse().ok()?)?;
    let since: u64 = since.parse().ok()?;
    let base = (since > 0).then_some(since);
    let delta = gateway.feeds.with(feed, |copy| copy.delta_since(base))?;
    Some(DeltaMessage::encode_delta(delta).encode_to_vec().into())
}

async fn fetch(address: SocketAddr, path: &str) -> io::Result<Bytes> {
    let stream = verbenahinge_http::connect(address, ASK_TIMEOUT).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    let request = Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let body = Limited::new(answer.into_body(), FEED_LIMIT_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    driver.abort();
    Ok(body.to_bytes())
}
