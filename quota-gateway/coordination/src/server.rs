//! Runs a process of the service until it is told to end, or its store fails.

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

/// Pause between two checks of whether the consensus has ended.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A terminating process waits for its consensus at most this long.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a process.
///
/// # Errors
///
/// See [`ServerError`].
pub fn run(config: Config, runtime: impl Fn() -> io::Result<LocalRuntime>) -> Result<(), ServerError> {
    // Opened before there is a runtime: it blocks on its disk.
    let log = open_log(&config)?;
    runtime()?.block_on(serve(config, log))
}

fn open_log(config: &Config) -> Result<LogStore, StoreError> {
    let Some(faults) = config.trial else { return LogStore::open(&config.data) };
    warn!("trial: the disk has faults on purpose");
    let disk = |file| FaultyFile::new(file, faults.sync_delay(), faults.syncs_fail_after);
    LogStore::open_on(&config.data, faults.group_commit, disk)
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
        let measured = service.clone();
        spawn_local(metrics::serve(move || measured.metrics_page(), listener));
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
            // Another process leads soon; sessions have their full time there.
            drop(timeout(SHUTDOWN_TIMEOUT, service.raft.shutdown()).await);
            Ok(())
        }
    }
}

/// Returns once the consensus has ended for good.
async fn consensus_failure(service: &Rc<Service>) -> String {
    loop {
        if let Some(reason) = service.failure() {
            return reason;
        }
        sleep(FAILURE_CHECK_INTERVAL).await;
    }
}
