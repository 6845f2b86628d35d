//! One gateway process: its threads and its tasks.
//!
//! The order of starting matters: readiness checks are answered first, and negatively, until a configuration and servers are
//! known; the thread that pulls these runs before clients are served; the listener is opened last, when all tasks run.

use crate::gateway::Gateway;
use crate::state::State;
use crate::{batch_runner, load_exchange, maintenance, puller, readiness, server};
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

/// The most threads that wait for calls to the stores.
const MAX_BLOCKING_THREADS: usize = 48;
/// The stack size of each thread.
const THREAD_STACK_BYTES: usize = 256 << 10;

quick_error! {
    /// Why a gateway cannot start; the text is one line for the operator.
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

/// Runs a gateway until SIGTERM and the end of its drain.
///
/// # Errors
///
/// Where the gateway cannot start.
pub fn run(settings: Settings, tuning: Tuning) -> Result<(), StartError> {
    let address = settings.bind.front.ok_or(StartError::MissingSetting("bind_addresses.front"))?;
    let readiness_address =
        settings.bind.readiness.ok_or(StartError::MissingSetting("bind_addresses.readiness"))?;
    let state = Arc::new(State::default());
    readiness::serve(readiness_address, state.clone())?;
    let (puller_settings, puller_state) = (settings.clone(), state.clone());
    thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || puller::run(&puller_settings, &puller_state))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .thread_stack_size(THREAD_STACK_BYTES)
        .build()?;
    let gateway = Rc::new(Gateway::new(settings, tuning, state));
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, serve(gateway, address));
    // Threads that still wait for a call would keep the process from ending.
    runtime.shutdown_background();
    Ok(ended?)
}

/// Starts the tasks and serves clients until SIGTERM.
async fn serve(gateway: Rc<Gateway>, address: SocketAddr) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    spawn_local(maintenance::follow_updates(gateway.clone()));
    spawn_local(maintenance::assess_load(gateway.clone()));
    spawn_local(maintenance::close_idle_connections(gateway.clone()));
    spawn_local(batch_runner::run(gateway.clone()));
    spawn_local(load_exchange::run(gateway.clone()));
    // No setting can be changed at run time; without this task the signal would end the process.
    spawn_local(async move { while hangup.recv().await.is_some() {} });
    let listener = server::listen(address)?;
    info!(node = %gateway.settings.node_name, "gateway started");
    let terminated = async move {
        terminate.recv().await;
    };
    server::serve(&gateway, listener, terminated).await;
    Ok(())
}
