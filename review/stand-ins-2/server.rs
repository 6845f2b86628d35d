//! A model server.

use crate::deployment::Record;
use crate::http::{Message, Wire};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub id: String,
}

/// What the servers of a case have run, and how they behave.
#[derive(Clone)]
pub struct Servers {
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub slots: u32,
    /// Tokens that a server's memory holds.
    pub kv_tokens: u64,
    /// Ids of the servers that have ended.
    pub gone: Arc<Mutex<HashSet<String>>>,
    /// Events of a stream, and the time between them.
    pub events: u32,
    pub gap: Duration,
}

impl Servers {
    pub fn new(record: &Record, slots: u32, kv_tokens: u64) -> Servers {
        Servers {
            record: record.clone(),
            runs: Arc::default(),
            slots,
            kv_tokens,
            gone: Arc::default(),
            events: 4,
            gap: Duration::from_millis(20),
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Ends a server: from now on its connections are closed, and nothing runs there.
    pub fn end(&self, id: &str) {
        self.gone.lock().unwrap_or_else(|e| e.into_inner()).insert(id.to_owned());
    }

    fn is_gone(&self, id: &str) -> bool {
        self.gone.lock().unwrap_or_else(|e| e.into_inner()).contains(id)
    }

    /// Starts a server under a new incarnation's id.
    pub fn start(&self, id: &str, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("address of a server");
        let (servers, id, busy) = (self.clone(), id.to_owned(), Arc::new(AtomicU32::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if servers.is_gone(&id) {
                    continue;
                }
                let (servers, id, busy) = (servers.clone(), id.clone(), busy.clone());
                thread::spawn(move || servers.serve(stream, &id, &busy));
            }
        });
    }

    fn serve(&self, stream: TcpStream, id: &str, busy: &AtomicU32) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read_request() {
            if self.is_gone(id) {
                return;
            }
            if self.answer(&mut wire, &request, id, busy).is_err() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, request: &Message, id: &str, busy: &AtomicU32) -> io::Result<()> {
        if request.method() == "GET" {
            return wire.write(
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
            );
        }
        let request_id = request.header("x-request-id").unwrap_or("-").to_owned();
        let load = |running: u32| format!("X-Server-Load: {running},0,{}\r\n", self.slots);
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            return wire.write(
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            );
        }
        let usage = request.header("x-token-usage").unwrap_or("0,0");
        let tokens: u64 = usage.split(',').filter_map(|n| n.trim().parse::<u64>().ok()).sum();
        let running = busy.fetch_add(1, Ordering::SeqCst);
        if tokens > self.kv_tokens || running >= self.slots {
            busy.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!("server {id}: {request_id} ({tokens} tokens) -> 503 X-Not-Executed"));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\n{}\
                 Content-Length: 0\r\n\r\n",
                load(running)
            );
            return wire.write(head.as_bytes());
        }
        let done = self.stream(wire, request, &request_id, id, &load(running + 1));
        busy.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn stream(&self, wire: &mut Wire, request: &Message, request_id: &str, id: &str, load: &str) -> io::Result<()> {
        let at = self.record.now();
        let run = Run { at, server: id.to_owned(), id: request_id.to_owned() };
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).push(run);
        let after: u32 = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.record.line(&format!("server {id}: runs {request_id} from event {}", after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n\
             X-Response-Signature: {id}.{request_id}\r\n{load}Transfer-Encoding: chunked\r\n\r\n"
        );
        wire.write(head.as_bytes())?;
        for n in after + 1..=self.events {
            thread::sleep(self.gap);
            let event = format!("id: {n}\ndata: {request_id}-{n}\n\n");
            wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        wire.write(b"0\r\n\r\n")
    }
}
