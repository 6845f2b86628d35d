//! A client connection to a server.
//!
//! hyper's connection future runs in its own task. If it fails, the request on the connection receives the
//! error.

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
use tokio::time;

/// Upper bound of the size of a response's head, and of how much of a body is read at once. Limits the memory
/// that a server can make the process use by sending a head that does not end.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Upper bound of the number of fields in the head of a response.
const MAX_HEADERS: usize = 64;

/// A client connection. Dropping it closes the connection, which is how an attempt is cancelled.
pub struct ClientConnection<B> {
    sender: SendRequest<B>,
    socket: Rc<Socket<()>>,
    /// The task that runs hyper's side of the connection.
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
    /// Connects to a server. The connection is counted in `connection_count` from the start of the attempt
    /// until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `timeout`.
    ///
    /// # Panics
    ///
    /// Panics outside a `tokio` `LocalSet`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        connection_count: Option<Rc<Cell<usize>>>,
    ) -> io::Result<ClientConnection<B>> {
        // Counted before connecting, because a connection that is being established also uses a descriptor.
        let count = connection_count.map(ConnectionCount::new);
        let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
        let socket = Socket::new(stream, ())?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let (sender, connection) =
            builder.handshake(HyperIo(socket.clone())).await.map_err(io::Error::other)?;
        let drive = async move {
            // If there is a request on the connection, it receives the error as well.
            let _ = connection.await;
        };
        let driver = spawn_local(drive).abort_handle();
        Ok(ClientConnection { sender, socket, driver, _count: count })
    }

    /// Returns whether another request can be sent on the connection: the server has not closed it, and has
    /// sent no bytes after the last response. Such bytes would be read as the response to the next request.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && self.socket.has_no_input()
    }

    /// Returns whether hyper considers the connection closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be sent. Returns whether the connection is still open.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails; the server may have received the request.
    pub async fn send(&mut self, request: Request<B>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }

    /// Like [`ClientConnection::send`], but the error contains the request if none of it was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails.
    pub async fn try_send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.sender.try_send_request(request).await
    }
}

/// Counts one connection until it is dropped.
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    fn new(count: Rc<Cell<usize>>) -> ConnectionCount {
        count.set(count.get() + 1);
        ConnectionCount(count)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
