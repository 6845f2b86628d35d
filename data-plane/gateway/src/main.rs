//! The data plane of the serving tier: `marblecroft-data-plane gateway` serves clients, `marblecroft-data-plane check` reads the settings and tells
//! what is wrong with them.
#![forbid(unsafe_code)]

mod batch_api;
mod batch_runner;
mod body;
mod concurrency;
mod flags;
mod gateway;
mod live_request;
mod load_exchange;
mod puller;
mod readiness;
mod server;
mod state;
mod stores;
mod upstream;

use crate::flags::{MarblecroftDataPlane, MarblecroftDataPlaneCmd as Command};
use marblecroft_logging::Log;
use marblecroft_routing::tuning::Tuning;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for settings or arguments that cannot be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftDataPlane::from_env_or_exit();
    marblecroft_logging::begin("marblecroft-data-plane", Log::default());
    let settings = match Settings::load_from_environment() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("marblecroft-data-plane: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut tuning = Tuning::default();
    if let Command::Gateway(gateway) = &flags.subcommand {
        for setting in &gateway.tune {
            if let Err(e) = tuning.set(setting) {
                eprintln!("marblecroft-data-plane: --tune {e}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    match flags.subcommand {
        Command::Gateway(_) => match gateway::run(settings, tuning) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                error!("{e}");
                ExitCode::FAILURE
            }
        },
        Command::Check(_) => {
            println!("{}: the settings can be used", settings.node_name);
            ExitCode::SUCCESS
        }
    }
}
