//! Stand-in for a model server: a test determines every byte that it sends.

use super::http::Request;
use super::unused_ip;
use marblecroft_protocol::servers::Server;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Slots of each server.
const SLOTS: u32 = 8;

/// The stand-in.
pub struct ModelServer {
    id: String,
    address: SocketAddr,
}

impl ModelServer {
    /// Starts a server. `handler` is called with each request and with what was sent on its connection
    /// before, one element for each request, and returns the bytes to send.
    pub fn start<F>(id: &str, handler: F) -> ModelServer
    where
        F: Fn(&Request, &[Vec<u8>]) -> Vec<u8> + Send + Sync + 'static,
    {
        let address = accept_connections(move |stream| serve_connection(stream, &handler));
        ModelServer { id: id.to_owned(), address }
    }

    /// Returns the server's entry in the list of servers.
    pub fn entry(&self) -> Server {
        entry(&self.id, "a", self.address, SLOTS)
    }
}

/// Returns the entry of a server in the list of servers.
pub(super) fn entry(id: &str, zone: &str, address: SocketAddr, slots: u32) -> Server {
    Server {
        id: id.to_owned(),
        backend: "service".to_owned(),
        address,
        zone: zone.to_owned(),
        slots,
        draining: false,
        warmup_left_ms: 0,
    }
}

/// Accepts connections at an unused address, and calls `serve` with each on a thread of its own. Returns the
/// address.
pub(super) fn accept_connections(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((unused_ip(), 0)).expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &impl Fn(&Request, &[Vec<u8>]) -> Vec<u8>) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut sent: Vec<Vec<u8>> = Vec::new();
    while let Ok(Some(request)) = Request::read(&mut reader) {
        let bytes = handler(&request, &sent);
        if stream.write_all(&bytes).is_err() {
            return;
        }
        sent.push(bytes);
    }
}
