//! The control plane of the serving tier.
//!
//! `marblecroft-control coordinator` keeps the configuration and the list of servers and gives both to the gateways;
//! `marblecroft-control store` keeps batch jobs. `check` reads the settings and tells what is wrong with them.
#![forbid(unsafe_code)]

mod coordinator;
mod disk;
mod flags;
mod list_reader;
mod membership;
mod operator;
mod store;
mod store_views;
mod transport;

use crate::flags::{MarblecroftControl, MarblecroftControlCmd as Command};
use mapledeck_events::Log;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tracing::error;

/// Exit code for settings or arguments that cannot be used.
const BAD_USE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftControl::from_env_or_exit();
    mapledeck_events::begin("marblecroft-control", Log::default());
    let settings = match Settings::load_from_environment() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("marblecroft-control: {e}");
            return ExitCode::from(BAD_USE);
        }
    };
    if let Err(e) = ignore_hangup() {
        error!("SIGHUP cannot be handled: {e}");
        return ExitCode::FAILURE;
    }
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

/// SIGHUP says that the settings file has changed. What a control process uses of it does not change while it runs, and the
/// signal must not end the process.
fn ignore_hangup() -> std::io::Result<()> {
    let noted = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, noted).map(drop)
}
