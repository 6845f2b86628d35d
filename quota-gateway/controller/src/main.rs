//! `marblecroft-controller`: a candidate for the singleton roles of a fleet, and operator commands for them.
#![forbid(unsafe_code)]

mod commands;
mod server;

use clap::{Parser, Subcommand};
use commands::{CommandError, Operator};
use marblecroft_controller::config::{Config, ConfigError};
use marblecroft_logging::LogConfig;
use marblecroft_singleton_roles::keys::OperatorCommand;
use quick_error::quick_error;
use server::ServeError;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, LocalOptions};
use tracing::error;

const PROGRAM: &str = "marblecroft-controller";
/// Exit code for an invalid configuration.
const INVALID_CONFIG_EXIT_CODE: u8 = 2;

quick_error! {
    /// Why the program fails.
    #[derive(Debug)]
    enum ProgramError {
        Runtime(cause: io::Error) {
            display("{cause}")
            source(cause)
        }
        Serve(cause: ServeError) {
            display("{cause}")
            source(cause)
            from()
        }
        Command(cause: CommandError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// Controller of a fleet of gateways, and operator commands
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Addresses of the coordination service, separated by commas
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    at: Vec<String>,
    /// Name of the fleet
    #[arg(long, global = true, default_value = "fleet")]
    fleet: String,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Run a controller with this configuration file
    Run { config: PathBuf },
    #[command(flatten)]
    Operator(OperatorCall),
}

#[derive(Subcommand)]
enum OperatorCall {
    /// Print the state, capacity, demand and traffic shares of each zone
    Zones,
    /// Take a zone out of service until it is returned
    Hold { zone: String },
    /// Return a held zone to service
    Return { zone: String },
    /// Print the owner and fencing token of each duty
    #[command(name = "duties")]
    Roles,
    /// Assign a duty to this controller as long as it is running
    Move {
        #[arg(value_name = "DUTY")]
        role: String,
        to: String,
    },
    /// Leave a duty without an owner; its last decision remains until it expires
    Pause {
        #[arg(value_name = "DUTY")]
        role: String,
    },
    /// Remove the move or pause command of a duty
    Resume {
        #[arg(value_name = "DUTY")]
        role: String,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let result = match args.call {
        Call::Run { config } => match Config::read(&config) {
            Ok(config) => {
                init_logging(config.log);
                block_on(server::serve(config))
            }
            Err(e) => return reject_config(&e),
        },
        Call::Operator(call) => {
            init_logging(LogConfig::default());
            block_on(execute(args.at, args.fleet, call))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn init_logging(config: LogConfig) {
    marblecroft_logging::init_for_target(PROGRAM, "marblecroft", config);
}

fn reject_config(cause: &ConfigError) -> ExitCode {
    marblecroft_logging::init(PROGRAM, LogConfig::default());
    error!("{cause}");
    ExitCode::from(INVALID_CONFIG_EXIT_CODE)
}

fn block_on<E: Into<ProgramError>>(work: impl Future<Output = Result<(), E>>) -> Result<(), ProgramError> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(ProgramError::Runtime)?.block_on(work).map_err(Into::into)
}

async fn execute(addresses: Vec<String>, fleet: String, call: OperatorCall) -> Result<(), CommandError> {
    let operator = Operator::new(addresses, &fleet);
    match call {
        OperatorCall::Zones => operator.print_zones().await,
        OperatorCall::Hold { zone } => operator.hold_zone(&zone).await,
        OperatorCall::Return { zone } => operator.release_zone(&zone).await,
        OperatorCall::Roles => operator.print_roles().await,
        OperatorCall::Move { role, to } => operator.command_role(&role, OperatorCommand::Move(to)).await,
        OperatorCall::Pause { role } => operator.command_role(&role, OperatorCommand::Pause).await,
        OperatorCall::Resume { role } => operator.withdraw_command(&role).await,
    }
}
