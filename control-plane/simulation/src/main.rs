//! Searches seeds for violations (`search`), replays one seed with a log (`replay`), and writes scenarios for
//! the test bench (`days`).

mod flags;

use flags::{Days, MarblecroftSimulation, MarblecroftSimulationCmd, Replay, Search};
use marblecroft_logging::{LogConfig, LogFormat};
use marblecroft_simulation::runner;
use marblecroft_simulation::scenarios::{fault_variant_count, scenario, Template};
use marblecroft_simulation::{ClusterSpec, Plan};
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use std::{fs, io};

// Default values of the flags.
const DEFAULT_COORDINATORS: usize = 3;
const DEFAULT_STORES: usize = 4;
const DEFAULT_TOLERATED: usize = 1;
const DEFAULT_SEEDS: u64 = 1000;
const DEFAULT_THREADS: usize = 4;

quick_error! {
    /// An error while writing scenarios.
    #[derive(Debug)]
    enum WriteScenariosError {
        /// The site file can't be read, or a scenario can't be written.
        Io(e: io::Error) {
            from()
            source(e)
            display("{e}")
        }
        /// The site file has no day that can be used as the template.
        NoTemplate {
            display("the site file has no [[day]] table")
        }
    }
}

/// Returns the size and seed of a cluster from the values of flags.
fn spec(
    seed: u64,
    coordinators: Option<usize>,
    stores: Option<usize>,
    tolerated: Option<usize>,
    without_disk: Option<usize>,
) -> ClusterSpec {
    ClusterSpec {
        seed,
        coordinators: coordinators.unwrap_or(DEFAULT_COORDINATORS),
        stores: stores.unwrap_or(DEFAULT_STORES),
        tolerated_machines: tolerated.unwrap_or(DEFAULT_TOLERATED),
        diskless_coordinators: without_disk.unwrap_or(0),
    }
}

/// The results of a search so far.
#[derive(Default)]
struct SearchResults {
    failed_seeds: Vec<u64>,
    /// Number of events in all runs, by kind.
    counts: BTreeMap<&'static str, u64>,
}

/// Runs seeds until none is left, and prints the first violation of each seed that has one.
fn search_seeds(next: &AtomicU64, end: u64, spec: ClusterSpec, results: &Mutex<SearchResults>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let spec = ClusterSpec { seed, ..spec };
        let verdict = runner::run(spec, &Plan::draw(&spec));
        let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
        for (kind, count) in verdict.counts {
            *results.counts.entry(kind).or_default() += count;
        }
        if let Some(first) = verdict.violations.first() {
            println!("seed {seed}: {first}");
            results.failed_seeds.push(seed);
        }
    }
}

/// Runs seeds on several threads, and prints a summary.
fn search(flags: &Search) -> ExitCode {
    let (from, seeds) = (flags.from.unwrap_or(1), flags.seeds.unwrap_or(DEFAULT_SEEDS));
    let spec = spec(from, flags.coordinators, flags.stores, flags.tolerated, flags.without_disk);
    let (next, results) = (AtomicU64::new(from), Mutex::new(SearchResults::default()));
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..flags.threads.unwrap_or(DEFAULT_THREADS) {
            scope.spawn(|| search_seeds(&next, from + seeds, spec, &results));
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let seeds_per_second = seeds as f64 / started_at.elapsed().as_secs_f64();
    println!("{:?}", results.counts);
    println!(
        "{} coordinators and {} without a disk, {} stores, tolerated losses: {}; {seeds} seeds from {from}, \
         {seeds_per_second:.1} per second, {} failed",
        spec.coordinators,
        spec.diskless_coordinators,
        spec.stores,
        spec.tolerated_machines,
        results.failed_seeds.len()
    );
    exit_code(results.failed_seeds.is_empty())
}

/// Writes scenarios, each into a file that is named by its number, and prints a summary of each.
fn write_scenarios(flags: &Days) -> Result<(), WriteScenariosError> {
    let template =
        Template::read(&fs::read_to_string(&flags.site)?).ok_or(WriteScenariosError::NoTemplate)?;
    let (from, days) = (flags.from.unwrap_or(0), flags.days.unwrap_or_else(fault_variant_count));
    fs::create_dir_all(&flags.out)?;
    for number in from..from + days {
        let scenario = scenario(&template, number, flags.seed.unwrap_or(1));
        fs::write(flags.out.join(format!("{number:03}.toml")), scenario.toml)?;
        writeln!(io::stdout(), "{number:03} {}", scenario.summary)?;
    }
    Ok(())
}

/// Writes scenarios for the test bench; prints an error with the path of the site file.
fn export_scenarios(flags: &Days) -> ExitCode {
    match write_scenarios(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marblecroft-simulation: {}: {e}", flags.site.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs one seed and logs its events.
fn replay(flags: &Replay) -> ExitCode {
    let log = LogConfig { format: LogFormat::TextWithFields, ..LogConfig::default() };
    marblecroft_logging::init("simulation", log);
    let spec = spec(flags.seed, flags.coordinators, flags.stores, flags.tolerated, flags.without_disk);
    let verdict = runner::run(spec, &Plan::draw(&spec));
    verdict.violations.iter().for_each(|violation| println!("violation: {violation}"));
    exit_code(verdict.violations.is_empty())
}

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    match MarblecroftSimulation::from_env_or_exit().subcommand {
        MarblecroftSimulationCmd::Search(flags) => search(&flags),
        MarblecroftSimulationCmd::Days(flags) => export_scenarios(&flags),
        MarblecroftSimulationCmd::Replay(flags) => replay(&flags),
    }
}
