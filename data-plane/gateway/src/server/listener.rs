//! The listening socket.

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// The most connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// A client that is gone silently is noticed after this idle time ...
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// ... and some probes at this interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Listens on `address`, also where connections of an earlier process are still in TIME-WAIT.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    // Accepted connections inherit it. Without it clients that are gone are noticed later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
