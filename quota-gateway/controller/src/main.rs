//! `marblecroft-controller`: a candidate for the singleton roles of a fleet, and the commands of operators on them.
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
/// The exit code where the configuration is not valid.
const INVALID_CONFIG_EXIT_CODE: u8 = 2;

quick_error! {
    /// Why the program ends without success.
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

/// A candidate for the fleet's decisions, and what operators say of them
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Addresses of the coordination service, with commas between
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    at: Vec<String>,
    /// The fleet's name
    #[arg(long, global = true, default_value = "fleet")]
    fleet: String,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Is a candidate, as this file says
    Run { config: PathBuf },
    #[command(flatten)]
    Operator(OperatorCall),
}

#[derive(Subcommand)]
enum OperatorCall {
    /// Each zone's state, what it bears, and who sends where
    Zones,
    /// Keeps a zone out until it is let back
    Hold { zone: String },
    /// Lets a zone back that is held out
    Return { zone: String },
    /// Who owns what, under which token
    Duties,
    /// Has a duty owned by this steward, while it lives
    Move { duty: String, to: String },
    /// Has a duty owned by nobody: what was decided stands or lapses
    Pause { duty: String },
    /// Takes back what was said of a duty
    Resume { duty: String },
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
            block_on(carry_out(args.at, args.fleet, call))
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

async fn carry_out(addresses: Vec<String>, fleet: String, call: OperatorCall) -> Result<(), CommandError> {
    let operator = Operator::new(addresses, &fleet);
    match call {
        OperatorCall::Zones => operator.print_zones().await,
        OperatorCall::Hold { zone } => operator.hold_zone(&zone).await,
        OperatorCall::Return { zone } => operator.release_zone(&zone).await,
        OperatorCall::Duties => operator.print_roles().await,
        OperatorCall::Move { duty, to } => operator.command_role(&duty, OperatorCommand::Move(to)).await,
        OperatorCall::Pause { duty } => operator.command_role(&duty, OperatorCommand::Pause).await,
        OperatorCall::Resume { duty } => operator.withdraw_command(&duty).await,
    }
}
