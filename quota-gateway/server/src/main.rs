//! The quota gateway: the decisions of `marblecroft-quota-gateway-core` between HTTP/1.1 clients and servers, on one thread.
//!
//! A client's request passes [`server`] (read and validated), [`engine`] (events to the decisions, actions from them) and
//! [`upstream`] (an attempt at a server); its time is limited by its [`request_budget`]. [`discovery`] follows the endpoint
//! list, [`fleet_decisions`] and [`shard_map`] what the fleet decides in common. Operators use the [`console`], whose
//! [`commands`] the [`operations`] carry out. [`handover`] lets a new process replace this one without losing a request;
//! until it has, the two keep in step by [`peer_links`]. [`process`] puts these parts together.
#![deny(unsafe_code)]

mod body;
mod clock;
mod commands;
mod config;
mod console;
mod discovery;
mod engine;
mod fleet_decisions;
mod handover;
mod metric;
mod operations;
mod peer_links;
mod process;
mod request_budget;
mod server;
mod shard_map;
mod upstream;

use config::Config;
use handover::inherited_socket::inherited_socket;
use marblecroft_logging::LogConfig;
use process::ProcessError;
use std::net::TcpListener;
use std::process::ExitCode;
use tokio::runtime::{Builder, LocalOptions};
use tracing::{error, warn};

/// The name with which log lines begin.
const PROGRAM: &str = "marblecroft-quota-gateway";
/// The exit code for a configuration that is missing or wrong.
const EXIT_CONFIGURATION: u8 = 2;

fn main() -> ExitCode {
    let config = match Config::load() {
        Ok(config) => config,
        Err(e) => {
            marblecroft_logging::init(PROGRAM, LogConfig::default());
            error!("{e}");
            return ExitCode::from(EXIT_CONFIGURATION);
        }
    };
    marblecroft_logging::init(PROGRAM, config.log);
    // Before anything is opened, which could get the descriptor that is named.
    let inherited = inherited_socket(config.listen).unwrap_or_else(|e| {
        warn!("{e}");
        None
    });
    match run(config, inherited) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config, inherited: Option<TcpListener>) -> Result<(), ProcessError> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(process::run(config, inherited))
}
