//! The discovery service: servers register, drain and leave, and gateways watch the list.
//!
//! [`connection`] reads requests and writes responses, [`service`] carries them out, [`role`] says whether this process may,
//! and [`replication`] keeps it in touch with the store's other processes. All of it runs on one thread.
#![forbid(unsafe_code)]

mod config;
mod connection;
mod replication;
mod role;
mod service;

use config::Config;
use connection::Server;
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::Store;
use marblecroft_logging::LogConfig;
use role::Role;
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

/// The name with which log lines begin.
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
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Restores the store from its folder and serves it. The error is one line.
fn run(config: Config) -> Result<(), String> {
    let with_path = |e: &dyn Display| format!("{}: {e}", config.data.display());
    let folder = Folder::lock(&config.data).map_err(|e| with_path(&e))?;
    let folder = folder.ok_or_else(|| with_path(&"another process has it"))?;
    let (mut journal, recovered) = Journal::open(folder).map_err(|e| with_path(&e))?;
    if recovered.torn_bytes > 0 {
        warn!(
            bytes = recovered.torn_bytes,
            "cut off {} bytes at the log's end that nobody was told of", recovered.torn_bytes
        );
    }
    let mut store = Store::restore(recovered.snapshot, recovered.records, Duration::ZERO);
    let role = Role::at_start(&config, &store);
    if role.is_writer() {
        let opened = store.opening_record(unix_ms());
        journal.append(std::slice::from_ref(&opened)).map_err(|e| with_path(&e))?;
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
    spawn_local(async move { leases.expire_leases().await });
    let watches = service.clone();
    spawn_local(async move { watches.notify_watches().await });
    replication::start(&service);
    let server = Server::new(service);
    info!(addr = %listen, "listening on {listen}");
    tokio::select! {
        () = server.accept(&listener) => {}
        _ = terminate.recv() => {}
    }
    drop(listener);
    // Watches are answered with what there is, and their clients find another address or come back.
    server.shut_down().await;
    Ok(())
}
