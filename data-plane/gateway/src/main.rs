//! Data plane of the serving tier: gateways between clients and model servers.
//!
//! `marblecroft-data-plane gateway` serves clients. `marblecroft-data-plane check` validates the
//! settings and reports errors in them.
//!
//! The modules by layer, each using those below it:
//!
//! | layer | modules |
//! |---|---|
//! | process | `startup`: threads and tasks; `flags` |
//! | clients | `server`: connections, dispatch and drain; `readiness` |
//! | requests | `live`: live requests; `batch_api`: batch job API; `batch_runner`: items of batch jobs |
//! | background | `update_poller`: configuration and servers; `load_exchange`: load of peers; `maintenance` |
//! | shared state | `gateway`; `in_flight`: guards that count requests |
//! | servers and stores | `upstream`: calls to model servers; `stores`: calls to the stores |
//! | utilities | `state`, `peers`, `concurrency`, `request`, `reply`, `headers`, `body` |
//!
//! A client's request is received by `server`, buffered (`request`), and dispatched to `live` or
//! `batch_api` by its route. [`marblecroft_routing`] decides without I/O which requests are
//! admitted and which server each one goes to.
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
mod readiness;
mod reply;
mod request;
mod server;
mod startup;
mod state;
mod stores;
mod update_poller;
mod upstream;

use crate::flags::{MarblecroftDataPlane, MarblecroftDataPlaneCmd as Command};
use marblecroft_logging::{LogConfig, LogFormat};
use marblecroft_routing::tuning::Tuning;
use marblecroft_settings::Settings;
use std::process::ExitCode;
use tracing::error;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = MarblecroftDataPlane::from_env_or_exit();
    let requests = matches!(&flags.subcommand, Command::Gateway(gateway) if gateway.log_requests);
    let log = LogConfig { format: LogFormat::TextWithFields, requests };
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
