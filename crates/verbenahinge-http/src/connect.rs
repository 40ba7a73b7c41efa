//! Outgoing connections that notice when the other end has gone silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the other end is probed; a few of these fit into the bounds within
/// which a lost peer has to be noticed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes; the kernel takes whole seconds only.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is broken.
const PROBES: u32 = 2;

/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Opens a connection whose loss is noticed within a few seconds, also when it is idle.
///
/// # Errors
///
/// Returns why no connection could be opened; [`io::ErrorKind::TimedOut`] if nothing answered in
/// time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| {
            let message = format!("{address} did not accept a connection within {timeout:?}");
            io::Error::new(io::ErrorKind::TimedOut, message)
        })??;
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
