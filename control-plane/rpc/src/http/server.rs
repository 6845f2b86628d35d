//! Accepts requests, and runs the handler of each request on its own thread.
//!
//! A handler may wait for replication or for an update to report, and must not block other requests
//! meanwhile. The number of threads is bounded by the number of callers: the processes of the deployment and
//! the operator.

use super::message::{Reply, Request};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request as Incoming, Response, Server};
use tracing::warn;

/// Number of bytes after which the rest of a body is ignored; a snapshot of a store's state must fit.
const MAX_BODY_BYTES: u64 = 512 << 20;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 256;
/// Stack of a thread that handles one request, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Idle time of a connection after which TCP keepalive probes the peer.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Interval between further keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Listens on `address`. TCP keepalive detects peers that disappear without closing their connection.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    // Accepted connections inherit both options. Without the first, the loss of a peer is detected later;
    // without the second, replies are sent later. The server can operate without either.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_nodelay(true);
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Serves requests on `listener`, each on its own thread, until the process ends.
///
/// # Errors
///
/// Returns an error if the accepting thread cannot be started.
pub fn serve<F>(listener: TcpListener, handler: F) -> io::Result<()>
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let handler = Arc::new(handler);
    thread::Builder::new().name("http".to_owned()).spawn(move || accept_requests(&server, &handler))?;
    Ok(())
}

fn accept_requests<F>(server: &Server, handler: &Arc<F>)
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    for incoming in server.incoming_requests() {
        let handler = handler.clone();
        let spawned =
            thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || respond(incoming, &*handler));
        if let Err(e) = spawned {
            warn!(error = %e, "cannot start a thread for a request");
        }
    }
}

/// Reads the body of a request, runs the handler and sends its reply.
fn respond(mut incoming: Incoming, handler: &dyn Fn(Request) -> Reply) {
    let mut body = Vec::new();
    if incoming.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).is_err() {
        // The client has disconnected or sent an incomplete request, so a reply would not be received.
        return;
    }
    let request = Request {
        method: incoming.method().clone(),
        url: incoming.url().to_owned(),
        headers: incoming.headers().to_vec(),
        body,
    };
    // The client may have disconnected, and nothing depends on whether it receives the reply.
    let _ = incoming.respond(to_response(handler(request)));
}

fn to_response(reply: Reply) -> Response<io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    for (name, value) in reply.headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    response
}
