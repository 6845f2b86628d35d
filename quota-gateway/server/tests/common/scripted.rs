//! Peers that a test plays by hand: it says when a connection comes up, what is on it, and how it ends.

use super::{until, LONG};
use crate::common::Message;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A pay server whose connections the test takes one by one.
pub struct Scripted {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl Scripted {
    pub fn start() -> Scripted {
        Scripted::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    fn on(listener: TcpListener) -> Scripted {
        listener.set_nonblocking(true).expect("set");
        Scripted { addr: listener.local_addr().expect("bound"), listener }
    }

    /// A connection that waits to be taken, if there is one.
    pub fn waiting(&self) -> Option<Held> {
        match self.listener.accept() {
            Ok((stream, _)) => Some(Held::new(stream)),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                None
            }
        }
    }

    /// The next connection.
    pub fn accept(&self) -> Held {
        let mut held = None;
        until("a connection", || {
            held = self.waiting();
            held.is_some()
        });
        held.expect("just seen")
    }

    /// The next connection, and the request that comes on it.
    pub fn taken(&self) -> (Held, Message) {
        let mut held = self.accept();
        let message = held.request().expect("a request");
        (held, message)
    }
}

/// One connection of a scripted server.
pub struct Held(pub BufReader<TcpStream>);

impl Held {
    fn new(stream: TcpStream) -> Held {
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Held(BufReader::new(stream))
    }

    /// The next request; none where the gateway ends the connection.
    pub fn request(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// Whether bytes are there that nobody has read.
    pub fn has_bytes(&self) -> bool {
        let mut byte = [0];
        self.0.get_ref().set_nonblocking(true).expect("set");
        let peeked = self.0.get_ref().peek(&mut byte);
        self.0.get_ref().set_nonblocking(false).expect("set");
        !self.0.buffer().is_empty() || matches!(peeked, Ok(n) if n > 0)
    }

    /// What else comes on it until the gateway ends it, be it by a reset.
    pub fn rest(mut self) -> String {
        let mut rest = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut rest) {
            assert_eq!(e.kind(), ErrorKind::ConnectionReset, "{e} behind {rest:?}");
        }
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Ends it with a reset, as the system of a process does that was killed with work in hand.
    pub fn reset(self) {
        SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("set");
    }
}

/// An address at which connections never come up: its queue is full, and nobody accepts.
pub struct Hanging {
    pub addr: SocketAddr,
    listener: Socket,
    queued: Vec<TcpStream>,
}

impl Hanging {
    pub fn new() -> Hanging {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        listener.listen(0).expect("listening");
        let addr = listener.local_addr().expect("bound").as_socket().expect("of IP");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
            queued.push(stream);
            assert!(queued.len() < 100, "its queue has an end");
        }
        Hanging { addr, listener, queued }
    }

    /// Lets those come up that hang, when their system tries again; the server from now on.
    pub fn release(self) -> Scripted {
        let scripted = Scripted::on(self.listener.into());
        for _ in &self.queued {
            drop(scripted.accept());
        }
        scripted
    }
}
