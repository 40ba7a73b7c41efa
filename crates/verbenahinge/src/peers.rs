//! gRPC links to other VMs, run on a dedicated thread.
//!
//! Each VM keeps one stream to each linked peer and sends its digests on it; the peer acknowledges
//! each digest. An established link without acknowledgements is closed and reopened, so that a
//! connection that is dead but not closed does not isolate a VM.

mod codec;
mod link;
mod service;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use tokio::sync::{mpsc, watch};
use verbenahinge_core::VmId;
use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::digest::Digest;

use self::link::Link;
use self::service::PeerService;
use crate::shell::Shell;

/// Message received from a peer.
#[derive(Debug)]
pub(crate) enum IncomingMessage {
    /// Digest, with the address at which the sending peer listens.
    Digest(Digest, SocketAddr),
    /// Configuration version in force on the peer.
    Config(Arc<VersionRow>),
}

/// Command to the peer thread.
#[derive(Debug)]
enum PeerCommand {
    SendDigest(Vec<SocketAddr>, verbenahinge_proto::Digest),
    FetchConfig(SocketAddr),
}

/// Handle to the peer thread.
pub(crate) struct PeerHandle {
    commands: mpsc::UnboundedSender<PeerCommand>,
    /// Listen address of each VM that has sent a digest.
    addresses: RefCell<BTreeMap<VmId, SocketAddr>>,
    config: watch::Sender<Arc<VersionRow>>,
}

impl PeerHandle {
    /// Sends a digest to the peers at these addresses; links to all other peers are closed.
    pub(crate) fn send_digest(&self, links: Vec<SocketAddr>, digest: &Digest) {
        let message = codec::encode(digest);
        self.send_command(PeerCommand::SendDigest(links, message));
    }

    /// Requests the configuration version in force on a peer, if its address is known.
    pub(crate) fn fetch_config(&self, vm: VmId) {
        let address = self.addresses.borrow().get(&vm).copied();
        if let Some(address) = address {
            self.send_command(PeerCommand::FetchConfig(address));
        }
    }

    /// Sets the configuration version that peers can fetch.
    pub(crate) fn publish_config(&self, row: Arc<VersionRow>) {
        self.config.send_replace(row);
    }

    fn send_command(&self, command: PeerCommand) {
        if self.commands.send(command).is_err() {
            log::error!("command not sent: the peer thread has ended");
        }
    }
}

/// Receiver of the messages from peers.
pub(crate) type IncomingMessageReceiver = mpsc::UnboundedReceiver<IncomingMessage>;

/// Starts the peer thread, which serves other VMs and keeps the links to them.
pub(crate) fn start(
    listener: std::net::TcpListener,
    own_address: SocketAddr,
    key: String,
    initial_config: Arc<VersionRow>,
) -> (PeerHandle, IncomingMessageReceiver) {
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let (messages, message_receiver) = mpsc::unbounded_channel();
    let (config, config_receiver) = watch::channel(initial_config);
    let arbiter = Arbiter::new();
    let service = PeerService::new(messages.clone(), config_receiver, key.clone());
    arbiter.spawn(async move { service.run(listener).await });
    arbiter.spawn(run_links(command_receiver, messages, own_address, key));
    let handle = PeerHandle {
        commands,
        addresses: RefCell::default(),
        config,
    };
    (handle, message_receiver)
}

/// Keeps one link to each address that the latest digest was sent to.
async fn run_links(
    mut commands: mpsc::UnboundedReceiver<PeerCommand>,
    messages: mpsc::UnboundedSender<IncomingMessage>,
    own_address: SocketAddr,
    key: String,
) {
    let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::SendDigest(addresses, digest) => {
                links.retain(|address, _| addresses.contains(address));
                for address in addresses {
                    let link = links
                        .entry(address)
                        .or_insert_with(|| Link::open(address, own_address, key.clone()));
                    link.send(digest.clone());
                }
            }
            PeerCommand::FetchConfig(address) => {
                actix_rt::spawn(link::fetch_config(address, key.clone(), messages.clone()));
            }
        }
    }
}

/// Passes messages from peers to the decision core.
pub(crate) async fn receive_messages(
    shell: Rc<Shell>,
    receiver: Rc<RefCell<Option<IncomingMessageReceiver>>>,
) {
    let Some(mut messages) = receiver.take() else {
        return std::future::pending().await;
    };
    while let Some(message) = messages.recv().await {
        match message {
            IncomingMessage::Digest(digest, address) => {
                let addresses = &shell.peers.addresses;
                addresses.borrow_mut().insert(digest.vm, address);
                shell.handle(verbenahinge_core::Event::Digest(digest));
            }
            IncomingMessage::Config(row) => {
                shell.handle(verbenahinge_core::Event::ConfigReceived(row));
            }
        }
    }
}
