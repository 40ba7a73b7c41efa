//! Pool of connections to backend servers.
//!
//! Each connection carries one request at a time. It is reused only after a complete response to
//! the request that was sent. Dropping a [`PooledConnection`] closes it, so that the server stops
//! working on a request that nobody waits for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use verbenahinge_core::ServerName;

use super::framing_limit::{FramingLimit, LimitedStream, MAX_BUFFER_BYTES};

/// Time within which a backend server must accept a connection; the network takes a few
/// milliseconds, and a lost SYN packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of idle connections per server; servers limit the connections of all VMs
/// together.
const MAX_IDLE_PER_SERVER: usize = 8;

/// Idle timeout of servers that announce none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum idle timeout; servers that announce a longer one count as having this one.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Fraction of a server's idle timeout after which a connection is no longer reused, so that a
/// request is not sent while the server closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Maximum wait for a reused connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time in which the reset of a new connection arrives: a few network round trips.
const KEPT_CHECK_DELAY: Duration = Duration::from_millis(20);

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    framing_limit: Rc<FramingLimit>,
    expires_at: Instant,
}

/// Idle connections by server name and address.
pub(crate) struct ConnectionPool {
    /// Address of this VM.
    source: IpAddr,
    idle: RefCell<BTreeMap<(ServerName, SocketAddr), Vec<IdleConnection>>>,
}

/// Connection acquired for one request.
pub(crate) struct PooledConnection {
    pool: Rc<ConnectionPool>,
    server: ServerName,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    driver: Option<JoinHandle<()>>,
    framing_limit: Rc<FramingLimit>,
    is_new: bool,
}

impl ConnectionPool {
    /// Creates an empty pool for connections from the given address of this VM.
    pub(crate) const fn new(source: IpAddr) -> Self {
        Self {
            source,
            idle: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns an idle connection to a server, or opens a new one.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        server: &ServerName,
        address: SocketAddr,
    ) -> io::Result<PooledConnection> {
        while let Some(idle) = self.take_idle(server, address) {
            let mut connection = PooledConnection {
                pool: Rc::clone(self),
                server: server.clone(),
                address,
                sender: Some(idle.sender),
                driver: Some(idle.driver),
                framing_limit: idle.framing_limit,
                is_new: false,
            };
            if connection.wait_ready().await {
                return Ok(connection);
            }
        }
        self.connect(server, address).await
    }

    /// Opens a new connection to a server.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        server: &ServerName,
        address: SocketAddr,
    ) -> io::Result<PooledConnection> {
        let stream = verbenahinge_http::connect_from(self.source, address, CONNECT_TIMEOUT).await?;
        // Closing the connection drops what the link has not taken yet: nobody waits for it any more.
        stream.set_zero_linger()?;
        let framing_limit = Rc::new(FramingLimit::default());
        let stream = LimitedStream::new(stream, Rc::clone(&framing_limit));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to backend server at {address} failed: {error}");
            }
        });
        Ok(PooledConnection {
            pool: Rc::clone(self),
            server: server.clone(),
            address,
            sender: Some(sender),
            driver: Some(driver),
            framing_limit,
            is_new: true,
        })
    }

    fn take_idle(&self, server: &ServerName, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&(server.clone(), address))?;
        let now = Instant::now();
        while let Some(connection) = list.pop() {
            if connection.expires_at > now && !connection.sender.is_closed() {
                return Some(connection);
            }
            connection.driver.abort();
        }
        None
    }

    /// Closes idle connections that have expired, and those to servers that are no longer known.
    pub(crate) fn remove_stale(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for ((server, _), list) in idle.iter_mut() {
            let known = is_known(server);
            list.retain(|connection| {
                let keep = known && connection.expires_at > now && !connection.sender.is_closed();
                if !keep {
                    connection.driver.abort();
                }
                keep
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

impl PooledConnection {
    /// Returns whether no request was sent on the connection before.
    pub(crate) const fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the sender for the request; `None` after the connection was released.
    pub(crate) const fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }

    /// Server that the connection leads to.
    pub(super) const fn server(&self) -> &ServerName {
        &self.server
    }

    /// Limit on the bytes of the connection that bring nothing.
    pub(super) fn framing_limit(&self) -> &FramingLimit {
        &self.framing_limit
    }

    /// Whether the server keeps a connection that carries no request yet: servers that take no more
    /// connections, and networks that cut a VM off, reset it at once.
    pub(crate) async fn is_kept(&mut self) -> bool {
        actix_rt::time::sleep(KEPT_CHECK_DELAY).await;
        self.sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed())
    }

    async fn wait_ready(&mut self) -> bool {
        let Some(sender) = &mut self.sender else {
            return false;
        };
        let ready = verbenahinge_http::timeout(READY_TIMEOUT, sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Returns the connection to the pool after a complete response, or closes it if the server
    /// does.
    pub(crate) fn release(mut self, idle_timeout: Option<Duration>, closes_connection: bool) {
        let (Some(sender), Some(driver)) = (self.sender.take(), self.driver.take()) else {
            return;
        };
        if closes_connection || sender.is_closed() {
            driver.abort();
            return;
        }
        let timeout = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .min(MAX_IDLE_TIMEOUT)
            .mul_f64(IDLE_TIMEOUT_FRACTION);
        let expires_at = Instant::now() + timeout;
        let key = (self.server.clone(), self.address);
        let mut idle = self.pool.idle.borrow_mut();
        let list = idle.entry(key).or_default();
        if list.len() >= MAX_IDLE_PER_SERVER {
            list.remove(0).driver.abort();
        }
        list.push(IdleConnection {
            sender,
            driver,
            framing_limit: Rc::clone(&self.framing_limit),
            expires_at,
        });
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(driver) = &self.driver {
            driver.abort();
        }
    }
}
