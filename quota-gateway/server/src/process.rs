//! The process: creates the parts of the gateway, serves until SIGTERM, and exits when every request is
//! answered.
//!
//! The order of the start matters. Signal handlers are installed first, so that no signal ends the process by
//! default. The console is bound early, so that operators' connections wait instead of being refused. The
//! state of an old process is taken over before the first event. Clients are accepted last.

use crate::clock::Clock;
use crate::config::{Config, ConnectionLimits};
use crate::console::Console;
use crate::discovery::endpoint_follower::EndpointFollower;
use crate::discovery::{Discovery, DiscoverySettings};
use crate::engine::{Decide, Engine};
use crate::fleet_decisions::observer::{Observer, ObserverSettings};
use crate::fleet_decisions::{Member, MemberSettings};
use crate::handover::snapshot::{take_over, HandoverSnapshot, PeerConnection};
use crate::handover::Handover;
use crate::operations::Operations;
use crate::request_budget::RequestBudgets;
use crate::server::ClientServer;
use crate::shard_map::ShardRouting;
use crate::upstream::Upstream;
use marblecroft_discovery::format::HostList;
use marblecroft_quota_gateway_core::Gateway;
use quick_error::quick_error;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

/// How long connections are accepted after SIGTERM. New ones arrive for up to 0.4 s.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);

quick_error! {
    /// The reason why the process cannot serve.
    #[derive(Debug)]
    pub enum ProcessError {
        /// An address cannot be bound.
        Bind(purpose: &'static str, addr: SocketAddr, cause: io::Error) {
            display("{purpose}: {addr}: {cause}")
            source(cause)
        }
        /// The runtime, a signal handler or a socket fails.
        Io(cause: io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// The sockets on which the process listens.
struct Listeners {
    console: Option<TcpListener>,
    clients: TcpListener,
    /// Whether the socket for clients was inherited, so that a successor process can serve on it too.
    is_replaceable: bool,
}

impl Listeners {
    async fn bind(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Listeners, ProcessError> {
        let console = match config.console {
            Some(addr) => Some(bind("console", addr).await?),
            None => None,
        };
        if let Some(listener) = &console {
            let addr = listener.local_addr()?;
            info!(%addr, "console on {addr}");
        }
        let (clients, is_replaceable) = match inherited {
            Some(listener) => (TcpListener::from_std(listener)?, true),
            None => (bind("listen", config.listen).await?, false),
        };
        Ok(Listeners { console, clients, is_replaceable })
    }
}

async fn bind(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(addr).await.map_err(|cause| ProcessError::Bind(purpose, addr, cause))
}

/// The gateway's decision core and the engine that drives it.
struct Core {
    gateway: Rc<RefCell<Gateway>>,
    engine: Rc<Engine>,
    observer: Option<Rc<Observer>>,
}

impl Core {
    /// Builds the core and the engine, and starts the fleet member if the configuration has a fleet.
    fn build(config: &mut Config, clock: Clock, has_console: bool, limits: &ConnectionLimits) -> Core {
        let gateway_settings = &config.settings;
        let started_at = std::time::Instant::now();
        let budgets = RequestBudgets::new(clock, has_console.then_some(gateway_settings.classes.as_slice()));
        let uses_shard_map = config.fleet.as_ref().is_some_and(|fleet| fleet.uses_shard_map);
        let shard_routing = uses_shard_map.then(|| ShardRouting::new(started_at));
        let upstream = Upstream::new(
            gateway_settings.connect_timeout,
            gateway_settings.idle_timeout,
            limits.servers,
            shard_routing.clone(),
        );
        let gateway = Rc::new(RefCell::new(Gateway::new(gateway_settings.settings.clone(), config.seed)));
        let observer = config.fleet.as_ref().map(|fleet| {
            Observer::new(ObserverSettings {
                zones: gateway_settings.zones.clone(),
                settings: gateway_settings.settings.clone(),
                quota_share_gateway: fleet.quota_share_gateway(),
                shard_routing: shard_routing.clone(),
                started_at,
            })
        });
        let decide = decide_with(gateway.clone(), observer.clone());
        let engine = Engine::new(decide, clock, budgets, upstream, gateway_settings.settings.max_attempts);
        let zone = gateway_settings.settings.zone;
        if let (Some(fleet_config), Some(observer)) = (config.fleet.take(), observer.clone()) {
            let settings = MemberSettings {
                config: fleet_config,
                observer,
                shard_routing,
                started_at,
                zone,
                incarnation: config.seed,
            };
            Member::start(&engine, settings);
        }
        Core { gateway, engine, observer }
    }
}

/// Returns the function by which the engine calls the core: directly, or through the observer if the gateway
/// is a member of a fleet.
fn decide_with(gateway: Rc<RefCell<Gateway>>, observer: Option<Rc<Observer>>) -> Decide {
    match observer {
        None => Box::new(move |now, event, actions| gateway.borrow_mut().handle(now, event, actions)),
        Some(observer) => Box::new(move |now, event, actions| {
            observer.handle(&mut gateway.borrow_mut(), now, event, actions);
        }),
    }
}

/// Serves until SIGTERM, and then until every accepted request is answered.
///
/// # Errors
/// Fails if a signal handler cannot be installed or an address cannot be bound.
pub async fn run(mut config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), ProcessError> {
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let Listeners { console, clients: listener, is_replaceable } =
        Listeners::bind(&config, inherited).await?;
    let listen = listener.local_addr()?;
    let taken_over = if is_replaceable { take_over(listen).await } else { None };
    // The instants in the old process's state are on that process's clock. If the wall clock was set since, a
    // new clock would move them into the future or the past.
    let clock_origin = taken_over.as_ref().and_then(|(snapshot, _)| snapshot.clock_origin);
    let clock = clock_origin.map_or_else(Clock::start, Clock::from_origin);
    let limits = config.connection_limits(false);
    let core = Core::build(&mut config, clock, console.is_some(), &limits);
    let server = ClientServer::new(core.engine.clone(), config.settings.clone(), limits.clients);

    let (agents_sender, agents) = watch::channel(config.agents());
    spawn_local(reload(hangup, agents_sender));
    let follower =
        config.discovery_service.as_ref().map(|service| EndpointFollower::new(service.removal_policy()));
    let endpoint_list_metrics = follower.as_ref().map(EndpointFollower::metrics);
    let mut discovery = Discovery::new(core.engine.clone(), agents, follower, discovery_settings(&config));
    let operations = Rc::new(Operations {
        engine: core.engine.clone(),
        gateway: core.gateway.clone(),
        server: server.clone(),
        ids: discovery.ids(),
        endpoint_list_metrics,
        fleet: core.observer.clone(),
    });
    let initial_endpoints = config.initial_endpoints.take();
    let handover = build_handover(config, &core, &server, &operations);
    restore(&core, &server, &mut discovery, &handover, taken_over, initial_endpoints);
    if is_replaceable {
        match handover.offer(listen) {
            Ok(offer) => {
                spawn_local(offer);
            }
            Err(e) => warn!(error = %e, "a successor process cannot take over the state: {e}"),
        }
    }
    if let Some(listener) = console {
        spawn_local(Console::new(operations).serve(listener));
    }
    spawn_tasks(&core.engine, &server, discovery);

    info!(addr = %listen, "listening on {listen}");
    tokio::select! {
        () = server.accept(&listener) => {}
        _ = terminate.recv() => {}
    }
    shut_down(&core.engine, &server, listener).await;
    Ok(())
}

fn discovery_settings(config: &Config) -> DiscoverySettings {
    let gateway_settings = &config.settings;
    DiscoverySettings {
        zones: gateway_settings.zones.clone(),
        kinds: gateway_settings.kinds.clone(),
        method: gateway_settings.settings.discovery,
        gateways: gateway_settings.settings.gateways,
        seed: config.seed,
    }
}

fn build_handover(
    config: Config,
    core: &Core,
    server: &Rc<ClientServer>,
    operations: &Rc<Operations>,
) -> Rc<Handover> {
    let (server, engine) = (server.clone(), core.engine.clone());
    Rc::new(Handover {
        operations: operations.clone(),
        gateway: core.gateway.clone(),
        engine: core.engine.clone(),
        on_shared: Box::new(move |is_shared| {
            let limits = config.connection_limits(is_shared);
            server.set_max_connections(limits.clients);
            engine.upstream.set_max_connections(limits.servers);
        }),
    })
}

/// Restores the state of the process that is replaced. Without one, applies the endpoint list of the
/// configuration.
fn restore(
    core: &Core,
    server: &ClientServer,
    discovery: &mut Discovery,
    handover: &Rc<Handover>,
    taken_over: Option<(HandoverSnapshot, PeerConnection)>,
    initial_endpoints: Option<HostList>,
) {
    if let Some((snapshot, peer)) = taken_over {
        core.gateway.borrow_mut().restore(snapshot.state);
        if discovery.adopt(snapshot.ids) {
            server.set_ready();
        }
        if snapshot.is_draining {
            server.drain();
        }
        handover.join(peer);
    } else if let Some(list) = initial_endpoints {
        discovery.on_endpoint_list(list);
        server.set_ready();
    }
}

/// Starts the tasks that run until the process exits.
fn spawn_tasks(engine: &Rc<Engine>, server: &Rc<ClientServer>, discovery: Discovery) {
    let server = server.clone();
    spawn_local(async move { discovery.follow(|| server.set_ready()).await });
    let timers = engine.clone();
    spawn_local(async move { timers.run_timers().await });
    let sweeps = engine.clone();
    spawn_local(async move { sweeps.run_sweeps().await });
}

/// Stops serving after SIGTERM. From now on every response closes its connection, so that clients move to the
/// other gateways.
async fn shut_down(engine: &Engine, server: &Rc<ClientServer>, listener: TcpListener) {
    let terminated_at = Instant::now();
    let is_replaced = engine.peer_links.has_peers();
    server.close(is_replaced);
    // If another process listens on the same socket, that process accepts the connections in its queue.
    if !is_replaced {
        tokio::select! {
            () = server.accept(&listener) => {}
            () = sleep_until(terminated_at + ACCEPT_AFTER_SIGTERM) => {}
        }
        server.accept_queued(&listener);
    }
    drop(listener);
    server.wait_until_empty(terminated_at.into()).await;
}

/// Reads the configuration file again at each SIGHUP, forever. Only the discovery addresses are updated.
/// Requests and connections are not affected.
async fn reload(mut hangup: Signal, agents: watch::Sender<Vec<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        match Config::from_file() {
            Ok(config) => {
                info!(discovery = %config.discovery, "new configuration, discovery at {}", config.discovery);
                agents.send_replace(config.agents());
            }
            Err(e) => warn!(error = %e, "the old configuration stands: {e}"),
        }
    }
}
