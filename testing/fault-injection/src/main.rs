//! `marblecroft-fault-injection`: what it is asked for, and its exit codes.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use marblecroft_fault_injection::draw::SiteFileError;
use marblecroft_fault_injection::error::{RecordingError, RunError};
use marblecroft_fault_injection::follow::follow;
use marblecroft_fault_injection::scenario::{Scenario, ScenarioError};
use marblecroft_fault_injection::shell::process::become_held;
use marblecroft_fault_injection::shell::run::{run, usual_dir, RunSpec, SUMMARY};
use marblecroft_fault_injection::verdict::{judge, Verdict};
use marblecroft_fault_injection::{compare, draw, report};
use quick_error::quick_error;
use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Starts a fleet on this machine, breaks what is between its processes, and judges what happened.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A small fleet, one gateway killed under load, a report; under a minute
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays a scenario
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the history, logs and figures are kept; target/lab/NAME-SEED without it
        #[arg(long)]
        out: Option<PathBuf>,
        /// The last line of standard output is one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Draws a scenario from a site file's ranges, to standard output
    Draw {
        site: PathBuf,
        #[arg(long)]
        seed: u64,
    },
    /// Judges a recorded run again
    Check {
        dir: PathBuf,
        #[arg(long)]
        json: bool,
        /// Instead, all that clients, pay servers and processes tell of one id, by time
        #[arg(long)]
        trace: Option<String>,
    },
    /// Writes DIR/report.html: one file, readable on its own
    Report { dir: PathBuf },
    /// Becomes one of the fleet's processes; for the lab itself
    #[command(hide = true)]
    Hold { parent: i32, program: OsString, args: Vec<OsString> },
    /// Two runs, or two folders of runs, side by side
    Compare { one: PathBuf, other: PathBuf },
}

/// Exit codes: every invariant holds; one is broken; the call or the scenario cannot be used; the harness failed.
const EXIT_HOLDS: u8 = 0;
const EXIT_BROKEN: u8 = 1;
const EXIT_UNUSABLE: u8 = 2;
const EXIT_FAILED: u8 = 3;

const DEMO: &str = include_str!("../scenarios/demo.toml");

quick_error! {
    /// Why the program ends with an error.
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
        /// A file that was named cannot be read.
        Input(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A recorded run that was named cannot be read.
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
        /// The run that was just recorded cannot be judged or shown.
        Verdict(error: RecordingError) {
            display("{}", error)
            source(error)
        }
        /// A file of the run cannot be written.
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
            | CommandError::Run(RunError::Scenario(_)) => EXIT_UNUSABLE,
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
            write_report(&out.unwrap_or_else(|| usual_dir("demo", seed)))?;
            Ok(code)
        }
        Command::Run { file, seed, out, json } => {
            let name = file.file_stem().map_or("run".into(), |name| name.to_string_lossy().into_owned());
            run_scenario(&name, read(&file)?, seed, out, json)
        }
        Command::Draw { site, seed } => {
            let drawn = draw::draw(&read(&site)?, seed);
            print!("{}", drawn.map_err(|error| CommandError::SiteFile(site, error))?);
            Ok(EXIT_HOLDS)
        }
        Command::Check { dir, trace: Some(trace), .. } => {
            follow(&dir, &trace)?.iter().for_each(|line| println!("{line}"));
            Ok(EXIT_HOLDS)
        }
        Command::Check { dir, json, trace: None } => {
            let (verdict, _) = judge(&dir)?;
            Ok(print_verdict(&verdict, json))
        }
        Command::Report { dir } => {
            write_report(&dir)?;
            Ok(EXIT_HOLDS)
        }
        Command::Hold { parent, program, args } => {
            let error = become_held(parent, &program, &args);
            Err(CommandError::Output(PathBuf::from(program), error))
        }
        Command::Compare { one, other } => {
            print!("{}", compare::compare(&one, &other)?);
            Ok(EXIT_HOLDS)
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
    // Before anything is made: a scenario that cannot be used leaves nothing behind.
    Scenario::parse(&text).map_err(|error| CommandError::Scenario(name.to_owned(), error))?;
    let dir = out.unwrap_or_else(|| usual_dir(name, seed));
    let failed = |error| CommandError::Output(dir.clone(), error);
    fs::create_dir_all(&dir).map_err(failed)?;
    // Processes are started from folders of their own.
    let dir = dir.canonicalize().map_err(failed)?;
    let log = fs::File::create(dir.join("lab.log")).map_err(failed)?;
    tracing_subscriber::fmt().json().with_writer(log).init();
    let harness = std::env::current_exe().map_err(failed)?;
    run(&RunSpec { name: name.to_owned(), text, seed, dir: dir.clone(), harness })?;
    let (verdict, _) = judge(&dir).map_err(CommandError::Verdict)?;
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
    if verdict.holds() {
        EXIT_HOLDS
    } else {
        EXIT_BROKEN
    }
}

fn write_report(dir: &Path) -> Result<(), CommandError> {
    let (verdict, figures) = judge(dir)?;
    let page = report::page(&verdict, &figures).map_err(CommandError::Verdict)?;
    let path = dir.join("report.html");
    fs::write(&path, page).map_err(|error| CommandError::Output(path.clone(), error))?;
    println!("{}", path.display());
    Ok(())
}
