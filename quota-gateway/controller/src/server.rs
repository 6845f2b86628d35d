//! The process of a controller.

use marblecroft_control_messages::frame::Fleet;
use marblecroft_controller::config::Config;
use marblecroft_controller::metrics::render;
use marblecroft_controller::reports::Reports;
use marblecroft_controller::run_role::run_role;
use marblecroft_controller::shared::Shared;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::metrics;
use marblecroft_singleton_roles::keys::{Candidate, Keys};
use marblecroft_singleton_roles::run::{follow, run_candidate, RoleMetrics, Settings};
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tracing::info;

quick_error! {
    /// Why the process cannot serve.
    #[derive(Debug)]
    pub enum ServeError {
        /// An address cannot be bound. The text names the field of the configuration.
        Bind(field: &'static str, address: SocketAddr, cause: io::Error) {
            display("{field}: {address}: {cause}")
            source(cause)
        }
        /// A signal handler or a bound socket cannot be used.
        Io(cause: io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// Runs a controller until it receives SIGTERM.
///
/// # Errors
///
/// [`ServeError`] if an address cannot be bound, or the signal handler cannot be installed.
pub async fn serve(config: Config) -> Result<(), ServeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (listener, address) = bind("listen", config.listen).await?;
    let reports = Reports::new(Fleet::named(&config.fleet));
    let shared = Shared::new(config, reports.clone());
    let config = &shared.config;
    let role_metrics: Rc<RoleMetrics> = Rc::default();
    if let Some(address) = config.metrics {
        serve_metrics(&shared, &role_metrics, address).await?;
    }
    spawn_local(reports.accept(listener, config.max_connections));
    let client = Client::behind_translator(config.coordinators.clone(), config.coordinator_host);
    spawn_local(follow_view(shared.clone(), client.clone()));
    // Leaked only once, because the names are used until the process exits.
    let roles: &'static [&'static str] = config.roles().leak();
    let run_shared = shared.clone();
    let run = move |lease| run_role(run_shared.clone(), lease);
    info!(addr = %address, "listening on {address}");
    tokio::select! {
        () = run_candidate(client, settings(config, address), roles, role_metrics, run) => {}
        // Other candidates take its roles after its session has expired. Until then its last decisions remain
        // valid.
        _ = terminate.recv() => {}
    }
    Ok(())
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr), ServeError> {
    let listener =
        TcpListener::bind(address).await.map_err(|cause| ServeError::Bind(field, address, cause))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn serve_metrics(
    shared: &Rc<Shared>,
    role_metrics: &Rc<RoleMetrics>,
    address: SocketAddr,
) -> Result<(), ServeError> {
    let (listener, addr) = bind("metrics", address).await?;
    info!(addr = %addr, "metrics at http://{addr}/metrics");
    let (shared, role_metrics) = (shared.clone(), role_metrics.clone());
    spawn_local(metrics::serve(move || render(&shared, &role_metrics), listener));
    Ok(())
}

/// Keeps the view of the fleet's published entries up to date.
async fn follow_view(shared: Rc<Shared>, client: Client) {
    let prefix = Keys::of(&shared.config.fleet).prefix;
    follow(client, prefix, || shared.now(), |view| drop(shared.view.replace(view.clone()))).await;
}

fn settings(config: &Config, address: SocketAddr) -> Settings {
    Settings {
        fleet: config.fleet.clone(),
        name: config.name.clone(),
        candidate: Candidate {
            zone: config.zone.clone(),
            report_address: config.report_address.unwrap_or(address).to_string(),
        },
        session_ttl: Duration::from_millis(config.session_ttl_ms),
    }
}
