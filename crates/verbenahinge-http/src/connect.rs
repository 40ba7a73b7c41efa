//! Outgoing TCP connections with keepalive, so that an unresponsive peer is detected.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Idle time before the first keepalive probe; short enough that several probes fit into the time
/// within which a lost peer has to be detected.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keepalive probes; the kernel accepts whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which sent data or keepalive probes may stay unacknowledged before the kernel closes the
/// connection (`TCP_USER_TIMEOUT`). It takes the place of a number of probes, which the kernel ignores
/// beside it: an idle connection ends with the first probe that is due after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Opens a TCP connection that detects the loss of its peer within a few seconds, even when idle.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened or configured, with the kind
/// [`io::ErrorKind::TimedOut`] if it was not established within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    configure(address, timeout, TcpStream::connect(address)).await
}

/// Opens a connection like [`connect`], from the given address of this machine.
///
/// # Errors
///
/// Returns the errors of [`connect`], or an error if the machine does not have the address.
pub async fn connect_from(
    source: IpAddr,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    configure(address, timeout, socket.connect(address)).await
}

async fn configure(
    address: SocketAddr,
    timeout: Duration,
    connecting: impl Future<Output = io::Result<TcpStream>>,
) -> io::Result<TcpStream> {
    let stream = crate::timeout(timeout, connecting).await.map_err(|_| {
        let message = format!("{address} did not accept a connection within {timeout:?}");
        io::Error::new(io::ErrorKind::TimedOut, message)
    })??;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
