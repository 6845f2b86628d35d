//! `marblecroft-coordination-server`: runs a process of the service, or a command of an operator.
#![forbid(unsafe_code)]

mod commands;
mod config;
mod error;
mod flags;
mod server;

use clap::Parser;
use config::Config;
use error::CommandError;
use flags::{Command, Flags};
use marblecroft_logging::LogConfig;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};
use tracing::error;

const PROGRAM: &str = "marblecroft-coordination-server";
/// Exit code for an invalid configuration.
const EXIT_INVALID_CONFIGURATION: u8 = 2;

fn runtime() -> io::Result<LocalRuntime> {
    Builder::new_current_thread().enable_all().build_local(LocalOptions::default())
}

/// Runs a process of the service.
fn run(path: &Path) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(cause) => {
            marblecroft_logging::init(PROGRAM, LogConfig::default());
            error!("{cause}");
            return ExitCode::from(EXIT_INVALID_CONFIGURATION);
        }
    };
    marblecroft_logging::init_for_target(PROGRAM, "marblecroft", config.log);
    match server::run(config, runtime) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{cause}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an operator's command.
fn execute(addresses: Vec<String>, command: Command) -> Result<(), CommandError> {
    if let Command::Restore { file, data, addr } = &command {
        return commands::restore(file, data, addr);
    }
    runtime()?.block_on(commands::execute(addresses, command))
}

fn main() -> ExitCode {
    let flags = Flags::parse();
    if let Command::Run { config } = &flags.command {
        return run(config);
    }
    match execute(flags.at, flags.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{PROGRAM}: {cause}");
            ExitCode::FAILURE
        }
    }
}
