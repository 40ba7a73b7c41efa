//! Replication of the store's tables between VMs.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use prost::Message as _;
use strum::IntoEnumIterator;
use verbenahinge_core::gateway::{Feed, FeedDelta, StoreVersion};

use super::send_to;
use crate::event_log::LogEvent;
use crate::gateway::control::FEED_PATH;
use crate::gateway::peer_message::{
    DeltaMessage, FeedMessage, MessageKind, PeerMessage, feed_from_number, feed_number,
};
use crate::gateway::table_body::TableBody;
use crate::gateway::{Gateway, watch};

/// Largest delta that is sent in a datagram; the others are fetched from a VM or the store.
const MAX_DELTA_BYTES: usize = 1100;

/// Maximum time to fetch a table from another VM while the store may be asked instead, and maximum time
/// without a further part of the table.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time to fetch a table that no one else is known to have.
const PATIENT_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// How long to wait for a table of another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway) enum FetchPatience {
    /// Up to [`FETCH_TIMEOUT`], since the store has the table, too.
    Brief,
    /// For as long as parts of the table arrive, since the store does not answer.
    WhileArriving,
}

impl FetchPatience {
    const fn timeout(self) -> Duration {
        match self {
            Self::Brief => FETCH_TIMEOUT,
            Self::WhileArriving => PATIENT_FETCH_TIMEOUT,
        }
    }
}

/// Why a table is not sent to another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway) enum TableRefusal {
    /// There is no such table, or no replica of it yet.
    Unknown,
    /// Too many tables are being sent.
    Busy,
}

/// Largest table or delta that is read from another VM.
const MAX_FEED_BYTES: usize = 8 << 20;

pub(super) fn feed_versions(gateway: &Gateway) -> Vec<FeedMessage> {
    let now = gateway.now();
    let mut feeds = Vec::new();
    for feed in Feed::iter() {
        let (version, age) = gateway.replicas.with(feed, |replica| {
            (replica.last_changed_version(), replica.age(now))
        });
        let (Some(version), Some(age)) = (version, age) else {
            continue;
        };
        feeds.push(FeedMessage {
            feed: feed_number(feed),
            version: version.number,
            era: version.era,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            delta: None,
        });
    }
    feeds
}

/// Sends the new version of a changed table to all known VMs, with the delta if it is small.
pub(in crate::gateway) fn push_change(
    gateway: &Rc<Gateway>,
    feed: Feed,
    base: Option<StoreVersion>,
) {
    let mut feeds = feed_versions(gateway);
    let delta = base.and_then(|base| {
        gateway
            .replicas
            .with(feed, |replica| replica.delta_since(Some(base)))
    });
    if let Some(delta) = delta.map(DeltaMessage::from_delta)
        && delta.encoded_len() <= MAX_DELTA_BYTES
    {
        for message in &mut feeds {
            if message.feed == feed_number(feed) {
                message.delta = Some(delta.clone());
            }
        }
    }
    let mut message = PeerMessage::new(
        gateway.state.borrow().digest_without_load(gateway.now()),
        feeds,
        Vec::new(),
    );
    message.servers.clear();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.known_addresses();
        send_to(&gateway, MessageKind::Change, message, &receivers).await;
    });
}

pub(super) fn handle_feed(gateway: &Rc<Gateway>, from: IpAddr, message: FeedMessage) {
    let Some(feed) = feed_from_number(message.feed) else {
        return;
    };
    let version = StoreVersion::new(message.era, message.version);
    if let Some(delta) = message.delta {
        let large_config = watch::apply_peer_delta(gateway, from, feed, &delta.into_delta());
        if let Some(large_config) = large_config {
            let gateway = Rc::clone(gateway);
            actix_rt::spawn(async move { large_config.apply(&gateway).await });
        }
    }
    if gateway
        .replicas
        .with(feed, |replica| replica.is_behind(version))
    {
        gateway.replicas.note_newer_version(feed, from, version);
    }
    let age = Duration::from_millis(u64::from(message.age_ms));
    gateway
        .replicas
        .confirm_current(gateway, feed, version, age);
}

/// Fetches the changes of a table since a version, or the whole table, from a VM whose replica is
/// newer, and applies them.
pub(in crate::gateway) async fn fetch_feed(
    gateway: &Gateway,
    from: IpAddr,
    feed: Feed,
    since: Option<StoreVersion>,
    patience: FetchPatience,
) {
    if let Some(delta) = fetch_delta(gateway, from, feed, since, patience).await {
        let large_config = watch::apply_peer_delta(gateway, from, feed, &delta);
        if let Some(large_config) = large_config {
            large_config.apply(gateway).await;
        }
    }
}

/// Fetches the changes of a table since a version, or the whole table, from another VM.
pub(in crate::gateway) async fn fetch_delta(
    gateway: &Gateway,
    from: IpAddr,
    feed: Feed,
    since: Option<StoreVersion>,
    patience: FetchPatience,
) -> Option<FeedDelta> {
    let control_listen = gateway.settings.borrow().control_listen?;
    let address = SocketAddr::from((from, control_listen.port()));
    let number = feed_number(feed);
    let path = match since {
        None => format!("{FEED_PATH}/{number}/0"),
        Some(StoreVersion {
            era: 0,
            number: since,
        }) => format!("{FEED_PATH}/{number}/{since}"),
        Some(since) => format!("{FEED_PATH}/{number}/{since}"),
    };
    let started = Instant::now();
    let fetch = verbenahinge_http::timeout(patience.timeout(), http_get(address, &path));
    let cause = match fetch.await {
        Ok(Ok(bytes)) => match DeltaMessage::decode(bytes) {
            Ok(message) => return Some(message.into_delta()),
            Err(error) => {
                LogEvent::DigestUnreadable.log(&[("address", &address), ("cause", &error)]);
                return None;
            }
        },
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    LogEvent::TableFetchFailed.log(&[
        ("table", &number),
        ("address", &address),
        ("cause", &cause),
        ("after_ms", &started.elapsed().as_millis()),
    ]);
    None
}

/// Encodes the changes of a table for another VM; the path is `/TABLE/ERA.VERSION`, or
/// `/TABLE/VERSION` if the store names no era, and version 0 requests the whole table.
pub(in crate::gateway) fn encode_feed(
    gateway: &Gateway,
    path: &str,
) -> Result<TableBody, TableRefusal> {
    let (feed, base) = parse_feed_path(path).ok_or(TableRefusal::Unknown)?;
    let delta = gateway
        .replicas
        .with(feed, |replica| replica.delta_since(base))
        .ok_or(TableRefusal::Unknown)?;
    let bytes = DeltaMessage::from_delta(delta).encode_to_vec();
    let length = bytes.len();
    let body = gateway.peers.table_transfers.begin(bytes.into());
    let body = body.ok_or(TableRefusal::Busy)?;
    gateway.metrics.count_sent(MessageKind::Table, 1, length);
    Ok(body)
}

fn parse_feed_path(path: &str) -> Option<(Feed, Option<StoreVersion>)> {
    let (number, since) = path.strip_prefix('/')?.split_once('/')?;
    let feed = feed_from_number(number.parse().ok()?)?;
    let (era, since) = since.split_once('.').unwrap_or(("0", since));
    let since = StoreVersion::new(era.parse().ok()?, since.parse().ok()?);
    Some((feed, (since.number > 0).then_some(since)))
}

async fn http_get(address: SocketAddr, path: &str) -> io::Result<Bytes> {
    let stream = verbenahinge_http::connect(address, FETCH_TIMEOUT).await?;
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
    let response = within(sender.send_request(request)).await?;
    if response.status() != StatusCode::OK {
        return Err(io::Error::other(format!("status {}", response.status())));
    }
    let mut body = Limited::new(response.into_body(), MAX_FEED_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(async { body.frame().await.transpose() }).await? {
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    driver.abort();
    Ok(bytes.freeze())
}

/// Waits for the next step of a fetch.
async fn within<T, E>(step: impl Future<Output = Result<T, E>>) -> io::Result<T>
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match verbenahinge_http::timeout(FETCH_TIMEOUT, step).await {
        Ok(result) => result.map_err(io::Error::other),
        Err(error) => Err(io::Error::new(io::ErrorKind::TimedOut, error)),
    }
}
