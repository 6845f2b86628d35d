//! A client connection to a server.

use crate::socket::{HyperIo, Socket};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use std::cell::Cell;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// An answer's head holds at most this much, and as much is read of a body at once. Guards memory against a head
/// that does not end.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// ... and so many lines.
const MAX_HEADERS: usize = 64;

/// A connection. Dropping it closes it, which is how an attempt is given up.
pub struct ClientConnection<B> {
    sender: SendRequest<B>,
    socket: Rc<Socket<()>>,
    driver: AbortHandle,
    _count: Option<ConnectionCount>,
}

impl<B> Drop for ClientConnection<B> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<B> ClientConnection<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Connects; `open` counts the connections of a budget.
    pub async fn connect(
        addr: SocketAddr,
        within: Duration,
        open: Option<Rc<Cell<usize>>>,
    ) -> io::Result<ClientConnection<B>> {
        // Counted from here on, as a connection that is coming up holds a descriptor too.
        let counted = open.map(ConnectionCount::new);
        let stream = timeout(within, TcpStream::connect(addr)).await??;
        let socket = Socket::new(stream, ())?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let (sender, connection) =
            builder.handshake(HyperIo(socket.clone())).await.map_err(io::Error::other)?;
        // How a connection ends is seen by the request on it, if there is one.
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(ClientConnection { sender, socket, driver, _count: counted })
    }

    /// Whether a request can be sent on it that will be answered by what comes: the server has not closed it, and
    /// nothing has come behind the last answer, which would be taken for that of the next request.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && self.socket.has_no_input()
    }

    /// Whether hyper holds the connection for ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be sent; whether the connection still stands.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub async fn send(&mut self, request: Request<B>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }

    /// Like [`Link::send`], but gives back a request of which nothing was written.
    pub async fn try_send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.sender.try_send_request(request).await
    }
}

/// A place in a budget of connections.
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    fn new(open: Rc<Cell<usize>>) -> ConnectionCount {
        open.set(open.get() + 1);
        ConnectionCount(open)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
