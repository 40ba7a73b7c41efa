//! The receiving end of links.

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

use super::{PeerInput, codec};
use crate::event_log::LogEvent;
use crate::keys;

/// Acknowledgements that wait for the network at most.
const ACK_QUEUE: usize = 64;

/// Time between keep-alive probes on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Metadata key of the shared secret.
pub(super) const KEY_METADATA: &str = "authorization";

/// Metadata key of the address at which the sender listens.
pub(super) const ADDRESS_METADATA: &str = "x-peer-address";

/// Answers other VMs.
pub(super) struct PeerService {
    input: mpsc::UnboundedSender<PeerInput>,
    config: watch::Receiver<Arc<VersionRow>>,
    key: String,
}

impl PeerService {
    pub(super) const fn new(
        input: mpsc::UnboundedSender<PeerInput>,
        config: watch::Receiver<Arc<VersionRow>>,
        key: String,
    ) -> Self {
        Self { input, config, key }
    }

    pub(super) async fn run(self, listener: std::net::TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("the peer listener cannot be used: {error}");
                return;
            }
        };
        let served = tonic::transport::Server::builder()
            .http2_keepalive_interval(Some(KEEP_ALIVE))
            .add_service(PeerServer::new(self))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await;
        if let Err(error) = served {
            log::error!("the peer server ended: {error}");
        }
    }

    fn check_key<T>(&self, request: &Request<T>) -> Result<(), Status> {
        // A key that is missing or no text is as wrong as the empty one, which no VM has.
        let shown = request
            .metadata()
            .get(KEY_METADATA)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        if keys::secrets_match(shown, &self.key) {
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
        self.check_key(&request)?;
        let address = request
            .metadata()
            .get(ADDRESS_METADATA)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse::<SocketAddr>().ok())
            .ok_or_else(|| Status::invalid_argument("missing peer address"))?;
        let mut digests = request.into_inner();
        let (acks, receiver) = mpsc::channel(ACK_QUEUE);
        let input = self.input.clone();
        tokio::spawn(async move {
            while let Some(Ok(message)) = digests.next().await {
                let ack = proto::Ack { seq: message.seq };
                let digest = codec::decode(message);
                if input.send(PeerInput::Digest(digest, address)).is_err() {
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
        self.check_key(&request)?;
        let row = Arc::clone(&self.config.borrow());
        let row = serde_json::to_vec(&*row).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(proto::FetchConfigReply { row }))
    }
}
