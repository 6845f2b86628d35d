//! The discovery service: servers register, drain and deregister, and gateways watch the list.
//!
//! [`connection`] reads requests and writes responses, [`service`] executes the requests, [`role`] determines
//! whether this process may serve lists and accept changes, and [`replication`] polls the store's other
//! processes and follows the writer. Everything runs on one thread.
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

/// The program name at the start of each log line.
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
    /// An error that ends the process.
    #[derive(Debug)]
    enum ServerError {
        /// The folder cannot be read or written.
        Folder(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// Another process has locked the folder.
        FolderInUse(path: PathBuf) {
            display("{}: another process has it", path.display())
        }
        /// The journal cannot be opened.
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

/// Restores the store from its journal and serves it until SIGTERM.
fn run(config: Config) -> Result<(), ServerError> {
    let folder_error = |error| ServerError::Folder(config.data.clone(), error);
    let folder = Folder::lock(&config.data).map_err(folder_error)?;
    let folder = folder.ok_or_else(|| ServerError::FolderInUse(config.data.clone()))?;
    let opened = Journal::open(folder);
    let (mut journal, recovered) =
        opened.map_err(|error| ServerError::Journal(config.data.clone(), error))?;
    if recovered.torn_bytes > 0 {
        warn!(
            bytes = recovered.torn_bytes,
            "truncated {} bytes of an unacknowledged write at the end of the log", recovered.torn_bytes
        );
    }
    let mut store = Store::restore(recovered.snapshot, recovered.records, Duration::ZERO);
    let role = Role::at_start(&config, &store);
    if role.is_writer() {
        let opened = store.opening_record(unix_ms());
        journal.append(std::slice::from_ref(&opened)).map_err(folder_error)?;
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
    info!(version, servers, "restored version {version} with {servers} servers");
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
    // Waiting watches are answered, and their clients connect to another address or reconnect to this one.
    server.shut_down().await;
    Ok(())
}
