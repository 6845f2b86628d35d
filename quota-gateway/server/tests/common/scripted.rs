//! Stub servers under a test's direct control: the test accepts each connection, writes its bytes and closes
//! it.

use super::{until, WAIT_TIMEOUT};
use crate::common::Message;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A pay server whose connections the test accepts one by one.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl ScriptedServer {
    pub fn start() -> ScriptedServer {
        ScriptedServer::on(TcpListener::bind("127.0.0.1:0").expect("bind a port"))
    }

    fn on(listener: TcpListener) -> ScriptedServer {
        listener.set_nonblocking(true).expect("set the socket option");
        ScriptedServer { addr: listener.local_addr().expect("a bound socket"), listener }
    }

    /// Accepts a queued connection, if there is one.
    pub fn try_accept(&self) -> Option<ServerConnection> {
        match self.listener.accept() {
            Ok((stream, _)) => Some(ServerConnection::new(stream)),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                None
            }
        }
    }

    /// Waits for the next connection and accepts it.
    pub fn accept(&self) -> ServerConnection {
        let mut accepted = None;
        until("a connection arrives", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.expect("accepted above")
    }

    /// Accepts the next connection, and reads the first request on it.
    pub fn accept_request(&self) -> (ServerConnection, Message) {
        let mut connection = self.accept();
        let message = connection.request().expect("a request");
        (connection, message)
    }
}

/// One connection of a scripted server.
pub struct ServerConnection(pub BufReader<TcpStream>);

impl ServerConnection {
    fn new(stream: TcpStream) -> ServerConnection {
        stream.set_nonblocking(false).expect("set the socket option");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the socket option");
        ServerConnection(BufReader::new(stream))
    }

    /// Reads the next request; `None` if the gateway closes the connection.
    pub fn request(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("write succeeds");
    }

    /// Returns whether received bytes have not been read yet.
    pub fn has_bytes(&self) -> bool {
        let mut byte = [0];
        self.0.get_ref().set_nonblocking(true).expect("set the socket option");
        let peeked = self.0.get_ref().peek(&mut byte);
        self.0.get_ref().set_nonblocking(false).expect("set the socket option");
        !self.0.buffer().is_empty() || matches!(peeked, Ok(n) if n > 0)
    }

    /// Reads until the gateway closes or resets the connection, and returns the text.
    pub fn read_to_close(mut self) -> String {
        let mut text = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut text) {
            assert_eq!(e.kind(), ErrorKind::ConnectionReset, "{e} after {text:?}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Resets the connection, as the kernel does for a process that is killed with requests in flight.
    pub fn reset(self) {
        SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("set the socket option");
    }
}

/// A server whose connects hang: its listen queue is full, and no connection is accepted.
pub struct HangingServer {
    pub addr: SocketAddr,
    listener: Socket,
    queued: Vec<TcpStream>,
}

impl HangingServer {
    pub fn new() -> HangingServer {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        listener
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("a socket address").into())
            .expect("bind a port");
        listener.listen(0).expect("listen");
        let addr = listener.local_addr().expect("a bound socket").as_socket().expect("an IP address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
            queued.push(stream);
            assert!(queued.len() < 100, "the listen queue does not fill up");
        }
        HangingServer { addr, listener, queued }
    }

    /// Empties the listen queue, so that hanging connects succeed when the kernel retransmits them. Returns
    /// the server, which accepts connections from now on.
    pub fn release(self) -> ScriptedServer {
        let server = ScriptedServer::on(self.listener.into());
        for _ in &self.queued {
            drop(server.accept());
        }
        server
    }
}
