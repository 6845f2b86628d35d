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
use marblecroft_discovery::journal::{Folder, Journal, JournalError};
use marblecroft_discovery::store::Store;
use marblecroft_logging::LogConfig;
use quick_error::quick_error;
use role::Role;
use service::{unix_ms, Service};
use std::io;
use std::path::PathBuf;
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

quick_error! {
    /// Why the process ends with an error.
    #[derive(Debug)]
    enum ServerError {
        /// The folder cannot be read or written.
        Folder(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// Another process uses the folder.
        FolderInUse(path: PathBuf) {
            display("{}: another process has it", path.display())
        }
        /// The journal cannot be read.
        Journal(path: PathBuf, error: JournalError) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The runtime, its signals or its socket cannot be set up.
        Runtime(error: io::Error) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

/// Restores the store from its folder and serves it.
fn run(config: Config) -> Result<(), ServerError> {
    let unusable = |error| ServerError::Folder(config.data.clone(), error);
    let folder = Folder::lock(&config.data).map_err(unusable)?;
    let folder = folder.ok_or_else(|| ServerError::FolderInUse(config.data.clone()))?;
    let opened = Journal::open(folder);
    let (mut journal, recovered) =
        opened.map_err(|error| ServerError::Journal(config.data.clone(), error))?;
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
        journal.append(std::slice::from_ref(&opened)).map_err(unusable)?;
        store.apply(opened, Duration::ZERO);
    }
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    Ok(runtime.block_on(serve(config, role, store, journal))?)
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
