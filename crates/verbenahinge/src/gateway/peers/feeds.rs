//! Copies of the store's tables that VMs tell and hand each other.

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
use verbenahinge_core::gateway::Feed;

use super::send_to;
use crate::event_log::LogEvent;
use crate::gateway::control::FEED_PATH;
use crate::gateway::peer_message::{
    DeltaMessage, FeedMessage, MessageKind, PeerMessage, feed_number, feed_of,
};
use crate::gateway::{Gateway, watch};

/// Largest change that is told in a datagram; larger ones are read from the store.
const DELTA_BYTES: usize = 1100;

/// Time within which a VM answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest copy of a table that is read from another VM.
const FEED_LIMIT_BYTES: usize = 8 << 20;

pub(super) fn feed_messages(gateway: &Gateway) -> Vec<FeedMessage> {
    let now = gateway.now();
    let mut feeds = Vec::new();
    for feed in Feed::iter() {
        let (version, age) = gateway
            .feeds
            .with(feed, |copy| (copy.last_changed_version(), copy.age(now)));
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

/// Tells all VMs at once that a table has changed.
pub(in crate::gateway) fn push_news(gateway: &Rc<Gateway>, feed: Feed, base: Option<u64>) {
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
        gateway.state.borrow().digest_without_load(gateway.now()),
        feeds,
        Vec::new(),
    );
    message.servers.clear();
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let receivers = gateway.peers.all();
        send_to(&gateway, MessageKind::Change, message, &receivers).await;
    });
}

pub(super) fn take_feed(gateway: &Gateway, from: IpAddr, message: FeedMessage) {
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
        .with(feed, |copy| copy.confirm_current(now, version, age));
}

/// Reads a table from a VM that has a newer copy.
pub(in crate::gateway) async fn fetch_feed(gateway: &Gateway, from: IpAddr, feed: Feed) {
    let control = gateway.settings.borrow().control_listen;
    let Some(control) = control else {
        return;
    };
    let address = SocketAddr::from((from, control.port()));
    let own = gateway.feeds.with(feed, |copy| copy.applied_until());
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
pub(in crate::gateway) fn answer_feed(gateway: &Gateway, path: &str) -> Option<Bytes> {
    let (number, since) = path.strip_prefix('/')?.split_once('/')?;
    let feed = feed_of(number.parse().ok()?)?;
    let since: u64 = since.parse().ok()?;
    let base = (since > 0).then_some(since);
    let delta = gateway.feeds.with(feed, |copy| copy.delta_since(base))?;
    let bytes = DeltaMessage::encode_delta(delta).encode_to_vec();
    let metrics = &gateway.metrics;
    metrics.note_sent(MessageKind::Table, 1, bytes.len());
    Some(bytes.into())
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
