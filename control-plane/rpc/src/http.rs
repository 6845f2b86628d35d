//! A small HTTP server: one thread for each request that is being answered.

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::io;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Method, Request as Incoming, Response, Server};
use tracing::warn;

/// The longest body that is read, in bytes: a snapshot of a store's whole state.
const MAX_BODY_BYTES: u64 = 512 << 20;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 256;
/// Stack of a thread that answers one request, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// A peer that is gone without a word is noticed after this time of silence ...
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// ... and after probes this far apart.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A request as the handler gets it.
pub struct Request {
    pub method: Method,
    /// Path and query.
    pub url: String,
    headers: Vec<Header>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found =
            self.headers.iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }
}

/// What the handler answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    /// An answer without a body.
    pub fn status(status: u16) -> Reply {
        Reply { status, ..Reply::default() }
    }

    /// One line of text.
    pub fn text(status: u16, text: &str) -> Reply {
        Reply { status, body: format!("{text}\n").into_bytes(), ..Reply::default() }
    }

    pub fn bytes(status: u16, body: Vec<u8>) -> Reply {
        Reply { status, body, ..Reply::default() }
    }

    pub fn json(status: u16, body: String) -> Reply {
        let headers = vec![("Content-Type", "application/json".to_owned())];
        Reply { status, headers, body: body.into_bytes() }
    }

    /// An answer with one more header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Reply {
        self.headers.push((name, value));
        self
    }
}

/// Listens on `addr`; accepted connections notice peers that are gone without a word.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    // Options of the listener hold for what it accepts. A system that refuses them only notices later.
    drop(socket.set_tcp_keepalive(&probes));
    drop(socket.set_tcp_nodelay(true));
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

fn respond(mut incoming: Incoming, handler: &dyn Fn(Request) -> Reply) {
    let mut body = Vec::new();
    if incoming.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body).is_err() {
        return;
    }
    let request = Request {
        method: incoming.method().clone(),
        url: incoming.url().to_owned(),
        headers: incoming.headers().to_vec(),
        body,
    };
    let reply = handler(request);
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    for (name, value) in reply.headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    // Whoever asked may have gone.
    drop(incoming.respond(response));
}

/// Answers requests on `listener`, each on a thread of its own, until the process ends.
pub fn serve<F>(listener: TcpListener, handler: F) -> io::Result<()>
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let handler = Arc::new(handler);
    let accept = move || {
        for incoming in server.incoming_requests() {
            let handler = handler.clone();
            let spawned = thread::Builder::new()
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || respond(incoming, &*handler));
            if let Err(e) = spawned {
                warn!("no thread for a request: {e}");
            }
        }
    };
    thread::Builder::new().name("http".to_owned()).spawn(accept)?;
    Ok(())
}
