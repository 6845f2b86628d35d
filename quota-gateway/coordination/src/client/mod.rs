//! The client of the service, for gateways and other programs: one connection for each process, however many callers.
//!
//! - `connection`: finds the leader, follows it, and sends a request again until there is a reply.
//! - `calls`: operations that take effect once, reads and watches.
//! - `session`: sessions and their renewal.
//! - `lock`: locks of a session.
//!
//! A call that is sent again after a lost reply takes effect once. A watch resumes by its revision, and never misses a change
//! or goes back.

mod calls;
mod connection;
mod error;
mod lock;
mod session;

pub use error::CallError;
pub use lock::Lock;
pub use session::Session;

use crate::env::{chance, Clock, Env};
use calls::Incarnation;
use connection::Connection;
use rand::Rng;
use session::SessionTable;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// One process is waited for at most this long before another one is asked; a watch for as much longer as it waits.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);

struct Inner {
    incarnation: RefCell<Rc<Incarnation>>,
    addresses: Vec<String>,
    /// Where the leader that is named is called, with its own port, if there is an address translator between.
    translator: Option<IpAddr>,
    /// Index, modulo their count, of the address that is tried next where no leader is known.
    next_address: Cell<usize>,
    leader: RefCell<Option<String>>,
    connection: RefCell<Option<Connection>>,
    connecting: tokio::sync::Mutex<()>,
    sessions: RefCell<SessionTable>,
    clock: Clock,
    env: Env,
}

/// A client of the service; clones share its connection and its sessions.
#[derive(Clone)]
pub struct Client(Rc<Inner>);

impl Client {
    /// Returns a client of the service at these addresses, of which one must be right. It connects with the first call.
    pub fn new(addresses: Vec<String>) -> Client {
        Client::behind_translator(addresses, None)
    }

    /// Returns a client behind an address translator: whichever leader is named is called at that address, with its own port.
    pub fn behind_translator(addresses: Vec<String>, translator: Option<IpAddr>) -> Client {
        Client::in_env(Env::default(), addresses, translator)
    }

    /// Returns a client with other clocks and connections than the system's.
    pub fn in_env(env: Env, addresses: Vec<String>, translator: Option<IpAddr>) -> Client {
        let first = if addresses.is_empty() { 0 } else { chance(|rng| rng.random_range(0..addresses.len())) };
        Client(Rc::new(Inner {
            incarnation: RefCell::new(Incarnation::begin()),
            addresses,
            translator,
            next_address: Cell::new(first),
            leader: RefCell::default(),
            connection: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            sessions: RefCell::default(),
            clock: env.clock(),
            env,
        }))
    }

    fn now(&self) -> Duration {
        self.0.clock.now()
    }
}
