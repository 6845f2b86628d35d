//! The listening socket.

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Idle time before TCP keep-alive probes are sent, which detect clients that disconnected
/// silently.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Listens on `address`, even if connections of an earlier process are still in TIME-WAIT.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    // Accepted connections inherit this option. Without it, disconnected clients are only detected
    // later, so errors are ignored.
    let _ = socket.set_tcp_keepalive(&keepalive);
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
