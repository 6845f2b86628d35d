//! `marblecroft-fault-injection`: the command line and the exit codes.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use marblecroft_fault_injection::draw::SiteFileError;
use marblecroft_fault_injection::error::{RecordingError, RunError};
use marblecroft_fault_injection::follow::follow;
use marblecroft_fault_injection::harness::process::exec_program;
use marblecroft_fault_injection::harness::run::{default_dir, run, RunSpec, SUMMARY};
use marblecroft_fault_injection::scenario::{Scenario, ScenarioError};
use marblecroft_fault_injection::verdict::{check_run, Verdict};
use marblecroft_fault_injection::{compare, draw, report};
use quick_error::quick_error;
use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs a fleet on this machine, injects faults between its processes, and checks the recorded history
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a small fleet, kills one gateway under load, and writes a report; takes less than a minute
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs a scenario
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Output folder for the history, logs and figures [default: target/lab/NAME-SEED]
        #[arg(long)]
        out: Option<PathBuf>,
        /// Print the summary as one JSON object on the last line of standard output
        #[arg(long)]
        json: bool,
    },
    /// Draws a scenario from the ranges of a site file and prints it
    Draw {
        site: PathBuf,
        #[arg(long)]
        seed: u64,
    },
    /// Checks a recorded run again
    Check {
        dir: PathBuf,
        #[arg(long)]
        json: bool,
        /// Print all events and log lines of one trace id instead, ordered by time
        #[arg(long)]
        trace: Option<String>,
    },
    /// Writes DIR/report.html, a self-contained page
    Report { dir: PathBuf },
    /// Becomes one of the fleet's processes; used by the harness itself
    #[command(name = "hold", hide = true)]
    Exec { parent: i32, program: OsString, args: Vec<OsString> },
    /// Compares two runs, or two folders of runs
    Compare { one: PathBuf, other: PathBuf },
}

/// Every invariant and expectation holds.
const EXIT_SUCCESS: u8 = 0;
/// An invariant is violated, an expectation is missed, or a process has crashed.
const EXIT_VIOLATED: u8 = 1;
/// The command line or its input cannot be used.
const EXIT_INVALID_INPUT: u8 = 2;
/// The harness failed.
const EXIT_FAILED: u8 = 3;

const DEMO: &str = include_str!("../scenarios/demo.toml");

quick_error! {
    /// An error that ends the program.
    #[derive(Debug)]
    enum CommandError {
        /// The scenario cannot be used.
        Scenario(name: String, error: ScenarioError) {
            display("{}: {}", name, error)
            source(error)
        }
        /// The site file cannot be used.
        SiteFile(path: PathBuf, error: SiteFileError) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// An input file cannot be read.
        Input(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A recorded run cannot be read.
        Recording(error: RecordingError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The run failed.
        Run(error: RunError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The run that was just recorded cannot be checked or reported.
        Verdict(error: RecordingError) {
            display("{}", error)
            source(error)
        }
        /// An output file or folder cannot be written.
        Output(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The summary cannot be encoded.
        Summary(error: serde_json::Error) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Scenario(..)
            | CommandError::SiteFile(..)
            | CommandError::Input(..)
            | CommandError::Recording(_)
            | CommandError::Run(RunError::Scenario(_)) => EXIT_INVALID_INPUT,
            CommandError::Run(_)
            | CommandError::Verdict(_)
            | CommandError::Output(..)
            | CommandError::Summary(_) => EXIT_FAILED,
        }
    }
}

fn main() -> ExitCode {
    ExitCode::from(run_command(Args::parse().command).unwrap_or_else(|error| {
        eprintln!("marblecroft-fault-injection: {}", error.to_string().replace('\n', " "));
        error.exit_code()
    }))
}

fn run_command(command: Command) -> Result<u8, CommandError> {
    match command {
        Command::Demo { seed, out } => {
            let code = run_scenario("demo", DEMO.to_owned(), seed, out.clone(), false)?;
            write_report(&out.unwrap_or_else(|| default_dir("demo", seed)))?;
            Ok(code)
        }
        Command::Run { file, seed, out, json } => {
            let name = file.file_stem().map_or("run".into(), |name| name.to_string_lossy().into_owned());
            run_scenario(&name, read(&file)?, seed, out, json)
        }
        Command::Draw { site, seed } => {
            let drawn = draw::draw(&read(&site)?, seed);
            print!("{}", drawn.map_err(|error| CommandError::SiteFile(site, error))?);
            Ok(EXIT_SUCCESS)
        }
        Command::Check { dir, trace: Some(trace), .. } => {
            follow(&dir, &trace)?.iter().for_each(|line| println!("{line}"));
            Ok(EXIT_SUCCESS)
        }
        Command::Check { dir, json, trace: None } => {
            let (verdict, _) = check_run(&dir)?;
            Ok(print_verdict(&verdict, json))
        }
        Command::Report { dir } => {
            write_report(&dir)?;
            Ok(EXIT_SUCCESS)
        }
        Command::Exec { parent, program, args } => {
            let error = exec_program(parent, &program, &args);
            Err(CommandError::Output(PathBuf::from(program), error))
        }
        Command::Compare { one, other } => {
            print!("{}", compare::compare(&one, &other)?);
            Ok(EXIT_SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::Input(path.to_owned(), error))
}

fn run_scenario(
    name: &str,
    text: String,
    seed: u64,
    out: Option<PathBuf>,
    json: bool,
) -> Result<u8, CommandError> {
    // Parsed before any file is created, so that an unusable scenario leaves nothing behind.
    Scenario::parse(&text).map_err(|error| CommandError::Scenario(name.to_owned(), error))?;
    let dir = out.unwrap_or_else(|| default_dir(name, seed));
    let failed = |error| CommandError::Output(dir.clone(), error);
    fs::create_dir_all(&dir).map_err(failed)?;
    // An absolute path, because the processes have working directories of their own.
    let dir = dir.canonicalize().map_err(failed)?;
    let log = fs::File::create(dir.join("lab.log")).map_err(failed)?;
    tracing_subscriber::fmt().json().with_writer(log).init();
    let harness = std::env::current_exe().map_err(failed)?;
    run(&RunSpec { name: name.to_owned(), text, seed, dir: dir.clone(), harness })?;
    let (verdict, _) = check_run(&dir).map_err(CommandError::Verdict)?;
    let path = dir.join(SUMMARY);
    fs::write(&path, serde_json::to_vec_pretty(&verdict.summary)?)
        .map_err(|error| CommandError::Output(path, error))?;
    println!("{}", dir.display());
    Ok(print_verdict(&verdict, json))
}

fn print_verdict(verdict: &Verdict, json: bool) -> u8 {
    verdict.lines().iter().for_each(|line| println!("{line}"));
    if json {
        println!("{}", serde_json::json!(verdict.summary));
    }
    if verdict.passed() {
        EXIT_SUCCESS
    } else {
        EXIT_VIOLATED
    }
}

fn write_report(dir: &Path) -> Result<(), CommandError> {
    let (verdict, figures) = check_run(dir)?;
    let page = report::page(&verdict, &figures).map_err(CommandError::Verdict)?;
    let path = dir.join("report.html");
    fs::write(&path, page).map_err(|error| CommandError::Output(path.clone(), error))?;
    println!("{}", path.display());
    Ok(())
}
