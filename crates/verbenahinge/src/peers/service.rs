//! Server side of peer links.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};
use verbenahinge_core::config_log::VersionRow;
use verbenahinge_proto as proto;
use verbenahinge_proto::peer_server::{Peer, PeerServer};

use super::{IncomingMessage, codec};
use crate::event_log::LogEvent;
use crate::keys;

/// Maximum number of acknowledgements queued for sending on one link.
const ACK_QUEUE_CAPACITY: usize = 64;

/// Interval of HTTP/2 keepalive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Metadata key of the shared secret.
pub(super) const KEY_METADATA: &str = "authorization";

/// Metadata key of the address at which the sending VM listens for peers.
pub(super) const ADDRESS_METADATA: &str = "x-peer-address";

/// gRPC service that other VMs call.
pub(super) struct PeerService {
    messages: mpsc::UnboundedSender<IncomingMessage>,
    config: watch::Receiver<Arc<VersionRow>>,
    key: String,
}

impl PeerService {
    pub(super) const fn new(
        messages: mpsc::UnboundedSender<IncomingMessage>,
        config: watch::Receiver<Arc<VersionRow>>,
        key: String,
    ) -> Self {
        Self {
            messages,
            config,
            key,
        }
    }

    pub(super) async fn run(self, listener: std::net::TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("failed to set up the peer listener: {error}");
                return;
            }
        };
        let result = tonic::transport::Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .add_service(PeerServer::new(self))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await;
        if let Err(error) = result {
            log::error!("peer server failed: {error}");
        }
    }

    fn verify_key<T>(&self, request: &Request<T>) -> Result<(), Status> {
        // A missing or non-text key counts as the empty key, which no VM has.
        let presented = request
            .metadata()
            .get(KEY_METADATA)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        if keys::secrets_match(presented, &self.key) {
            return Ok(());
        }
        LogEvent::PeerRejected.log(&[]);
        Err(Status::unauthenticated("wrong peer key"))
    }
}

type AckStream = Pin<Box<dyn Stream<Item = Result<proto::Ack, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for PeerService {
    type ExchangeStream = AckStream;

    async fn exchange(
        &self,
        request: Request<Streaming<proto::Digest>>,
    ) -> Result<Response<AckStream>, Status> {
        self.verify_key(&request)?;
        let address = request
            .metadata()
            .get(ADDRESS_METADATA)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse::<SocketAddr>().ok())
            .ok_or_else(|| Status::invalid_argument("missing peer address"))?;
        let mut digests = request.into_inner();
        let (acks, receiver) = mpsc::channel(ACK_QUEUE_CAPACITY);
        let messages = self.messages.clone();
        tokio::spawn(async move {
            while let Some(Ok(message)) = digests.next().await {
                let ack = proto::Ack { seq: message.seq };
                let digest = codec::decode(message);
                if messages
                    .send(IncomingMessage::Digest(digest, address))
                    .is_err()
                {
                    return;
                }
                if acks.send(Ok(ack)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn fetch_config(
        &self,
        request: Request<proto::FetchConfigRequest>,
    ) -> Result<Response<proto::FetchConfigReply>, Status> {
        self.verify_key(&request)?;
        let row = Arc::clone(&self.config.borrow());
        let row = serde_json::to_vec(&*row).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(proto::FetchConfigReply { row }))
    }
}
