//! The quota gateway: forwards HTTP/1.1 requests to servers as `marblecroft-quota-gateway-core` decides, on
//! one thread.
//!
//! The [`server`] reads and validates a client's request, the [`engine`] passes events to the core and
//! carries out its actions, and [`upstream`] makes the attempts at servers. The [`request_budget`] limits the
//! time of a request. [`discovery`] follows the endpoint list; [`fleet_decisions`] and [`shard_map`] follow
//! the decisions of the fleet's controllers. Operators send [`commands`] to the [`console`], which the
//! [`operations`] carry out. [`handover`] lets a new process replace this one without losing a request; until
//! this one exits, the two exchange updates over [`peer_links`]. [`process`] creates and connects these
//! parts.
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

/// The program's name, with which log lines begin.
const PROGRAM: &str = "marblecroft-quota-gateway";
/// The exit code for a missing or invalid configuration.
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
    // Called before any other descriptor is opened, because that could get the same number.
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
