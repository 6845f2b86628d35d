//! The control plane of the serving tier.
//!
//! `marblecroft-control-plane coordinator` replicates the configuration and the server list, and serves both
//! to the gateways; `marblecroft-control-plane store` replicates batch jobs. `check` validates the settings
//! file. The logic of both roles is in `marblecroft-control-plane-core`; the modules of this crate perform
//! its I/O.
#![forbid(unsafe_code)]

mod coordinator;
mod error;
mod event_loop;
mod flags;
mod pending_replies;
mod runtime;
mod server_list_client;
mod storage;
mod store;
mod thread_pool;

use crate::flags::{MarblecroftControlPlane, MarblecroftControlPlaneCmd as Command};
use marblecroft_logging::{LogConfig, LogFormat};
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for invalid settings or arguments. A role that cannot start or that fails exits with 1.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftControlPlane::from_env_or_exit();
    let log = LogConfig { format: LogFormat::TextWithFields, ..LogConfig::default() };
    marblecroft_logging::init("marblecroft-control-plane", log);
    let settings = match Settings::load_from_environment() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("marblecroft-control-plane: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let result = match flags.subcommand {
        Command::Coordinator(_) => coordinator::run(&settings),
        Command::Store(_) => store::run(&settings),
        Command::Check(_) => {
            println!("{}: the settings can be used", settings.node_name);
            return ExitCode::SUCCESS;
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // The text of a `StartError` is one line for the operator.
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}
