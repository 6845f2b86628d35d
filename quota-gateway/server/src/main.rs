//! The gateway: the decisions of `marblecroft-quota-gateway-core` between HTTP/1.1 clients and servers, on one thread.
#![deny(unsafe_code)]

mod body;
mod clock;
mod config;
mod console;
mod discovery;
mod engine;
mod fleet_decisions;
mod handover;
mod operations;
mod request_budget;
mod server;
mod shard_map;
mod upstream;

use clock::Clock;
use config::Config;
use console::Console;
use discovery::{Discovery, ListFollower};
use engine::{Decide, Engine};
use fleet_decisions::observer::Observer;
use fleet_decisions::Member;
use handover::Handover;
use marblecroft_logging::LogConfig;
use marblecroft_quota_gateway_core::Gateway;
use operations::Operations;
use request_budget::RequestBudgets;
use server::ClientServer;
use shard_map::ShardRouting;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};
use tracing::{error, info, warn};
use upstream::Upstream;

/// The name that lines for the operators begin with.
const PROGRAM: &str = "marblecroft-quota-gateway";
/// After SIGTERM new connections come for up to 0.4 s; they are accepted for a while longer.
const FLUSH_TIME: Duration = Duration::from_millis(600);

fn main() -> ExitCode {
    let config = match Config::load() {
        Ok(config) => config,
        Err(e) => {
            marblecroft_logging::init(PROGRAM, LogConfig::default());
            error!("{e}");
            return ExitCode::from(2);
        }
    };
    marblecroft_logging::init(PROGRAM, config.log);
    // Before anything is opened: what it names is then not ours.
    let inherited = handover::inherited(config.listen).unwrap_or_else(|e| {
        warn!("{e}");
        None
    });
    let run = || {
        let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
        runtime.block_on(run(config, inherited))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the file again at each SIGHUP, for good. Only discovery moves with it; requests and connections go on.
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

async fn bind(what: &str, addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|e| io::Error::new(e.kind(), format!("{what}: {addr}: {e}")))
}

/// The decisions; and, where the fleet is told of it, who looks at what passes. Without it nothing stands between.
fn deciding(gateway: Rc<RefCell<Gateway>>, observer: Option<Rc<Observer>>) -> Decide {
    match observer {
        None => Box::new(move |now, event, actions| gateway.borrow_mut().handle(now, event, actions)),
        Some(observer) => Box::new(move |now, event, actions| {
            observer.pass(&mut gateway.borrow_mut(), now, event, actions);
        }),
    }
}

/// Serves until SIGTERM, and then until all that was taken is answered.
async fn run(mut config: Config, inherited: Option<std::net::TcpListener>) -> io::Result<()> {
    // Before anything is accepted: without a handler SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (clients, servers) = config.budget(false);
    // Bound at once, so that calls wait for their answer rather than meet nobody.
    let console = match config.console {
        Some(addr) => Some(bind("console", addr).await?),
        None => None,
    };
    if let Some(listener) = &console {
        let addr = listener.local_addr()?;
        info!(%addr, "console on {addr}");
    }
    let (listener, replaceable) = match inherited {
        Some(listener) => (TcpListener::from_std(listener)?, true),
        None => (bind("listen", config.listen).await?, false),
    };
    let listen = listener.local_addr()?;
    let taken = if replaceable { handover::take_over(listen).await } else { None };
    // What is taken over tells of instants by the old process's clock. A wall clock that has been set since would put them
    // into the future, or into the past.
    let told = taken.as_ref().and_then(|(estate, _)| estate.origin);
    let clock = told.map_or_else(Clock::start, Clock::of_origin);
    let site = config.settings.clone();
    let accounts = RequestBudgets::new(clock, console.as_ref().map(|_| site.classes.as_slice()));
    let begun = std::time::Instant::now();
    let books =
        config.stewards.as_ref().is_some_and(|stewards| stewards.books()).then(|| ShardRouting::new(begun));
    let upstream = Upstream::new(site.connect_timeout, site.idle, servers, books.clone());
    let gateway = Rc::new(RefCell::new(Gateway::new(site.settings.clone(), config.seed)));
    let observer = config.stewards.as_ref().map(|stewards| {
        Observer::new(site.zones.clone(), site.settings.clone(), stewards.shares(), books.clone(), begun)
    });
    let decide = deciding(gateway.clone(), observer.clone());
    let engine = Engine::new(decide, clock, accounts, upstream, site.settings.max_attempts);
    let seen = observer.clone();
    if let (Some(stewards), Some(observer)) = (config.stewards.take(), observer) {
        Member::begin(stewards, &engine, observer, books, begun, site.settings.zone, config.seed);
    }
    let front = ClientServer::new(engine.clone(), site.clone(), clients);

    let (told, agents) = watch::channel(config.agents());
    spawn_local(reload(hangup, told));
    let service = config.list_service.as_ref().map(|service| ListFollower::new(service.caution()));
    let list = service.as_ref().map(ListFollower::figures);
    let fleet = (site.settings.discovery, site.settings.gateways);
    let mut discovery =
        Discovery::new(engine.clone(), agents, service, site.zones, site.kinds, fleet, config.seed);
    let operations = Operations {
        engine: engine.clone(),
        gateway: gateway.clone(),
        server: front.clone(),
        ids: discovery.ids(),
        list_metrics: list,
        fleet: seen,
    };
    let operations = Rc::new(operations);
    let known = config.known.take();
    let (sharing, halves) = (front.clone(), engine.clone());
    let handover = Rc::new(Handover {
        operations: operations.clone(),
        gateway: gateway.clone(),
        engine: engine.clone(),
        shared: Box::new(move |shared| {
            let (clients, servers) = config.budget(shared);
            sharing.set_budget(clients);
            halves.upstream.set_budget(servers);
        }),
    });
    if let Some((estate, peer)) = taken {
        gateway.borrow_mut().restore(estate.memory);
        if discovery.adopt(estate.ids) {
            front.set_ready();
        }
        if estate.draining {
            front.drain();
        }
        handover.join(peer);
    } else if let Some(known) = known {
        discovery.on_list(known);
        front.set_ready();
    }
    if replaceable {
        match handover.offer(listen) {
            Ok(offering) => drop(spawn_local(offering)),
            Err(e) => warn!(error = %e, "the next process will start afresh: {e}"),
        }
    }
    if let Some(listener) = console {
        spawn_local(Console::new(operations).serve(listener));
    }
    let held = front.clone();
    spawn_local(async move { discovery.follow(|| held.set_ready()).await });
    let timers = engine.clone();
    spawn_local(async move { timers.run_timers().await });
    let sweeps = engine.clone();
    spawn_local(async move { sweeps.run_sweeps().await });

    info!(addr = %listen, "listening on {listen}");
    tokio::select! {
        () = front.accept(&listener) => {}
        _ = terminate.recv() => {}
    }
    // From here on every answer closes its connection, so that clients move to the other gateways.
    let terminated = Instant::now();
    let replaced = engine.links.any();
    front.close(replaced);
    // What waits in the queue of a socket that another process listens on is that one's.
    if !replaced {
        tokio::select! {
            () = front.accept(&listener) => {}
            () = sleep_until(terminated + FLUSH_TIME) => {}
        }
        front.accept_queued(&listener);
    }
    drop(listener);
    front.wait_until_empty(terminated.into()).await;
    Ok(())
}
