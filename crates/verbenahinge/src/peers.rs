//! Links to the other VMs, over tonic on a thread of their own.
//!
//! Each VM keeps one stream to each of its links and sends its digests there; the peer
//! acknowledges each. A link without acknowledgement is taken down and opened anew, so that a
//! connection that has gone silent does not cut a VM off.

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

/// What the links report to the shell.
#[derive(Debug)]
pub(crate) enum PeerInput {
    /// A digest arrived from the peer that listens at this address.
    Digest(Digest, SocketAddr),
    /// A peer sent the version that it has in force.
    Config(Arc<VersionRow>),
}

/// What the shell asks of the links.
#[derive(Debug)]
enum PeerOutput {
    Digest(Vec<SocketAddr>, verbenahinge_proto::Digest),
    FetchConfig(SocketAddr),
}

/// The shell's end of the links.
pub(crate) struct PeerHandle {
    output: mpsc::UnboundedSender<PeerOutput>,
    addresses: RefCell<BTreeMap<VmId, SocketAddr>>,
    config: watch::Sender<Arc<VersionRow>>,
}

impl PeerHandle {
    /// Sends a digest to the peers at these addresses.
    pub(crate) fn send(&self, links: Vec<SocketAddr>, digest: &Digest) {
        let message = codec::encode(digest);
        self.output_or_log(PeerOutput::Digest(links, message));
    }

    /// Asks a peer for its version.
    pub(crate) fn fetch_config(&self, vm: VmId) {
        let address = self.addresses.borrow().get(&vm).copied();
        if let Some(address) = address {
            self.output_or_log(PeerOutput::FetchConfig(address));
        }
    }

    /// Sets the version that peers get when they ask.
    pub(crate) fn publish(&self, row: Arc<VersionRow>) {
        self.config.send_replace(row);
    }

    fn output_or_log(&self, output: PeerOutput) {
        if self.output.send(output).is_err() {
            log::error!("the peer thread has ended");
        }
    }
}

/// Input of the shell from its peers.
pub(crate) type PeerReceiver = mpsc::UnboundedReceiver<PeerInput>;

/// Starts the thread of the links.
pub(crate) fn start(
    listener: std::net::TcpListener,
    own: SocketAddr,
    key: String,
    row: Arc<VersionRow>,
) -> (PeerHandle, PeerReceiver) {
    let (output, output_receiver) = mpsc::unbounded_channel();
    let (input, input_receiver) = mpsc::unbounded_channel();
    let (config, config_receiver) = watch::channel(row);
    let arbiter = Arbiter::new();
    let service = PeerService::new(input.clone(), config_receiver, key.clone());
    arbiter.spawn(async move { service.run(listener).await });
    arbiter.spawn(run_links(output_receiver, input, own, key));
    let handle = PeerHandle {
        output,
        addresses: RefCell::default(),
        config,
    };
    (handle, input_receiver)
}

/// Keeps one link for each address that digests go to.
async fn run_links(
    mut output: mpsc::UnboundedReceiver<PeerOutput>,
    input: mpsc::UnboundedSender<PeerInput>,
    own: SocketAddr,
    key: String,
) {
    let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
    while let Some(request) = output.recv().await {
        match request {
            PeerOutput::Digest(addresses, digest) => {
                links.retain(|address, _| addresses.contains(address));
                for address in addresses {
                    let link = links
                        .entry(address)
                        .or_insert_with(|| Link::open(address, own, key.clone()));
                    link.send(digest.clone());
                }
            }
            PeerOutput::FetchConfig(address) => {
                actix_rt::spawn(link::fetch_config(address, key.clone(), input.clone()));
            }
        }
    }
}

/// Hands what peers send to the core.
pub(crate) async fn receive(shell: Rc<Shell>, receiver: Rc<RefCell<Option<PeerReceiver>>>) {
    let Some(mut input) = receiver.take() else {
        return std::future::pending().await;
    };
    while let Some(message) = input.recv().await {
        match message {
            PeerInput::Digest(digest, address) => {
                let addresses = &shell.peers.addresses;
                addresses.borrow_mut().insert(digest.vm, address);
                shell.handle(verbenahinge_core::Event::Digest(digest));
            }
            PeerInput::Config(row) => {
                shell.handle(verbenahinge_core::Event::ConfigReceived(row));
            }
        }
    }
}
