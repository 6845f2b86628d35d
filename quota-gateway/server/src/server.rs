//! The clients' side: HTTP/1.1 on one listening socket.
//!
//! [`listener`] accepts connections and limits their number; [`connection`] tracks a connection's phase and
//! its timeout; [`serving`] drives it with hyper. Each request is read and validated by [`request_reader`],
//! passed to the engine, and answered by [`responder`] with a [`response`]. [`draining`] ends the connections
//! when the gateway drains or the process exits.

mod connection;
mod draining;
mod listener;
mod request_reader;
mod responder;
pub mod response;
mod serving;

use crate::engine::Engine;
use connection::ClientConnection;
use marblecroft_simulator_adapter::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// Whether the gateway is open to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    /// New connections are accepted and kept open.
    Open,
    /// Requests are answered, but no connection is kept open, and readiness checks fail.
    Draining,
    /// As `Draining`, because the process exits.
    Exiting,
    /// As `Exiting`, but another process of this gateway accepts clients, so readiness checks succeed.
    Replaced,
}

/// The server for clients.
pub struct ClientServer {
    engine: Rc<Engine>,
    gateway_settings: GatewaySettings,
    max_connections: Cell<usize>,
    /// Whether an endpoint list is in force.
    is_ready: Cell<bool>,
    is_accepting: Cell<bool>,
    drain_state: Cell<DrainState>,
    /// Whether there are too many connections. Connections that complete a request are then closed.
    is_over_limit: Cell<bool>,
    accepted_count: Cell<u64>,
    /// The open connections, numbered in the order in which they were accepted.
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    slot_freed: Notify,
    /// The trace ids of the requests in flight.
    open_trace_ids: RefCell<HashSet<u64>>,
}

impl ClientServer {
    /// Creates a server that accepts at most `max_connections` connections.
    pub fn new(
        engine: Rc<Engine>,
        gateway_settings: GatewaySettings,
        max_connections: usize,
    ) -> Rc<ClientServer> {
        Rc::new(ClientServer {
            engine,
            gateway_settings,
            max_connections: Cell::new(max_connections),
            is_ready: Cell::new(false),
            is_accepting: Cell::new(false),
            drain_state: Cell::new(DrainState::Open),
            is_over_limit: Cell::new(false),
            accepted_count: Cell::new(0),
            clients: RefCell::default(),
            slot_freed: Notify::new(),
            open_trace_ids: RefCell::default(),
        })
    }

    /// Records that an endpoint list is in force.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
    }

    /// Returns whether this process accepts clients.
    pub fn accepts_clients(&self) -> bool {
        let is_exiting = matches!(self.drain_state.get(), DrainState::Exiting | DrainState::Replaced);
        self.is_ready.get() && self.is_accepting.get() && !is_exiting
    }
}
