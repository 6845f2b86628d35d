//! One gateway process: its threads, and what its tasks share.

use crate::batch_runner;
use crate::concurrency::Concurrency;
use crate::front;
use crate::load_exchange::{self, LoadExchange};
use crate::puller;
use crate::readiness;
use crate::state::State;
use crate::stores::Stores;
use crate::upstream::Pool;
use marblecroft_configuration::{Configuration, RouteType};
use marblecroft_routing::admission::{Admission, Class};
use marblecroft_routing::placement::Fleet;
use marblecroft_routing::prompt::hash;
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
const SWEEP_EVERY: Duration = Duration::from_millis(300);
/// Threads that wait for calls to stores, at most.
const BLOCKING_THREADS: usize = 48;
/// Stack of a thread, in bytes.
const STACK: usize = 256 << 10;
/// Assumed time in which the servers' load answers to admission.
const LOAD_LAG: Duration = Duration::from_millis(300);

/// What the tasks of a gateway share; all of them run on one thread.
pub struct Gateway {
    pub settings: Settings,
    pub state: Arc<State>,
    pub stores: Stores,
    pub pool: Pool,
    pub fleet: RefCell<Fleet>,
    pub load_exchange: LoadExchange,
    pub tuning: Tuning,
    pub admission: RefCell<Admission>,
    /// Client requests that have no whole answer yet.
    pub in_flight: Cell<usize>,
    /// Live requests at servers.
    pub live: Concurrency,
    started: Instant,
}

impl Gateway {
    /// Time on the clock of placement and admission.
    pub fn now(&self) -> Now {
        self.started.elapsed()
    }

    /// The service that a request goes to, by the weights of its route.
    pub fn service_of(&self, route: &marblecroft_configuration::Route, id: &str) -> String {
        let total: f64 = route.backends.iter().map(|(_, weight)| weight).sum();
        let mut at = (hash(id.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64 * total;
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
    pub fn connections_of(&self, service: &str) -> u32 {
        let configuration = self.state.known().configuration;
        configuration.and_then(|c| c.service(service).map(|s| s.max_connections)).unwrap_or(0)
    }

    fn configure(&self, configuration: &Configuration) {
        let classes = configuration.routes().map(|route| Class {
            route: route.name.clone(),
            priority: route.priority,
            worth: if route.route_type == RouteType::Batch {
                0.0
            } else {
                1.0 / route.target_latency.as_secs_f64().max(1e-3)
            },
        });
        let mut classes: Vec<Class> = classes.collect();
        classes.sort_by(|a, b| a.route.cmp(&b.route));
        self.admission.borrow_mut().configure(classes);
    }

    /// Follows what the coordinators tell.
    async fn follow(self: Rc<Gateway>) {
        let (mut configuration, mut servers) = (0, None);
        loop {
            let changed = self.state.changed.notified();
            let known = self.state.known();
            if let Some(newest) =
                known.configuration.filter(|_| known.versions.configuration != configuration)
            {
                configuration = known.versions.configuration;
                self.configure(&newest);
            }
            if servers != Some(known.versions.servers) {
                servers = Some(known.versions.servers);
                self.fleet.borrow_mut().update(&known.servers);
            }
            drop(tokio::time::timeout(SWEEP_EVERY, changed).await);
        }
    }

    async fn assess(self: Rc<Gateway>) {
        loop {
            sleep(marblecroft_routing::admission::STEP).await;
            let known = self.state.known();
            let Some(configuration) = known.configuration else { continue };
            let now = self.now();
            let occupancy = {
                let fleet = self.fleet.borrow();
                configuration
                    .services()
                    .filter_map(|service| fleet.occupancy(&service.name, now))
                    .reduce(f64::max)
            };
            let idle = self.in_flight.get() == 0;
            self.admission.borrow_mut().assess(now, occupancy, LOAD_LAG, idle);
        }
    }

    async fn sweep(self: Rc<Gateway>) {
        loop {
            sleep(SWEEP_EVERY).await;
            self.pool.sweep();
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
    thread::Builder::new().stack_size(STACK).spawn(move || puller::run(&pulling, &pulled))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .thread_stack_size(STACK)
        .build()?;
    let seed = hash(settings.node_name.as_bytes());
    let gateway = Rc::new(Gateway {
        stores: Stores::new(state.clone()),
        pool: Pool::default(),
        fleet: RefCell::new(Fleet::new(&settings.zone, seed, tuning.clone())),
        load_exchange: LoadExchange::default(),
        tuning,
        admission: RefCell::default(),
        in_flight: Cell::new(0),
        live: Concurrency::default(),
        started: Instant::now(),
        state,
        settings,
    });
    let local = LocalSet::new();
    let serving = async move {
        let mut term = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        spawn_local(gateway.clone().follow());
        spawn_local(gateway.clone().assess());
        spawn_local(gateway.clone().sweep());
        spawn_local(batch_runner::run(gateway.clone()));
        spawn_local(load_exchange::run(gateway.clone()));
        // Settings that can change are read anew by nobody yet; the signal must not end the process.
        spawn_local(async move { while hangup.recv().await.is_some() {} });
        let listener = front::listen(front)?;
        info!(node = %gateway.settings.node_name, "gateway starts");
        front::serve(&gateway, listener, async move {
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
