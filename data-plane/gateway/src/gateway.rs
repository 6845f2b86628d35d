//! What the tasks of a gateway share.

use crate::concurrency::MeanConcurrency;
use crate::peers::PeerGateways;
use crate::state::State;
use crate::stores::Stores;
use crate::upstream::ConnectionPool;
use marblecroft_configuration::Route;
use marblecroft_protocol::servers::Server;
use marblecroft_routing::admission::Admission;
use marblecroft_routing::balance::{LoadBalancer, ServerOutcome};
use marblecroft_routing::hash::{fnv1a, unit_interval};
use marblecroft_routing::tuning::Tuning;
use marblecroft_routing::Timestamp;
use marblecroft_settings::Settings;
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Instant;

/// The shared state of a gateway's tasks. All of them run on one thread, hence cells and no locks; no cell may stay borrowed
/// over an `await`.
pub struct Gateway {
    /// The settings of the process.
    pub settings: Settings,
    /// The newest configuration, list of servers and view of the stores. Shared with the thread that pulls them.
    pub state: Arc<State>,
    /// Calls to the stores.
    pub stores: Stores,
    /// Idle connections to model servers.
    pub pool: ConnectionPool,
    /// The servers and their load: where a request goes.
    pub balancer: RefCell<LoadBalancer>,
    /// The other gateways of the zone.
    pub peers: PeerGateways,
    /// The constants of placement.
    pub tuning: Tuning,
    /// Whether a live request is admitted.
    pub admission: RefCell<Admission>,
    /// The number of client requests whose response is not complete. The process ends when there are none.
    pub in_flight: Cell<usize>,
    /// The moving average of live requests at servers.
    pub live_concurrency: MeanConcurrency,
    /// The zero of the clock of placement and admission.
    started_at: Instant,
}

impl Gateway {
    /// Returns a gateway that knows no server yet.
    pub fn new(settings: Settings, tuning: Tuning, state: Arc<State>) -> Gateway {
        // Gateways draw different random sequences.
        let seed = fnv1a(settings.node_name.as_bytes());
        Gateway {
            stores: Stores::new(state.clone()),
            pool: ConnectionPool::default(),
            balancer: RefCell::new(LoadBalancer::new(&settings.zone, seed, tuning.clone())),
            peers: PeerGateways::default(),
            tuning,
            admission: RefCell::default(),
            in_flight: Cell::new(0),
            live_concurrency: MeanConcurrency::default(),
            started_at: Instant::now(),
            state,
            settings,
        }
    }

    /// Returns the time on the clock of placement and admission.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    /// Returns the service that a request goes to, by the weights of its route. Equal ids go to the same service, at each
    /// gateway; the name is empty where no service has a weight.
    pub fn service_of(&self, route: &Route, id: &str) -> String {
        let total: f64 = route.backends.iter().map(|backend| backend.weight).sum();
        let mut point = unit_interval(fnv1a(id.as_bytes())) * total;
        for backend in &route.backends {
            if point < backend.weight {
                return backend.service.clone();
            }
            point -= backend.weight;
        }
        // Rounding can carry the point past the last weight.
        let last = route.backends.iter().rev().find(|backend| backend.weight > 0.0);
        last.map(|backend| backend.service.clone()).unwrap_or_default()
    }

    /// Returns the number of connections that each server of a service accepts from all gateways together; 0 where that is
    /// not configured.
    pub fn max_connections_of(&self, service: &str) -> u32 {
        let configuration = self.state.snapshot().configuration;
        configuration.and_then(|c| c.service(service).map(|s| s.max_connections)).unwrap_or(0)
    }

    /// Records how an attempt at a server ended.
    pub fn record_outcome(&self, server: &Server, outcome: ServerOutcome) {
        self.balancer.borrow_mut().on_outcome(&server.id, outcome, self.now());
    }

    /// Records that an attempt brought no response. The other connections to the server are not trusted either.
    pub fn on_attempt_failed(&self, server: &Server) {
        self.record_outcome(server, ServerOutcome::Failed);
        self.pool.close_idle_to(server);
    }
}
