//! Client side of peer links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use derive_more::{Display, Error, From};
use futures_util::StreamExt;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::errors::InvalidMetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};
use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::hash::{hash64, jitter};
use verbenahinge_proto as proto;
use verbenahinge_proto::peer_client::PeerClient;

use super::IncomingMessage;
use super::service::{ADDRESS_METADATA, KEY_METADATA};
use crate::event_log::LogEvent;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an acknowledgement after which a link is closed and reopened.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum delay before a link is reopened; jitter adds up to as much again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Size limit of a reply from a peer, such as its configuration.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Maximum number of digests queued for sending on one link.
const DIGEST_QUEUE_CAPACITY: usize = 8;

/// Why a link ended.
#[derive(Debug, Display, Error, From)]
enum LinkError {
    #[display("transport: {_0}")]
    Transport(tonic::transport::Error),
    #[display("status: {_0}")]
    Status(Status),
    #[display("metadata: {_0}")]
    Metadata(InvalidMetadataValue),
    #[display("no acknowledgement")]
    AckTimeout,
    #[display("closed")]
    Closed,
}

/// Link to one peer; dropping it closes the connection.
pub(super) struct Link {
    latest: watch::Sender<Option<proto::Digest>>,
    task: JoinHandle<()>,
}

impl Link {
    pub(super) fn open(address: SocketAddr, own_address: SocketAddr, key: String) -> Self {
        let (latest, receiver) = watch::channel(None);
        let task = actix_rt::spawn(reopen_loop(address, own_address, key, receiver));
        Self { latest, task }
    }

    /// Sends a digest, replacing an earlier one that is not queued for sending yet.
    pub(super) fn send(&self, digest: proto::Digest) {
        self.latest.send_replace(Some(digest));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn reopen_loop(
    address: SocketAddr,
    own_address: SocketAddr,
    key: String,
    mut latest: watch::Receiver<Option<proto::Digest>>,
) {
    let seed = hash64(format!("{own_address}-{address}").as_bytes());
    for attempt in 0_u64.. {
        let result = exchange(address, own_address, &key, &mut latest).await;
        let cause = match result {
            Ok(()) => LinkError::Closed,
            Err(error) => error,
        };
        log::debug!("link to {address} ended: {cause}");
        let delay = REOPEN_DELAY + jitter(seed ^ attempt, REOPEN_DELAY);
        actix_rt::time::sleep(delay).await;
    }
}

async fn connect(address: SocketAddr) -> Result<PeerClient<Channel>, LinkError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let client = PeerClient::new(endpoint.connect().await?);
    Ok(client.max_decoding_message_size(MAX_REPLY_BYTES))
}

async fn exchange(
    address: SocketAddr,
    own_address: SocketAddr,
    key: &str,
    latest: &mut watch::Receiver<Option<proto::Digest>>,
) -> Result<(), LinkError> {
    let mut client = connect(address).await?;
    let (sender, receiver) = mpsc::channel(DIGEST_QUEUE_CAPACITY);
    let mut request = Request::new(ReceiverStream::new(receiver));
    let metadata = request.metadata_mut();
    metadata.insert(KEY_METADATA, key.parse()?);
    metadata.insert(ADDRESS_METADATA, own_address.to_string().parse()?);
    let mut acks = client.exchange(request).await?.into_inner();
    LogEvent::PeerLinked.log(&[("address", &address)]);
    let mut ack_timeout = Box::pin(tokio::time::sleep(ACK_TIMEOUT));
    let cause = loop {
        tokio::select! {
            changed = latest.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let digest = latest.borrow_and_update().clone();
                if let Some(digest) = digest {
                    // A full queue means that the peer does not read; if its acknowledgements
                    // stop as well, the link times out.
                    if sender.try_send(digest).is_err() {
                        log::debug!("digest to {address} dropped: send queue full or closed");
                    }
                }
            }
            ack = acks.next() => match ack {
                Some(Ok(_)) => ack_timeout = Box::pin(tokio::time::sleep(ACK_TIMEOUT)),
                Some(Err(status)) => break LinkError::Status(status),
                None => break LinkError::Closed,
            },
            () = &mut ack_timeout => break LinkError::AckTimeout,
        }
    };
    LogEvent::PeerLost.log(&[("address", &address), ("cause", &cause)]);
    Err(cause)
}

/// Fetches the configuration version in force on a peer; a failure is only logged.
pub(super) async fn fetch_config(
    address: SocketAddr,
    key: String,
    messages: mpsc::UnboundedSender<IncomingMessage>,
) {
    match request_config(address, &key).await {
        Ok(row) => {
            if messages.send(IncomingMessage::Config(row)).is_err() {
                log::debug!("fetched configuration dropped: its receiver has ended");
            }
        }
        Err(error) => log::debug!("failed to fetch the configuration from {address}: {error}"),
    }
}

async fn request_config(address: SocketAddr, key: &str) -> Result<Arc<VersionRow>, LinkError> {
    let mut client = connect(address).await?;
    let mut request = Request::new(proto::FetchConfigRequest {});
    request.set_timeout(CONNECT_TIMEOUT * 2);
    request.metadata_mut().insert(KEY_METADATA, key.parse()?);
    let reply = client.fetch_config(request).await?.into_inner();
    let row: VersionRow =
        serde_json::from_slice(&reply.row).map_err(|error| Status::data_loss(error.to_string()))?;
    Ok(Arc::new(row))
}
