//! The control plane of the serving tier.
//!
//! `marblecroft-control-plane coordinator` keeps the configuration and the list of servers and gives both to the gateways;
//! `marblecroft-control-plane store` keeps batch jobs. `check` reads the settings and tells what is wrong with them.
#![forbid(unsafe_code)]

mod calls;
mod coordinator;
mod event_loop;
mod flags;
mod server_list_client;
mod storage;
mod store;

use crate::flags::{MarblecroftControlPlane, MarblecroftControlPlaneCmd as Command};
use marblecroft_logging::LogConfig;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for settings or arguments that cannot be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftControlPlane::from_env_or_exit();
    marblecroft_logging::init("marblecroft-control-plane", LogConfig::default());
    let settings = match Settings::load_from_environment() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("marblecroft-control-plane: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let ended = match flags.subcommand {
        Command::Coordinator(_) => coordinator::run(&settings),
        Command::Store(_) => store::run(&settings),
        Command::Check(_) => {
            println!("{}: the settings can be used", settings.node_name);
            return ExitCode::SUCCESS;
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}
