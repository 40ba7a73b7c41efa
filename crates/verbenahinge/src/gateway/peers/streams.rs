//! Software versions at which streams began: told to other VMs while a service has several, and queried
//! by a VM to which a caller comes back.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{Feed, Route, SoftwareVersion, StreamId, StreamOrigin};

use super::feeds::feed_versions;
use super::send_to;
use crate::gateway::peer_message::{MessageKind, PeerMessage, StreamMessage, StreamQueryMessage};
use crate::gateway::{Gateway, stream_store, watch};

/// Time in which streams are collected before other VMs are told of them.
const STREAM_PUSH_DELAY: Duration = Duration::from_millis(10);

/// Streams in one datagram, which stays below the usual maximum of 1,500 bytes.
const STREAMS_PER_DATAGRAM: usize = 48;

/// Maximum wait for other VMs to tell where a stream began: a busy VM takes tens of milliseconds to
/// reply.
const STREAM_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Age of the registry's replica up to which a VM that cannot ask the store relies on it, if no other VM has a
/// newer one.
const MAX_REPLICA_AGE: Duration = Duration::from_secs(6);

/// Streams that are about to be told, and queries in flight.
#[derive(Default)]
pub(super) struct StreamNews {
    is_push_pending: Cell<bool>,
    pending_queries: RefCell<BTreeMap<u64, PendingQuery>>,
}

/// A query that some VMs have not replied to yet.
struct PendingQuery {
    outstanding: usize,
    completion: oneshot::Sender<Option<StreamOrigin>>,
}

/// Tells other VMs where streams began, once for all streams within [`STREAM_PUSH_DELAY`].
pub(in crate::gateway) fn push_streams(gateway: &Rc<Gateway>) {
    if gateway.peers.stream_news.is_push_pending.replace(true) {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(STREAM_PUSH_DELAY).await;
        gateway.peers.stream_news.is_push_pending.set(false);
        send_streams(&gateway).await;
    });
}

async fn send_streams(gateway: &Gateway) {
    let now = gateway.now();
    let origins = gateway.state.borrow_mut().take_stream_news(now);
    keep_in_store(gateway, now, &origins).await;
    let mut by_holders: BTreeMap<Vec<IpAddr>, Vec<StreamMessage>> = BTreeMap::new();
    {
        let members = gateway.peers.members.borrow();
        let is_large = members.is_large(now);
        let all = members.live_addresses(now).collect::<Vec<_>>();
        for origin in origins {
            let message = StreamMessage::from_origin(origin);
            if !is_large {
                by_holders.entry(all.clone()).or_default().push(message);
                continue;
            }
            for holder in members.holders(now, origin.stream) {
                by_holders.entry(vec![holder]).or_default().push(message);
            }
        }
    }
    for (holders, streams) in by_holders {
        for streams in streams.chunks(STREAMS_PER_DATAGRAM) {
            let mut message = stream_message(gateway);
            message.streams = streams.to_vec();
            send_to(gateway, MessageKind::Stream, message, &holders).await;
        }
    }
}

/// Tells streams to the VMs that keep them in the store.
async fn keep_in_store(gateway: &Gateway, now: Timestamp, origins: &[StreamOrigin]) {
    let is_large = gateway.peers.is_large_fleet(now);
    let mut by_ring: BTreeMap<usize, Vec<StreamOrigin>> = BTreeMap::new();
    for &origin in origins {
        let ring = stream_store::ring_of(origin.stream, is_large);
        by_ring.entry(ring).or_default().push(origin);
    }
    for (ring, origins) in by_ring {
        let keeper = gateway.peers.members.borrow().keeper(now, ring);
        let Some(keeper) = keeper else {
            stream_store::keep(gateway, ring, &origins);
            continue;
        };
        for origins in origins.chunks(STREAMS_PER_DATAGRAM) {
            let mut message = stream_message(gateway);
            let origins = origins.iter().copied();
            message.streams = origins.map(StreamMessage::from_origin).collect();
            message.keep_ring = u32::try_from(ring).ok();
            send_to(gateway, MessageKind::Stream, message, &[keeper]).await;
        }
    }
}

fn stream_message(gateway: &Gateway) -> PeerMessage {
    let digest = gateway.state.borrow().digest_without_load(gateway.now());
    PeerMessage::new(digest, Vec::new(), Vec::new())
}

/// Finds out at which software version a stream began; `None` if neither a VM in reach nor the store
/// knows.
pub(in crate::gateway) async fn find_version(
    gateway: &Rc<Gateway>,
    route: &Route,
    stream: Option<StreamId>,
) -> Option<SoftwareVersion> {
    let told = told_version(gateway, stream);
    if told.is_some() {
        return told;
    }
    // The stream began before its caller came back, so a registry that is read from now on has its version.
    let is_confirmed = watch::confirm(gateway, Feed::Servers).await;
    let sole = sole_version(gateway, route).filter(|_| is_confirmed);
    if sole.is_some() {
        return sole;
    }
    match query_origin(gateway, route, stream).await {
        QueryResult::Found(origin) => return Some(origin.version),
        QueryResult::Unknown if !is_confirmed && has_recent_registry(gateway) => {
            let sole = sole_version(gateway, route);
            if sole.is_some() {
                return sole;
            }
        }
        QueryResult::Unknown | QueryResult::Incomplete => {}
    }
    stream?;
    stream_store::refresh(gateway).await;
    told_version(gateway, stream)
}

/// Version at which a stream began, if this VM was told.
fn told_version(gateway: &Gateway, stream: Option<StreamId>) -> Option<SoftwareVersion> {
    let state = gateway.state.borrow();
    stream.and_then(|stream| state.stream_origins().version(stream))
}

/// The only version that the route's service had while a stream can have begun, by the replica of the registry.
fn sole_version(gateway: &Gateway, route: &Route) -> Option<SoftwareVersion> {
    let now = gateway.now();
    gateway.state.borrow().sole_version(now, route)
}

/// Whether the registry's replica is recent, and no other VM is known to have a newer one.
fn has_recent_registry(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let age = gateway
        .replicas
        .with(Feed::Servers, |replica| replica.age(now));
    let is_recent = age.is_some_and(|age| age <= MAX_REPLICA_AGE);
    is_recent && !gateway.replicas.is_behind(Feed::Servers)
}

/// What other VMs know of a stream.
enum QueryResult {
    /// One of them knows where it began.
    Found(StreamOrigin),
    /// All of them have replied, and none knows.
    Unknown,
    /// Not all of them have replied in time, or there are none.
    Incomplete,
}

/// Asks the VMs that may know where a stream began, and waits until one tells or all have replied.
async fn query_origin(
    gateway: &Rc<Gateway>,
    route: &Route,
    stream: Option<StreamId>,
) -> QueryResult {
    let peers = &gateway.peers;
    let key = stream.unwrap_or_else(rand::random);
    let holders = peers.members.borrow().holders(gateway.now(), key);
    if holders.is_empty() {
        return QueryResult::Incomplete;
    }
    let query_id = peers.new_query_id();
    let (completion, completed) = oneshot::channel();
    let query = PendingQuery {
        outstanding: holders.len(),
        completion,
    };
    let queries = &peers.stream_news.pending_queries;
    queries.borrow_mut().insert(query_id, query);
    let mut message = stream_message(gateway);
    message.stream_query_id = query_id;
    let services = route.shares.iter().map(|share| share.service.to_string());
    message.stream_query = Some(StreamQueryMessage {
        stream,
        services: services.collect(),
    });
    send_to(gateway, MessageKind::StreamQuery, message, &holders).await;
    let reply = verbenahinge_http::timeout(STREAM_QUERY_TIMEOUT, completed).await;
    queries.borrow_mut().remove(&query_id);
    match reply {
        Ok(Ok(Some(origin))) => QueryResult::Found(origin),
        Ok(Ok(None)) => QueryResult::Unknown,
        Ok(Err(_)) | Err(_) => {
            log::debug!("not all VMs have told in time where stream {key:016x} began");
            QueryResult::Incomplete
        }
    }
}

/// Handles a message that tells where streams began, that asks for it, or that replies to a query.
pub(super) fn handle_streams(gateway: &Rc<Gateway>, from: IpAddr, message: &PeerMessage) {
    let now = gateway.now();
    let streams = message.streams.iter();
    let origins: Vec<StreamOrigin> = streams.map(|stream| stream.into_origin()).collect();
    if let Some(ring) = message.keep_ring {
        let ring = usize::try_from(ring).unwrap_or(usize::MAX);
        stream_store::keep(gateway, ring, &origins);
    }
    if message.stream_query_id == 0 && !origins.is_empty() {
        gateway
            .state
            .borrow_mut()
            .merge_stream_origins(now, &origins);
    }
    let query_id = message.stream_query_id;
    if query_id == 0 {
        return;
    }
    let Some(query) = &message.stream_query else {
        complete_query(gateway, query_id, origins.first().copied());
        return;
    };
    let query = query.clone();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let origin = known_origin(&gateway, query.stream, &query.services).await;
        let mut reply = stream_message(&gateway);
        reply.stream_query_id = query_id;
        reply.streams = origin.into_iter().map(StreamMessage::from_origin).collect();
        // A VM whose registry is older has to know.
        reply.feeds = feed_versions(&gateway);
        send_to(&gateway, MessageKind::StreamReply, reply, &[from]).await;
    });
}

/// Where a stream of a route with the given services began, as far as this VM knows.
async fn known_origin(
    gateway: &Rc<Gateway>,
    stream: Option<StreamId>,
    services: &[String],
) -> Option<StreamOrigin> {
    let told = stream.and_then(|stream| {
        let now = gateway.now();
        gateway.state.borrow().stream_origins().origin(now, stream)
    });
    if told.is_some() {
        return told;
    }
    let [service] = services else {
        return None;
    };
    let sole_origin = || {
        let now = gateway.now();
        let state = gateway.state.borrow();
        state.sole_origin(now, service, stream.unwrap_or_default())
    };
    sole_origin()?;
    let is_confirmed = watch::confirm(gateway, Feed::Servers).await;
    sole_origin().filter(|_| is_confirmed)
}

fn complete_query(gateway: &Gateway, query_id: u64, origin: Option<StreamOrigin>) {
    let mut queries = gateway.peers.stream_news.pending_queries.borrow_mut();
    let Some(query) = queries.get_mut(&query_id) else {
        return;
    };
    query.outstanding = query.outstanding.saturating_sub(1);
    if origin.is_none() && query.outstanding > 0 {
        return;
    }
    if let Some(query) = queries.remove(&query_id)
        && query.completion.send(origin).is_err()
    {
        log::debug!("stream query {query_id} timed out before its reply");
    }
}
