//! The data plane of the serving tier: gateways between clients and model servers.
//!
//! `marblecroft-data-plane gateway` serves clients; `marblecroft-data-plane check` reads the settings and tells what is wrong
//! with them.
//!
//! The modules by layer, each using those below it:
//!
//! | layer | modules |
//! |---|---|
//! | process | `startup`: threads and tasks; `flags` |
//! | clients | `server`: connections, dispatch and drain; `readiness` |
//! | requests | `live`: live requests; `batch_api`: submission and results of batch jobs; `batch_runner`: their items |
//! | background | `puller`: configuration and servers; `load_exchange`: load of the zone's gateways; `maintenance` |
//! | shared state | `gateway`; `in_flight`: guards that count requests |
//! | servers and stores | `upstream`: attempts, connections, verdicts; `stores`: calls to the chain's head |
//! | parts | `state`, `peers`, `concurrency`, `request`, `reply`, `headers`, `body` |
//!
//! A client's request comes through `server`, is buffered (`request`), and goes to `live` or `batch_api` by its route. Which
//! request is admitted and which server it goes to is decided without I/O in [`marblecroft_routing`].
#![forbid(unsafe_code)]

mod batch_api;
mod batch_runner;
mod body;
mod concurrency;
mod flags;
mod gateway;
mod headers;
mod in_flight;
mod live;
mod load_exchange;
mod maintenance;
mod peers;
mod puller;
mod readiness;
mod reply;
mod request;
mod server;
mod startup;
mod state;
mod stores;
mod upstream;

use crate::flags::{MarblecroftDataPlane, MarblecroftDataPlaneCmd as Command};
use marblecroft_logging::{LogConfig, LogFormat};
use marblecroft_routing::tuning::Tuning;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for settings or arguments that cannot be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftDataPlane::from_env_or_exit();
    let log = LogConfig { format: LogFormat::TextWithFields, ..LogConfig::default() };
    marblecroft_logging::init("marblecroft-data-plane", log);
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
        Command::Gateway(_) => match startup::run(settings, tuning) {
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
