//! A loopback proxy that harms the connections through it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What happens to the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Harm {
    /// Bytes pass.
    #[default]
    None,
    /// Bytes pass after a time.
    Delay(Duration),
    /// New connections are reset, and those that are open as well.
    Reset,
    /// Nothing passes in either direction, without a word.
    Silence,
    /// Nothing passes towards the caller.
    SilentAnswers,
}

#[derive(Default)]
struct Shared {
    harm: Cell<Harm>,
    epoch: Cell<u64>,
    changed: Notify,
}

/// A loopback proxy that harms the connections through it.
pub struct Proxy {
    address: SocketAddr,
    shared: Rc<Shared>,
}

impl Proxy {
    /// Starts a proxy in front of an address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Rc::new(Shared::default());
        let accepting = Rc::clone(&shared);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Rc::clone(&accepting);
                actix_rt::spawn(async move { serve(stream, target, &shared).await });
            }
        });
        Self { address, shared }
    }

    /// Where the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections from now on.
    pub fn set(&self, harm: Harm) {
        self.shared.harm.set(harm);
        self.shared.changed.notify_waiters();
    }

    /// Lets nothing pass any more on the connections that are open; new ones work.
    pub fn silence_open(&self) {
        self.shared.epoch.set(self.shared.epoch.get() + 1);
        self.shared.changed.notify_waiters();
    }

    /// Resets the connections that are open; new ones work.
    pub fn reset_open(&self) {
        self.set(Harm::Reset);
        let shared = Rc::clone(&self.shared);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            shared.harm.set(Harm::None);
            shared.changed.notify_waiters();
        });
    }
}

async fn serve(caller: TcpStream, target: SocketAddr, shared: &Shared) {
    if shared.harm.get() == Harm::Reset {
        reset(&caller);
        return;
    }
    let epoch = shared.epoch.get();
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    for stream in [&caller, &server] {
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let was_reset = tokio::select! {
        was_reset = pump(&mut from_caller, &mut to_server, shared, epoch, false) => was_reset,
        was_reset = pump(&mut from_server, &mut to_caller, shared, epoch, true) => was_reset,
        () = wait_reset(shared) => true,
    };
    if was_reset {
        reset(to_caller.as_ref());
        reset(to_server.as_ref());
        // Dropped otherwise, they would end the connections in good order first.
        to_caller.forget();
        to_server.forget();
    }
}

async fn wait_reset(shared: &Shared) {
    loop {
        let changed = shared.changed.notified();
        if shared.harm.get() == Harm::Reset {
            return;
        }
        changed.await;
    }
}

fn reset(stream: &TcpStream) {
    // Makes the close a reset; a stream that has ended already needs none.
    drop(stream.set_zero_linger());
}

/// Passes bytes on until one side ends; says whether it was reset, which is passed on as well.
async fn pump(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    shared: &Shared,
    epoch: u64,
    is_answer: bool,
) -> bool {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return true;
        };
        if length == 0 {
            return false;
        }
        loop {
            let changed = shared.changed.notified();
            let is_silent = shared.epoch.get() != epoch
                || match shared.harm.get() {
                    Harm::Silence => true,
                    Harm::SilentAnswers => is_answer,
                    Harm::None | Harm::Delay(_) | Harm::Reset => false,
                };
            if !is_silent {
                break;
            }
            changed.await;
        }
        if let Harm::Delay(delay) = shared.harm.get() {
            actix_rt::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return true;
        }
    }
}
