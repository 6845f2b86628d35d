//! The list service: who registers, drains and leaves, and who watches.
#![forbid(unsafe_code)]

mod config;
mod replicas;
mod service;

use config::Config;
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::Store;
use marblecroft_logging::LogConfig;
use replicas::Role;
use service::{unix_ms, Service};
use std::fmt::Display;
use std::io;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tracing::{error, info, warn};

/// The name that lines for the operators begin with.
const PROGRAM: &str = "marblecroft-discovery";

fn main() -> ExitCode {
    let config = match Config::load(std::env::args_os().skip(1)) {
        Ok(config) => config,
        Err(e) => {
            marblecroft_logging::init(PROGRAM, LogConfig::default());
            error!("{e}");
            return ExitCode::from(2);
        }
    };
    marblecroft_logging::init(PROGRAM, config.log);
    match begin(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn begin(config: Config) -> Result<(), String> {
    let place = |e: &dyn Display| format!("{}: {e}", config.data.display());
    let folder = Folder::take(&config.data).map_err(|e| place(&e))?;
    let folder = folder.ok_or_else(|| place(&"another process has it"))?;
    let (mut journal, held) = Journal::open(folder).map_err(|e| place(&e))?;
    if held.torn_bytes > 0 {
        warn!(
            bytes = held.torn_bytes,
            "cut off {} bytes at the log's end that nobody was told of", held.torn_bytes
        );
    }
    let mut store = Store::restore(held.image, held.records, Duration::ZERO);
    let role = Role::at_start(&config, &store);
    if role.writes() {
        let opened = store.opened(unix_ms());
        journal.append(std::slice::from_ref(&opened)).map_err(|e| place(&e))?;
        store.apply(opened, Duration::ZERO);
    }
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(serve(config, role, store, journal)).map_err(|e| e.to_string())
}

async fn serve(config: Config, role: Role, store: Store, journal: Journal<Folder>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(config.listen).await?;
    let listen = listener.local_addr()?;
    let (version, servers) = (store.version(), store.len());
    info!(version, servers, "version {version}, {servers} servers");
    let service = Service::new(config, role, store, journal);
    let leases = service.clone();
    spawn_local(async move { leases.end_leases().await });
    let changes = service.clone();
    spawn_local(async move { changes.notify_watchers().await });
    replicas::begin(&service);
    info!(addr = %listen, "listening on {listen}");
    tokio::select! {
        () = service.accept(&listener) => {}
        _ = terminate.recv() => {}
    }
    drop(listener);
    // Watches that wait are answered with what there is, and find another address or come back.
    service.close().await;
    Ok(())
}
