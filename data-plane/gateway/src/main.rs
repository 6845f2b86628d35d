//! The data plane of the serving tier: `marblecroft gateway` serves clients, `marblecroft check` reads the settings and tells
//! what is wrong with them.
#![forbid(unsafe_code)]

mod batch_api;
mod batch_runner;
mod body;
mod concurrency;
mod flags;
mod front;
mod gateway;
mod live;
mod load_exchange;
mod puller;
mod readiness;
mod state;
mod stores;
mod upstream;

use crate::flags::{Marblecroft, MarblecroftCmd as Command};
use mapledeck_events::Log;
use marblecroft_routing::tuning::Tuning;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for settings or arguments that cannot be used.
const BAD_USE: u8 = 2;

fn main() -> ExitCode {
    let flags = Marblecroft::from_env_or_exit();
    mapledeck_events::begin("marblecroft", Log::default());
    let settings = match Settings::load_from_environment() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("marblecroft: {e}");
            return ExitCode::from(BAD_USE);
        }
    };
    let mut tuning = Tuning::default();
    if let Command::Gateway(gateway) = &flags.subcommand {
        for setting in &gateway.tune {
            if let Err(e) = tuning.set(setting) {
                eprintln!("marblecroft: --tune {e}");
                return ExitCode::from(BAD_USE);
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
