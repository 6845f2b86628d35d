//! Runs a process of the service until it receives SIGTERM or its store fails.

use crate::config::Config;
use crate::error::ServerError;
use marblecroft_coordination::disk::FaultyFile;
use marblecroft_coordination::env::Env;
use marblecroft_coordination::metrics;
use marblecroft_coordination::service::{Service, Settings};
use marblecroft_coordination::storage::{LogStore, StoreError};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::LocalRuntime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Interval between two checks whether the consensus has stopped.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the shutdown of the consensus when the process terminates.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a process.
///
/// # Errors
///
/// See [`ServerError`].
pub fn run(config: Config, runtime: impl Fn() -> io::Result<LocalRuntime>) -> Result<(), ServerError> {
    // The log is opened before the runtime starts, because opening blocks on the disk.
    let log = open_log(&config)?;
    runtime()?.block_on(serve(config, log))
}

fn open_log(config: &Config) -> Result<LogStore, StoreError> {
    let Some(faults) = config.trial else { return LogStore::open(&config.data) };
    warn!("trial settings are in effect: disk faults are injected");
    let wrap = |file| FaultyFile::new(file, faults.sync_delay(), faults.syncs_fail_after);
    LogStore::open_with_wrapper(&config.data, faults.group_commit, wrap)
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr), ServerError> {
    let failed = |error| ServerError::Listen(key, address, error);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

async fn serve(config: Config, log: LogStore) -> Result<(), ServerError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (listener, address) = listen("listen", config.listen).await?;
    let identity = log.identity();
    let settings = Settings {
        translator: config.peers_at,
        heartbeat_interval: config.heartbeat_interval(),
        election_timeout: config.election_timeout(),
        entries_per_snapshot: config.snapshot_every,
        max_connections: config.connections,
        max_calls: config.calls,
    };
    let service = Service::start(Env::default(), settings, log).await?;
    if let Some(address) = config.metrics {
        let (listener, address) = listen("metrics", address).await?;
        info!(addr = %address, "metrics at http://{address}/metrics");
        let service = service.clone();
        spawn_local(metrics::serve(move || service.metrics_page(), listener));
    }
    info!(
        node = %format_args!("{:016x}", identity.node),
        cluster = %format_args!("{:016x}", identity.cluster),
        "process starts"
    );
    info!(addr = %address, "listening on {address}");
    tokio::select! {
        () = service.accept(&listener) => Ok(()),
        reason = consensus_failure(&service) => Err(ServerError::Consensus(reason.replace('\n', " "))),
        _ = terminate.recv() => {
            // If this process led, another one takes over and gives every session its full time to live.
            drop(timeout(SHUTDOWN_TIMEOUT, service.raft.shutdown()).await);
            Ok(())
        }
    }
}

/// Waits until the consensus has stopped for good, and returns the reason.
async fn consensus_failure(service: &Rc<Service>) -> String {
    loop {
        if let Some(reason) = service.failure() {
            return reason;
        }
        sleep(FAILURE_CHECK_INTERVAL).await;
    }
}
