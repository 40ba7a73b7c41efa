//! A loopback TCP proxy that injects network faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of bytes forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Network fault on the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Bytes are forwarded without a fault.
    #[default]
    None,
    /// Each chunk of bytes is forwarded after a delay.
    Delay(Duration),
    /// New and open connections are reset.
    Reset,
    /// Bytes in both directions are held back, and the connections stay open.
    Stall,
    /// Bytes towards the client are held back.
    StallResponses,
}

#[derive(Default)]
struct ProxyState {
    fault: Cell<LinkFault>,
    /// Connections that were opened in an earlier epoch are stalled.
    epoch: Cell<u64>,
    /// Clients whose new connections are reset.
    cut_off: RefCell<BTreeSet<IpAddr>>,
    /// Whether their open connections live on.
    keeps_open: Cell<bool>,
    changed: Notify,
}

impl ProxyState {
    fn resets_open(&self, client: IpAddr) -> bool {
        self.fault.get() == LinkFault::Reset
            || (!self.keeps_open.get() && self.cut_off.borrow().contains(&client))
    }
}

/// A loopback TCP proxy that injects network faults.
pub struct Proxy {
    address: SocketAddr,
    state: Rc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy in front of an address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(target: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any_port, target).await
    }

    /// Starts a proxy that listens at a loopback address in front of another one.
    ///
    /// # Panics
    ///
    /// Panics if the address is not free.
    pub async fn start_at(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen)
            .await
            .expect("failed to bind a loopback address");
        let address = listener
            .local_addr()
            .expect("failed to read the local address");
        let state = Rc::new(ProxyState::default());
        let accept_state = Rc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let state = Rc::clone(&accept_state);
                let client = from.ip();
                actix_rt::spawn(
                    async move { serve_connection(stream, client, target, &state).await },
                );
            }
        });
        Self { address, state }
    }

    /// Address at which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of new and open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.fault.set(fault);
        self.state.changed.notify_waiters();
    }

    /// Resets new connections of some clients, and open ones unless they live on.
    pub fn cut_off(&self, clients: &BTreeSet<IpAddr>, keeps_open: bool) {
        self.state.cut_off.replace(clients.clone());
        self.state.keeps_open.set(keeps_open);
        self.state.changed.notify_waiters();
    }

    /// Accepts connections of all clients again.
    pub fn end_cut(&self) {
        self.state.cut_off.borrow_mut().clear();
    }

    /// Stalls the connections that are open, for good. New ones work.
    pub fn stall_open_connections(&self) {
        self.state.epoch.set(self.state.epoch.get() + 1);
        self.state.changed.notify_waiters();
    }

    /// Resets the open connections and those opened within the next 5 ms. Clears any other fault.
    pub fn reset_open_connections(&self) {
        self.set_fault(LinkFault::Reset);
        let state = Rc::clone(&self.state);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            state.fault.set(LinkFault::None);
            state.changed.notify_waiters();
        });
    }
}

async fn serve_connection(
    client: TcpStream,
    client_ip: IpAddr,
    target: SocketAddr,
    state: &ProxyState,
) {
    let is_cut_off = state.cut_off.borrow().contains(&client_ip);
    if is_cut_off || state.fault.get() == LinkFault::Reset {
        reset_on_close(&client);
        return;
    }
    let epoch = state.epoch.get();
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_close(&client);
        return;
    };
    for stream in [&client, &server] {
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let was_reset = tokio::select! {
        was_reset = forward(&mut from_client, &mut to_server, state, epoch, false) => was_reset,
        was_reset = forward(&mut from_server, &mut to_client, state, epoch, true) => was_reset,
        () = wait_for_reset(state, client_ip) => true,
    };
    if was_reset {
        reset_on_close(to_client.as_ref());
        reset_on_close(to_server.as_ref());
        // Dropping a write half otherwise shuts it down gracefully before the reset.
        to_client.forget();
        to_server.forget();
    }
}

async fn wait_for_reset(state: &ProxyState, client: IpAddr) {
    loop {
        let changed = state.changed.notified();
        if state.resets_open(client) {
            return;
        }
        changed.await;
    }
}

fn reset_on_close(stream: &TcpStream) {
    // With a linger time of zero, closing the socket sends a reset. Setting it fails only on a
    // connection that has ended, which needs no reset.
    drop(stream.set_zero_linger());
}

/// Forwards bytes until one side closes. Returns whether the connection failed, so that the caller
/// resets both sides.
async fn forward(
    reader: &mut tokio::net::tcp::OwnedReadHalf,
    writer: &mut tokio::net::tcp::OwnedWriteHalf,
    state: &ProxyState,
    epoch: u64,
    is_response: bool,
) -> bool {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else {
            return true;
        };
        if length == 0 {
            return false;
        }
        loop {
            let changed = state.changed.notified();
            let is_stalled = state.epoch.get() != epoch
                || match state.fault.get() {
                    LinkFault::Stall => true,
                    LinkFault::StallResponses => is_response,
                    LinkFault::None | LinkFault::Delay(_) | LinkFault::Reset => false,
                };
            if !is_stalled {
                break;
            }
            changed.await;
        }
        if let LinkFault::Delay(delay) = state.fault.get() {
            actix_rt::time::sleep(delay).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return true;
        }
    }
}
