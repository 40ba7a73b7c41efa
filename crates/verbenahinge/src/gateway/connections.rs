//! Connections to backend servers.
//!
//! Each connection carries one request at a time. It is used again only after a whole answer to
//! the very request that was sent, and dropping a lease closes it, so that a server stops working
//! on what nobody waits for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use verbenahinge_core::ServerName;

/// Time within which a backend server accepts a connection; the network takes some milliseconds,
/// and a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections that are kept for one server; servers bound the connections of all VMs.
const IDLE_LIMIT: usize = 8;

/// Time for which an idle connection is kept when the server names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the idle timeout of a server after which a connection is not used again, so that a
/// request does not cross its closing.
const IDLE_PART: f64 = 0.6;

/// Time for which a connection that was just used may take to become ready again.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    until: Instant,
}

/// Idle connections by server.
#[derive(Default)]
pub(crate) struct Connections {
    idle: RefCell<BTreeMap<(ServerName, SocketAddr), Vec<Idle>>>,
}

/// A connection that carries one request.
pub(crate) struct Lease {
    connections: Rc<Connections>,
    server: ServerName,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    driver: Option<JoinHandle<()>>,
    is_fresh: bool,
}

impl Connections {
    /// Returns an idle connection to a server, or opens one.
    pub(crate) async fn lease(
        self: &Rc<Self>,
        server: &ServerName,
        address: SocketAddr,
    ) -> io::Result<Lease> {
        while let Some(idle) = self.take_idle(server, address) {
            let mut lease = Lease {
                connections: Rc::clone(self),
                server: server.clone(),
                address,
                sender: Some(idle.sender),
                driver: Some(idle.driver),
                is_fresh: false,
            };
            if lease.becomes_ready().await {
                return Ok(lease);
            }
        }
        self.open(server, address).await
    }

    /// Opens a new connection to a server.
    pub(crate) async fn open(
        self: &Rc<Self>,
        server: &ServerName,
        address: SocketAddr,
    ) -> io::Result<Lease> {
        let stream = verbenahinge_http::connect(address, CONNECT_TIMEOUT).await?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Lease {
            connections: Rc::clone(self),
            server: server.clone(),
            address,
            sender: Some(sender),
            driver: Some(driver),
            is_fresh: true,
        })
    }

    fn take_idle(&self, server: &ServerName, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&(server.clone(), address))?;
        let now = Instant::now();
        while let Some(connection) = list.pop() {
            if connection.until > now && !connection.sender.is_closed() {
                return Some(connection);
            }
            connection.driver.abort();
        }
        None
    }

    /// Closes idle connections to servers that are not used any more, and those that are too old.
    pub(crate) fn expire(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for ((server, _), list) in idle.iter_mut() {
            let known = is_known(server);
            list.retain(|connection| {
                let keep = known && connection.until > now && !connection.sender.is_closed();
                if !keep {
                    connection.driver.abort();
                }
                keep
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

impl Lease {
    /// Says whether no request was sent on the connection before.
    pub(crate) const fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// The end that takes the request; `None` after the connection was given back.
    pub(crate) const fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }

    async fn becomes_ready(&mut self) -> bool {
        let Some(sender) = &mut self.sender else {
            return false;
        };
        let ready = actix_rt::time::timeout(READY_TIMEOUT, sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Gives the connection back after a whole answer.
    pub(crate) fn give_back(mut self, idle_timeout: Option<Duration>, closes: bool) {
        let (Some(sender), Some(driver)) = (self.sender.take(), self.driver.take()) else {
            return;
        };
        if closes || sender.is_closed() {
            driver.abort();
            return;
        }
        let timeout = idle_timeout.unwrap_or(IDLE_TIMEOUT).mul_f64(IDLE_PART);
        let until = Instant::now() + timeout;
        let key = (self.server.clone(), self.address);
        let mut idle = self.connections.idle.borrow_mut();
        let list = idle.entry(key).or_default();
        if list.len() >= IDLE_LIMIT {
            list.remove(0).driver.abort();
        }
        list.push(Idle {
            sender,
            driver,
            until,
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(driver) = &self.driver {
            driver.abort();
        }
    }
}
