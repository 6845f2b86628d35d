//! Startup of a gateway process: its threads and tasks.
//!
//! The order of startup matters. Readiness checks are served first, and fail until a
//! configuration and a server list have been received. The thread that fetches these runs before
//! clients are served. The listener is opened last, when all tasks are running.

use crate::gateway::Gateway;
use crate::state::State;
use crate::{batch_runner, load_exchange, maintenance, readiness, server, update_poller};
use marblecroft_routing::tuning::Tuning;
use marblecroft_settings::Settings;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tracing::info;

/// Maximum number of threads that wait for calls to the stores.
const MAX_BLOCKING_THREADS: usize = 48;
/// Stack size of each thread.
const THREAD_STACK_BYTES: usize = 256 << 10;

quick_error! {
    /// Reason why a gateway cannot start, as one line for the operator.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings lack an address that gateways need.
        MissingSetting(key: &'static str) {
            display("{key} is missing")
        }
        /// A socket, a thread or the runtime cannot be set up.
        Io(cause: io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// Runs a gateway until it has received SIGTERM and drained.
///
/// # Errors
///
/// Returns an error if the gateway cannot start.
pub fn run(settings: Settings, tuning: Tuning) -> Result<(), StartError> {
    let address = settings.bind.frontend.ok_or(StartError::MissingSetting("bind_addresses.front"))?;
    let readiness_address =
        settings.bind.readiness.ok_or(StartError::MissingSetting("bind_addresses.readiness"))?;
    let state = Arc::new(State::default());
    readiness::serve(readiness_address, state.clone())?;
    let (poller_settings, poller_state) = (settings.clone(), state.clone());
    thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || update_poller::run(&poller_settings, &poller_state))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_stack_size(THREAD_STACK_BYTES)
        .build()?;
    let gateway = Rc::new(Gateway::new(settings, tuning, state));
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, serve(gateway, address));
    // Threads that are still waiting for a call must not keep the process from ending.
    runtime.shutdown_background();
    Ok(ended?)
}

/// Starts the tasks and serves clients until SIGTERM.
async fn serve(gateway: Rc<Gateway>, address: SocketAddr) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    spawn_local(maintenance::apply_updates(gateway.clone()));
    spawn_local(maintenance::assess_load(gateway.clone()));
    spawn_local(maintenance::close_idle_connections(gateway.clone()));
    spawn_local(maintenance::log_attempts(gateway.clone()));
    spawn_local(batch_runner::run(gateway.clone()));
    spawn_local(load_exchange::run(gateway.clone()));
    // Settings cannot be changed at run time. Without this handler SIGHUP would end the process.
    spawn_local(async move { while hangup.recv().await.is_some() {} });
    let listener = server::listen(address)?;
    info!(node = %gateway.settings.node_name, "gateway started");
    let terminated = async move {
        terminate.recv().await;
    };
    server::serve(&gateway, listener, terminated).await;
    gateway.attempts.log_changes();
    Ok(())
}
