//! State that the tasks of a gateway share.

use crate::concurrency::MeanConcurrency;
use crate::peers::PeerGateways;
use crate::state::State;
use crate::stores::StoreClient;
use crate::upstream::{
    AttemptCounters, AttemptEnd, AttemptError, ConnectionPool, ResponseClass, ResponsePolicy, SentRequest,
};
use hyper::http::response::Parts;
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
use tracing::debug;

/// Shared state of a gateway's tasks. All tasks run on one thread, so cells are used instead of
/// locks. No cell may stay borrowed across an `await`.
pub struct Gateway {
    /// Settings of the process.
    pub settings: Settings,
    /// Newest configuration, server list and store view. Shared with the thread that polls for
    /// updates.
    pub state: Arc<State>,
    /// Client for calls to the stores.
    pub stores: StoreClient,
    /// Idle connections to model servers.
    pub pool: ConnectionPool,
    /// Counts how attempts at model servers ended.
    pub attempts: AttemptCounters,
    /// The servers and their load; chooses the server for a request.
    pub balancer: RefCell<LoadBalancer>,
    /// The other gateways of the zone.
    pub peers: PeerGateways,
    /// Constants of server selection and load estimation.
    pub tuning: Tuning,
    /// Admission control for live requests.
    pub admission: RefCell<Admission>,
    /// Number of client requests whose response is not complete. During a drain the process exits
    /// when it reaches 0.
    pub in_flight: Cell<usize>,
    /// Moving average of the live requests at servers.
    pub live_concurrency: MeanConcurrency,
    /// Origin of the monotonic clock that load balancing and admission control use.
    started_at: Instant,
}

impl Gateway {
    /// Returns a gateway without any servers.
    pub fn new(settings: Settings, tuning: Tuning, state: Arc<State>) -> Gateway {
        // Seeds differ between gateways, so that they draw different random sequences.
        let seed = fnv1a(settings.node_name.as_bytes());
        Gateway {
            stores: StoreClient::new(state.clone()),
            pool: ConnectionPool::default(),
            attempts: AttemptCounters::default(),
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

    /// Returns the current time on the clock that load balancing and admission control use.
    pub fn now(&self) -> Timestamp {
        self.started_at.elapsed()
    }

    /// Returns the service for a request, according to the weights of its route. Equal ids map to
    /// the same service at every gateway. The name is empty if no service has a weight.
    pub fn service_of(&self, route: &Route, id: &str) -> String {
        let total: f64 = route.backends.iter().map(|backend| backend.weight).sum();
        let mut point = unit_interval(fnv1a(id.as_bytes())) * total;
        for backend in &route.backends {
            if point < backend.weight {
                return backend.service.clone();
            }
            point -= backend.weight;
        }
        // Because of rounding errors, the loop can end without a match.
        let last = route.backends.iter().rev().find(|backend| backend.weight > 0.0);
        last.map(|backend| backend.service.clone()).unwrap_or_default()
    }

    /// Returns the number of connections that each server of a service accepts from all gateways
    /// together, or 0 if it is not configured.
    pub fn max_connections_of(&self, service: &str) -> u32 {
        let configuration = self.state.snapshot().configuration;
        configuration.and_then(|c| c.service(service).map(|s| s.max_connections)).unwrap_or(0)
    }

    /// Records how an attempt at a server ended.
    pub fn record_outcome(&self, server: &Server, outcome: ServerOutcome) {
        self.balancer.borrow_mut().on_outcome(&server.id, outcome, self.now());
    }

    /// Classifies the head of a response, and records what it says about the server.
    pub fn on_response(
        &self,
        policy: ResponsePolicy,
        head: &Parts,
        request: &SentRequest<'_>,
        server: &Server,
    ) -> ResponseClass {
        let mut balancer = self.balancer.borrow_mut();
        policy.classify_and_record(head, request, &server.id, &self.attempts, &mut balancer, self.now())
    }

    /// Records that an attempt of the request `id` got no response. Also closes the idle connections
    /// to the server, because they cannot be trusted either.
    pub fn on_attempt_failed(&self, id: &str, server: &Server, cause: AttemptError) {
        debug!(id, server = %server.id, ?cause, "no response from server");
        self.attempts.record(match cause {
            AttemptError::NotSent => AttemptEnd::NotSent,
            AttemptError::MayHaveExecuted => AttemptEnd::NoResponse,
        });
        self.record_outcome(server, ServerOutcome::Failed);
        self.pool.close_idle_to(server);
    }
}
