//! One gateway process: its threads, and what its tasks share.

use crate::batch_runner;
use crate::concurrency::MeanConcurrency;
use crate::load_exchange::{self, LoadExchange};
use crate::puller;
use crate::readiness;
use crate::server;
use crate::state::State;
use crate::stores::Stores;
use crate::upstream::ConnectionPool;
use marblecroft_configuration::{Configuration, RouteType};
use marblecroft_routing::admission::{Admission, RouteClass};
use marblecroft_routing::balance::LoadBalancer;
use marblecroft_routing::hash::{fnv1a, unit_interval};
use marblecroft_routing::tuning::Tuning;
use marblecroft_routing::Now;
use marblecroft_settings::Settings;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;
use tracing::info;

/// Pause between two sweeps of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(300);
/// Threads that wait for calls to stores, at most.
const MAX_BLOCKING_THREADS: usize = 48;
/// Stack of a thread, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Assumed time in which the servers' load answers to admission.
const ADMISSION_LAG: Duration = Duration::from_millis(300);

/// What the tasks of a gateway share; all of them run on one thread.
pub struct Gateway {
    pub settings: Settings,
    pub state: Arc<State>,
    pub stores: Stores,
    pub pool: ConnectionPool,
    pub balancer: RefCell<LoadBalancer>,
    pub load_exchange: LoadExchange,
    pub tuning: Tuning,
    pub admission: RefCell<Admission>,
    /// Client requests that have no whole answer yet.
    pub in_flight: Cell<usize>,
    /// Live requests at servers.
    pub live_concurrency: MeanConcurrency,
    started_at: Instant,
}

impl Gateway {
    /// Time on the clock of placement and admission.
    pub fn now(&self) -> Now {
        self.started_at.elapsed()
    }

    /// The service that a request goes to, by the weights of its route.
    pub fn service_of(&self, route: &marblecroft_configuration::Route, id: &str) -> String {
        let total: f64 = route.backends.iter().map(|(_, weight)| weight).sum();
        let mut at = unit_interval(fnv1a(id.as_bytes())) * total;
        for (name, weight) in &route.backends {
            if at < *weight {
                return name.clone();
            }
            at -= weight;
        }
        route
            .backends
            .iter()
            .rev()
            .find(|(_, weight)| *weight > 0.0)
            .map(|(name, _)| name.clone())
            .unwrap_or_default()
    }

    /// Connections that each server of a service takes from all gateways together; 0 is not told.
    pub fn max_connections_of(&self, service: &str) -> u32 {
        let configuration = self.state.snapshot().configuration;
        configuration.and_then(|c| c.service(service).map(|s| s.max_connections)).unwrap_or(0)
    }

    fn configure_admission(&self, configuration: &Configuration) {
        let classes = configuration.routes().map(|route| RouteClass {
            route: route.name.clone(),
            priority: route.priority,
            value: if route.route_type == RouteType::Batch {
                0.0
            } else {
                1.0 / route.target_latency.as_secs_f64().max(1e-3)
            },
        });
        let mut classes: Vec<RouteClass> = classes.collect();
        classes.sort_by(|a, b| a.route.cmp(&b.route));
        self.admission.borrow_mut().configure(classes);
    }

    /// Follows what the coordinators tell.
    async fn follow_updates(self: Rc<Gateway>) {
        let (mut configuration, mut servers) = (0, None);
        loop {
            let changed = self.state.changed.notified();
            let known = self.state.snapshot();
            if let Some(newest) =
                known.configuration.filter(|_| known.versions.configuration != configuration)
            {
                configuration = known.versions.configuration;
                self.configure_admission(&newest);
            }
            if servers != Some(known.versions.servers) {
                servers = Some(known.versions.servers);
                self.balancer.borrow_mut().update(&known.servers);
            }
            drop(tokio::time::timeout(IDLE_SWEEP_INTERVAL, changed).await);
        }
    }

    async fn assess_load(self: Rc<Gateway>) {
        loop {
            sleep(marblecroft_routing::admission::ASSESSMENT_INTERVAL).await;
            let known = self.state.snapshot();
            let Some(configuration) = known.configuration else { continue };
            let now = self.now();
            let occupancy = {
                let fleet = self.balancer.borrow();
                configuration
                    .services()
                    .filter_map(|service| fleet.occupancy(&service.name, now))
                    .reduce(f64::max)
            };
            let idle = self.in_flight.get() == 0;
            self.admission.borrow_mut().assess(now, occupancy, ADMISSION_LAG, idle);
        }
    }

    async fn close_idle_connections(self: Rc<Gateway>) {
        loop {
            sleep(IDLE_SWEEP_INTERVAL).await;
            self.pool.close_expired();
        }
    }
}

/// Runs a gateway until it is told to end.
pub fn run(settings: Settings, tuning: Tuning) -> io::Result<()> {
    let missing = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{what} is missing"));
    let front = settings.bind.front.ok_or_else(|| missing("bind_addresses.front"))?;
    let ready = settings.bind.readiness.ok_or_else(|| missing("bind_addresses.readiness"))?;
    let state = Arc::new(State::default());
    readiness::serve(ready, state.clone())?;
    let (pulling, pulled) = (settings.clone(), state.clone());
    thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || puller::run(&pulling, &pulled))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_stack_size(THREAD_STACK_BYTES)
        .build()?;
    let seed = fnv1a(settings.node_name.as_bytes());
    let gateway = Rc::new(Gateway {
        stores: Stores::new(state.clone()),
        pool: ConnectionPool::default(),
        balancer: RefCell::new(LoadBalancer::new(&settings.zone, seed, tuning.clone())),
        load_exchange: LoadExchange::default(),
        tuning,
        admission: RefCell::default(),
        in_flight: Cell::new(0),
        live_concurrency: MeanConcurrency::default(),
        started_at: Instant::now(),
        state,
        settings,
    });
    let local = LocalSet::new();
    let serving = async move {
        let mut term = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        spawn_local(gateway.clone().follow_updates());
        spawn_local(gateway.clone().assess_load());
        spawn_local(gateway.clone().close_idle_connections());
        spawn_local(batch_runner::run(gateway.clone()));
        spawn_local(load_exchange::run(gateway.clone()));
        // Settings that can change are read anew by nobody yet; the signal must not end the process.
        spawn_local(async move { while hangup.recv().await.is_some() {} });
        let listener = server::listen(front)?;
        info!(node = %gateway.settings.node_name, "gateway starts");
        server::serve(&gateway, listener, async move {
            term.recv().await;
        })
        .await;
        Ok(())
    };
    let ended = local.block_on(&runtime, serving);
    // Threads that wait for a call would hold the process.
    runtime.shutdown_background();
    ended
}
