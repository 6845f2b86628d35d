//! The client of the service, for gateways and other programs. All callers of a client share one connection.
//!
//! - `connection`: finds the leader, follows changes of leader, and retries a request until there is a reply.
//! - `calls`: operations that take effect once, reads and watches.
//! - `session`: sessions and their renewal.
//! - `lock`: locks of a session.
//!
//! A call that is sent again after a lost reply takes effect once. A watch resumes from its revision: it
//! never misses a change, and its revision never decreases.

mod calls;
mod connection;
mod error;
mod lock;
mod session;

pub use error::CallError;
pub use lock::Lock;
pub use session::Session;

use crate::env::{with_rng, Clock, Env};
use calls::Incarnation;
use connection::Connection;
use rand::Rng;
use session::SessionTable;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time limit of one attempt at one process, before another process is tried. For a watch, its wait is added.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);

struct Inner {
    incarnation: RefCell<Rc<Incarnation>>,
    addresses: Vec<String>,
    /// IP address of the address translator, if there is one. A leader that is named by a process is then
    /// called at this address, with the leader's own port.
    translator: Option<IpAddr>,
    /// Index of the address that is tried next while no leader is known, modulo the number of addresses.
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
    /// Returns a client of the service at these addresses, of which at least one must belong to a process of
    /// the service. The client connects with its first call.
    pub fn new(addresses: Vec<String>) -> Client {
        Client::behind_translator(addresses, None)
    }

    /// Returns a client that reaches the service through an address translator: a leader that is named by a
    /// process is called at the translator's address, with the leader's own port.
    pub fn behind_translator(addresses: Vec<String>, translator: Option<IpAddr>) -> Client {
        Client::in_env(Env::default(), addresses, translator)
    }

    /// Returns a client that uses the clocks and connections of an environment instead of the system's.
    pub fn in_env(env: Env, addresses: Vec<String>, translator: Option<IpAddr>) -> Client {
        let first =
            if addresses.is_empty() { 0 } else { with_rng(|rng| rng.random_range(0..addresses.len())) };
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
