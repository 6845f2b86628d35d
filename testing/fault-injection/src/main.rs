//! `marblecroft-fault-injection`: what it is asked for, and its exit codes.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use marblecroft_fault_injection::follow::follow;
use marblecroft_fault_injection::scenario::Scenario;
use marblecroft_fault_injection::shell::process::become_held;
use marblecroft_fault_injection::shell::run::{run, usual_dir, Failure, Order, SUMMARY};
use marblecroft_fault_injection::verdict::{judge, Verdict};
use marblecroft_fault_injection::{compare, draw, report};
use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Starts a fleet on this machine, breaks what is between its processes, and judges what happened.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
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

/// Every invariant holds; one is broken; the call or the scenario cannot be used; the lab failed.
const HOLDS: u8 = 0;
const BROKEN: u8 = 1;
const UNUSABLE: u8 = 2;
const FAILED: u8 = 3;

const DEMO: &str = include_str!("../scenarios/demo.toml");

fn main() -> ExitCode {
    ExitCode::from(match call(Args::parse().call) {
        Ok(code) => code,
        Err(Failure::Unusable(e)) => said(UNUSABLE, &e),
        Err(Failure::Lab(e)) => said(FAILED, &e),
    })
}

fn said(code: u8, e: &str) -> u8 {
    eprintln!("marblecroft-fault-injection: {}", e.replace('\n', " "));
    code
}

fn call(call: Call) -> Result<u8, Failure> {
    match call {
        Call::Demo { seed, out } => {
            let code = play("demo", DEMO.to_owned(), seed, out.clone(), false)?;
            let dir = out.unwrap_or_else(|| usual_dir("demo", seed));
            write_report(&dir)?;
            Ok(code)
        }
        Call::Run { file, seed, out, json } => {
            let name = file.file_stem().map_or("run".into(), |name| name.to_string_lossy().into_owned());
            play(&name, read(&file)?, seed, out, json)
        }
        Call::Draw { site, seed } => {
            let drawn = draw::draw(&read(&site)?, seed);
            let drawn = drawn.map_err(|e| Failure::Unusable(format!("{}: {e}", site.display())))?;
            print!("{drawn}");
            Ok(HOLDS)
        }
        Call::Check { dir, trace: Some(trace), .. } => {
            for line in follow(&dir, &trace).map_err(Failure::Unusable)? {
                println!("{line}");
            }
            Ok(HOLDS)
        }
        Call::Check { dir, json, trace: None } => {
            let (verdict, _) = judge(&dir).map_err(Failure::Unusable)?;
            Ok(tell(&verdict, json))
        }
        Call::Report { dir } => {
            write_report(&dir)?;
            Ok(HOLDS)
        }
        Call::Hold { parent, program, args } => {
            let e = become_held(parent, &program, &args);
            Err(Failure::Lab(format!("{}: {e}", program.to_string_lossy())))
        }
        Call::Compare { one, other } => {
            print!("{}", compare::compare(&one, &other).map_err(Failure::Unusable)?);
            Ok(HOLDS)
        }
    }
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|e| Failure::Unusable(format!("{}: {e}", path.display())))
}

fn play(name: &str, text: String, seed: u64, out: Option<PathBuf>, json: bool) -> Result<u8, Failure> {
    // Before anything is made: a scenario that cannot be used leaves nothing behind.
    Scenario::parse(&text).map_err(|e| Failure::Unusable(format!("{name}: {e}")))?;
    let dir = out.unwrap_or_else(|| usual_dir(name, seed));
    let lab = |e: std::io::Error| Failure::Lab(format!("{}: {e}", dir.display()));
    fs::create_dir_all(&dir).map_err(lab)?;
    // Processes are started from folders of their own.
    let dir = dir.canonicalize().map_err(lab)?;
    let log = fs::File::create(dir.join("lab.log")).map_err(lab)?;
    tracing_subscriber::fmt().json().with_writer(log).init();
    let lab = std::env::current_exe().map_err(lab)?;
    run(&Order { name: name.to_owned(), text, seed, dir: dir.clone(), lab })?;
    let (verdict, _) = judge(&dir).map_err(Failure::Lab)?;
    let summary = serde_json::to_vec_pretty(&verdict.summary).map_err(|e| Failure::Lab(e.to_string()))?;
    fs::write(dir.join(SUMMARY), summary).map_err(|e| Failure::Lab(format!("{SUMMARY}: {e}")))?;
    println!("{}", dir.display());
    Ok(tell(&verdict, json))
}

fn tell(verdict: &Verdict, json: bool) -> u8 {
    verdict.lines().iter().for_each(|line| println!("{line}"));
    if json {
        println!("{}", serde_json::json!(verdict.summary));
    }
    if verdict.holds() {
        HOLDS
    } else {
        BROKEN
    }
}

fn write_report(dir: &Path) -> Result<(), Failure> {
    let (verdict, figures) = judge(dir).map_err(Failure::Unusable)?;
    let page = report::page(&verdict, &figures).map_err(Failure::Lab)?;
    let path = dir.join("report.html");
    fs::write(&path, page).map_err(|e| Failure::Lab(format!("{}: {e}", path.display())))?;
    println!("{}", path.display());
    Ok(())
}
